//! Model of lease managers on hosts with different clocks, over a store whose requests and responses are delayed and
//! lost.

use std::{
    future::poll_fn,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, Waker},
};

use async_trait::async_trait;
use futures::future::BoxFuture;
use jm_lease::{Acquisition, Duty, LeaseError, LeaseGuard, LeaseManager, LeaseOptions, LeaseRecord};
use jm_platform::{
    Changes, Condition, Listing, Object, ObjectError, ObjectStore, ReadError, Version, WatchError,
};
use jm_types::{Clock, DurationMs, FencingNumber, Incarnation, Timestamp};

pub(crate) const LONGEST_ORDER_MS: u64 = 3_000;

/// Operation of a request to the store.
#[derive(Clone)]
enum Operation {
    Get,
    Put(Vec<u8>, Condition),
    List,
}

#[derive(Clone)]
enum Answer {
    Object(Option<Object>),
    Put(Result<Version, ObjectError>),
    List(Version),
}

struct Request {
    host: usize,
    operation: Operation,
    answer: Option<Answer>,
    /// Result that the caller gets at its next poll. `Err(true)` is a lost response, `Err(false)` a refused request.
    returned: Option<Result<Answer, bool>>,
}

/// The store and the requests in transit to it.
#[derive(Default)]
pub(crate) struct Wire {
    object: Option<Object>,
    version: u64,
    requests: Vec<Request>,
    pub(crate) takeovers: usize,
    pub(crate) fault: Option<String>,
}

impl Wire {
    fn apply(&mut self, operation: &Operation) -> Answer {
        match operation {
            Operation::Get => Answer::Object(self.object.clone()),
            Operation::List => Answer::List(Version::new(self.version)),
            Operation::Put(value, condition) => Answer::Put(self.put(value, *condition)),
        }
    }

    fn put(&mut self, value: &[u8], condition: Condition) -> Result<Version, ObjectError> {
        let current = self.object.as_ref().map(|object| object.version);
        if !condition.holds(current) {
            return Err(ObjectError::Conflict { current });
        }
        self.check_fencing(value);
        self.version += 1;
        let version = Version::new(self.version);
        let value = value.to_vec();
        self.object = Some(Object { value, version });
        Ok(version)
    }

    /// Checks that the fencing number increases with each change of the holder and never decreases.
    fn check_fencing(&mut self, value: &[u8]) {
        let Some(old) = self.object.as_ref().map(|object| parse(&object.value)) else {
            return;
        };
        let new = parse(value);
        let changes_holder = old.holder != new.holder || old.released;
        if new.fencing < old.fencing || (changes_holder && new.fencing == old.fencing) {
            self.fault = Some(format!("fencing number {} after {}", new.fencing, old.fencing));
        }
        self.takeovers += usize::from(new.fencing > old.fencing);
    }

    /// The store processes a request. It may do so even if the caller has given up on the request.
    pub(crate) fn deliver(&mut self, choice: usize) {
        let open: Vec<_> = (0..self.requests.len())
            .filter(|index| self.requests[*index].answer.is_none())
            .collect();
        let Some(index) = open.get(choice % open.len().max(1)) else {
            return;
        };
        let operation = self.requests[*index].operation.clone();
        let answer = self.apply(&operation);
        self.requests[*index].answer = Some(answer);
    }

    /// Delivers a response to its caller, or reports the response as lost.
    pub(crate) fn answer(&mut self, choice: usize, lost: bool) {
        let open = self
            .requests
            .iter_mut()
            .filter(|request| request.returned.is_none());
        let mut open: Vec<_> = open.collect();
        let count = open.len().max(1);
        let Some(request) = open.get_mut(choice % count) else {
            return;
        };
        if lost {
            request.returned = Some(Err(true));
        } else if let Some(answer) = request.answer.clone() {
            request.returned = Some(Ok(answer));
        }
    }

    /// Processes all open requests of a host and delivers their responses.
    fn serve(&mut self, host: usize) {
        for index in 0..self.requests.len() {
            let request = &self.requests[index];
            if request.host != host || request.returned.is_some() {
                continue;
            }
            let operation = request.operation.clone();
            let answer = request.answer.clone().unwrap_or_else(|| self.apply(&operation));
            self.requests[index].answer = Some(answer.clone());
            self.requests[index].returned = Some(Ok(answer));
        }
    }

    /// The store refuses all requests that it has not processed yet.
    pub(crate) fn refuse(&mut self) {
        for request in self
            .requests
            .iter_mut()
            .filter(|request| request.answer.is_none())
        {
            request.answer = Some(Answer::Object(None));
            request.returned.get_or_insert(Err(false));
        }
    }
}

fn parse(value: &[u8]) -> LeaseRecord {
    serde_json::from_slice(value).expect("managers write lease records")
}

/// Store client of one manager. Its requests wait until the model delivers them.
#[derive(Clone, Default)]
pub(crate) struct DelayedStore {
    host: usize,
    wire: Arc<Mutex<Wire>>,
}

impl DelayedStore {
    pub(crate) fn wire(&self) -> MutexGuard<'_, Wire> {
        self.wire.lock().expect("no test thread panicked")
    }

    async fn request(&self, operation: Operation) -> Result<Answer, bool> {
        let index = {
            let mut wire = self.wire();
            wire.requests.push(Request {
                host: self.host,
                operation,
                answer: None,
                returned: None,
            });
            wire.requests.len() - 1
        };
        poll_fn(|_| match self.wire().requests[index].returned.clone() {
            Some(returned) => Poll::Ready(returned),
            None => Poll::Pending,
        })
        .await
    }
}

fn unavailable() -> ReadError {
    ReadError::ReadUnavailable {
        reason: "lost".to_owned(),
    }
}

#[async_trait]
impl ObjectStore for DelayedStore {
    async fn get(&self, _: &str) -> Result<Option<Object>, ReadError> {
        match self.request(Operation::Get).await {
            Ok(Answer::Object(object)) => Ok(object),
            _ => Err(unavailable()),
        }
    }

    async fn put(&self, _: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError> {
        let reason = "lost".to_owned();
        match self.request(Operation::Put(value, condition)).await {
            Ok(Answer::Put(result)) => result,
            Err(false) => Err(ObjectError::Unavailable { reason }),
            _ => Err(ObjectError::AnswerLost { reason }),
        }
    }

    async fn delete(&self, _: &str, _: Condition) -> Result<(), ObjectError> {
        unreachable!("managers never delete the lease object")
    }

    async fn list(&self, _: &str) -> Result<Listing, ReadError> {
        match self.request(Operation::List).await {
            Ok(Answer::List(version)) => Ok(Listing {
                objects: Vec::new(),
                version,
            }),
            _ => Err(unavailable()),
        }
    }

    async fn watch(&self, _: &str, _: Version, _: DurationMs) -> Result<Changes, WatchError> {
        unreachable!("managers do not watch")
    }
}

/// Clock of a host. It starts at an arbitrary offset and runs slightly too fast or too slow.
pub(crate) struct HostClock {
    true_time: Arc<AtomicU64>,
    offset_ms: u64,
    permille: u64,
}

impl HostClock {
    fn true_ms(&self) -> u64 {
        self.true_time.load(Ordering::SeqCst)
    }

    /// True time at which this clock reads `at`, rounded down.
    fn true_time_of(&self, at: Timestamp) -> u64 {
        at.get().saturating_sub(self.offset_ms) * 1_000 / self.permille
    }
}

impl Clock for HostClock {
    fn now(&self) -> Timestamp {
        Timestamp::new(self.offset_ms + self.true_ms() * self.permille / 1_000)
    }
}

type Call = BoxFuture<'static, (LeaseManager, Result<Option<LeaseGuard>, LeaseError>)>;

/// A host with its manager. The manager is moved into the future of a call while one is open.
pub(crate) struct Host {
    index: usize,
    clock: Arc<HostClock>,
    manager: Option<LeaseManager>,
    call: Option<Call>,
    guards: Vec<LeaseGuard>,
}

impl Host {
    fn new(index: u64, true_time: &Arc<AtomicU64>) -> Self {
        let holder = format!("control-{index}").parse().expect("a valid id");
        let mut options = LeaseOptions::new(Duty::Targets, holder, Incarnation::new(1));
        options.longest_order_ms = DurationMs::new(LONGEST_ORDER_MS);
        let clock = HostClock {
            true_time: Arc::clone(true_time),
            offset_ms: 1_000_000 * index,
            permille: [1_000, 980, 1_020][index as usize % 3],
        };
        Self {
            index: index as usize,
            clock: Arc::new(clock),
            manager: Some(LeaseManager::new(options).expect("consistent options")),
            call: None,
            guards: Vec::new(),
        }
    }

    fn start(&mut self, store: &DelayedStore, release: bool) {
        let Some(mut manager) = self.manager.take() else {
            return;
        };
        let clock = Arc::clone(&self.clock);
        let store = DelayedStore {
            host: self.index,
            wire: Arc::clone(&store.wire),
        };
        self.call = Some(Box::pin(async move {
            let result = if release {
                manager.release(&store, &*clock).await.map(|()| None)
            } else {
                manager
                    .acquire(&store, &*clock)
                    .await
                    .map(|acquired| match acquired {
                        Acquisition::Held(guard) => Some(guard),
                        Acquisition::Observing { .. } => None,
                    })
            };
            (manager, result)
        }));
        self.poll();
    }

    /// Runs the host until it waits for the store. A host that is not polled is suspended.
    fn poll(&mut self) {
        let Some(call) = &mut self.call else {
            return;
        };
        let polled = call.as_mut().poll(&mut Context::from_waker(Waker::noop()));
        if let Poll::Ready((manager, result)) = polled {
            if let Ok(Some(guard)) = result
                && self.guards.last().map(LeaseGuard::fencing) != Some(guard.fencing())
            {
                self.guards.push(guard);
            }
            self.manager = Some(manager);
            self.call = None;
        }
    }

    fn valid_guard(&self) -> Option<&LeaseGuard> {
        let now = self.clock.now();
        self.guards.iter().find(|guard| guard.is_valid(now))
    }

    /// Period up to `until` in which the host may send orders to a target that ignores fencing numbers.
    fn order_period(&self, now: u64, until: u64) -> Option<(FencingNumber, u64, u64)> {
        let guard = self.valid_guard()?;
        let from = self.clock.true_time_of(guard.orders_allowed_at()).max(now);
        let end = self.clock.true_time_of(guard.valid_until()).min(until);
        (from <= end).then(|| (guard.fencing(), from, end))
    }
}

/// Several hosts, one store and the true time.
pub(crate) struct World {
    pub(crate) store: DelayedStore,
    pub(crate) hosts: Vec<Host>,
    true_time: Arc<AtomicU64>,
    /// Time until which an order can take effect, by fencing number.
    orders_end: Vec<(FencingNumber, u64)>,
}

impl World {
    pub(crate) fn new(hosts: u64) -> Self {
        let true_time = Arc::new(AtomicU64::new(0));
        Self {
            store: DelayedStore::default(),
            hosts: (0..hosts).map(|index| Host::new(index, &true_time)).collect(),
            true_time,
            orders_end: Vec::new(),
        }
    }

    /// Performs one step, selected by `kind`, on the host or request selected by `choice`.
    pub(crate) fn step(&mut self, kind: u8, choice: u8) -> Result<(), String> {
        let count = self.hosts.len();
        let (index, choice) = (usize::from(choice) % count, usize::from(choice));
        match kind % 32 {
            0..=7 => self.whole_call(index),
            8..=10 => self.hosts[index].start(&self.store, false),
            11 => self.hosts[index].start(&self.store, choice.is_multiple_of(5)),
            12..=15 => self.hosts[index].poll(),
            16..=18 => self.store.wire().deliver(choice),
            19..=20 => self.store.wire().answer(choice, false),
            21 => self.store.wire().answer(choice, true),
            22 if choice.is_multiple_of(4) => self.store.wire().refuse(),
            22..=30 => self.advance(choice as u64 * 8)?,
            _ => self.advance(choice as u64 * 60)?,
        }
        self.check()
    }

    /// Runs all hosts for 60 s of true time while the store responds to everything. Returns the number of valid guards.
    pub(crate) fn settle(&mut self) -> Result<usize, String> {
        for _ in 0..60 {
            for index in 0..self.hosts.len() {
                self.whole_call(index);
                self.check()?;
            }
            self.advance(1_000)?;
        }
        Ok(self.valid())
    }

    /// A host acquires or renews without delay, or completes its open call.
    fn whole_call(&mut self, index: usize) {
        const REQUESTS: usize = 12;
        self.hosts[index].start(&self.store, false);
        for _ in 0..REQUESTS {
            self.store.wire().serve(index);
            self.hosts[index].poll();
        }
    }

    fn valid(&self) -> usize {
        self.hosts
            .iter()
            .filter(|host| host.valid_guard().is_some())
            .count()
    }

    fn advance(&mut self, by_ms: u64) -> Result<(), String> {
        let now = self.true_time.load(Ordering::SeqCst);
        let until = now + by_ms;
        for host in &self.hosts {
            if let Some((fencing, from, end)) = host.order_period(now, until) {
                self.orders_end.retain(|(other, _)| *other != fencing);
                if let Some((other, _)) = self.orders_end.iter().find(|(_, end)| *end > from) {
                    return Err(format!("orders under {other} and {fencing} overlap"));
                }
                self.orders_end.push((fencing, end + LONGEST_ORDER_MS));
            }
        }
        self.true_time.store(until, Ordering::SeqCst);
        Ok(())
    }

    fn check(&self) -> Result<(), String> {
        if self.valid() > 1 {
            return Err("two guards are valid at the same time".to_owned());
        }
        let fault = self.store.wire().fault.clone();
        fault.map_or(Ok(()), Err)
    }
}
