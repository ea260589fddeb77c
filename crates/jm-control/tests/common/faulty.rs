//! A connection to the platform that injects a fault at one chosen call. Calls on lease objects are not counted.

use std::{
    future::Future,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use async_std::channel::{Receiver, Sender, bounded};
use async_trait::async_trait;
use jm_platform::{
    Changes, Condition, FetchError, Host, HostList, Listing, MemoryPlatform, Object, ObjectError,
    ObjectStore, OrderError, OrderedTarget, ReadError, ReportError, TargetOrder, TargetOrders, UsageReporter,
    Version, WatchError, WeightInfo, WeightStore,
};
use jm_types::{DurationMs, FencingNumber, ModelId, TargetId, WeightVersion};

/// Fault that is injected at the chosen call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The daemon crashes before the call. No later call reaches the platform.
    CrashBefore,
    /// The daemon crashes after the call took effect.
    CrashAfter,
    /// The call takes effect and its answer is lost. Later calls succeed.
    AnswerLost,
    /// The call pauses until the test resumes it.
    Pause,
}

/// How a call is handled.
#[derive(Clone, Copy, PartialEq)]
enum Delivery {
    Deliver,
    Unavailable,
    AnswerLost,
}

pub(crate) struct FaultyPlatform {
    platform: MemoryPlatform,
    calls: AtomicU64,
    fault: Mutex<Option<(u64, Fault)>>,
    crashed: AtomicBool,
    leases_unavailable: AtomicBool,
    reached: (Sender<()>, Receiver<()>),
    resumed: (Sender<()>, Receiver<()>),
    disputes: AtomicU64,
    changes: AtomicU64,
}

impl FaultyPlatform {
    pub(crate) fn new(platform: MemoryPlatform) -> Self {
        Self {
            platform,
            calls: AtomicU64::new(0),
            fault: Mutex::default(),
            crashed: AtomicBool::new(false),
            leases_unavailable: AtomicBool::new(false),
            reached: bounded(1),
            resumed: bounded(1),
            disputes: AtomicU64::new(0),
            changes: AtomicU64::new(0),
        }
    }

    /// Sets the fault of the call with this number, counted from now on and starting at 1.
    pub(crate) fn set_fault(&self, call: u64, fault: Fault) {
        let number = self.calls.load(Ordering::SeqCst) + call;
        *self.fault.lock().unwrap() = Some((number, fault));
    }

    /// Returns whether the call with the fault was made.
    pub(crate) fn fault_occurred(&self) -> bool {
        let fault = *self.fault.lock().unwrap();
        fault.is_some_and(|(call, _)| self.calls.load(Ordering::SeqCst) >= call)
    }

    /// Makes lease objects unavailable to this daemon.
    pub(crate) fn block_leases(&self) {
        self.leases_unavailable.store(true, Ordering::SeqCst);
    }

    /// Completes when the call that pauses is made.
    pub(crate) async fn paused(&self) {
        self.reached.1.recv().await.unwrap();
    }

    /// Resumes the paused call.
    pub(crate) fn resume(&self) {
        self.resumed.0.try_send(()).unwrap();
    }

    /// Number of reports that the platform rejected because it had a different report for the window.
    pub(crate) fn disputes(&self) -> u64 {
        self.disputes.load(Ordering::SeqCst)
    }

    /// Number of changes that reached the platform.
    pub(crate) fn changes(&self) -> u64 {
        self.changes.load(Ordering::SeqCst)
    }

    async fn delivery(&self, key: &str) -> Delivery {
        if key.starts_with("lease/") {
            let blocked =
                self.leases_unavailable.load(Ordering::SeqCst) || self.crashed.load(Ordering::SeqCst);
            return if blocked {
                Delivery::Unavailable
            } else {
                Delivery::Deliver
            };
        }
        if self.crashed.load(Ordering::SeqCst) {
            return Delivery::Unavailable;
        }
        let call = self.calls.fetch_add(1, Ordering::SeqCst) + 1;
        let fault = self.fault.lock().unwrap().filter(|(number, _)| *number == call);
        match fault.map(|(_, fault)| fault) {
            None => Delivery::Deliver,
            Some(Fault::CrashBefore) => {
                self.crashed.store(true, Ordering::SeqCst);
                Delivery::Unavailable
            }
            Some(Fault::CrashAfter) => {
                self.crashed.store(true, Ordering::SeqCst);
                Delivery::AnswerLost
            }
            Some(Fault::AnswerLost) => Delivery::AnswerLost,
            Some(Fault::Pause) => {
                self.reached.0.try_send(()).unwrap();
                self.resumed.1.recv().await.unwrap();
                Delivery::Deliver
            }
        }
    }

    async fn read<T>(
        &self,
        key: &str,
        call: impl Future<Output = Result<T, ReadError>>,
    ) -> Result<T, ReadError> {
        match self.delivery(key).await {
            Delivery::Deliver => call.await,
            Delivery::Unavailable | Delivery::AnswerLost => {
                Err(ReadError::ReadUnavailable { reason: reason() })
            }
        }
    }

    async fn change<T, E>(
        &self,
        key: &str,
        call: impl Future<Output = Result<T, E>>,
        unavailable: E,
        lost: E,
    ) -> Result<T, E> {
        let delivery = self.delivery(key).await;
        if delivery == Delivery::Unavailable {
            return Err(unavailable);
        }
        let result = call.await;
        if !key.starts_with("lease/") {
            self.changes.fetch_add(1, Ordering::SeqCst);
        }
        if delivery == Delivery::AnswerLost {
            Err(lost)
        } else {
            result
        }
    }

    async fn order_call<T>(
        &self,
        call: impl Future<Output = Result<T, OrderError>>,
    ) -> Result<T, OrderError> {
        let unavailable = OrderError::OrderUnavailable { reason: reason() };
        let lost = OrderError::OrderAnswerLost { reason: reason() };
        self.change("targets", call, unavailable, lost).await
    }

    async fn object_call<T>(
        &self,
        key: &str,
        call: impl Future<Output = Result<T, ObjectError>>,
    ) -> Result<T, ObjectError> {
        let unavailable = ObjectError::Unavailable { reason: reason() };
        let lost = ObjectError::AnswerLost { reason: reason() };
        self.change(key, call, unavailable, lost).await
    }
}

fn reason() -> String {
    "fault injected by the test".to_owned()
}

#[async_trait]
impl ObjectStore for FaultyPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        self.read(key, self.platform.get(key)).await
    }

    async fn put(&self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError> {
        self.object_call(key, self.platform.put(key, value, condition))
            .await
    }

    async fn delete(&self, key: &str, condition: Condition) -> Result<(), ObjectError> {
        self.object_call(key, self.platform.delete(key, condition)).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing, ReadError> {
        self.read(prefix, self.platform.list(prefix)).await
    }

    async fn watch(&self, prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError> {
        self.platform.watch(prefix, after, wait).await
    }
}

#[async_trait]
impl HostList for FaultyPlatform {
    async fn hosts(&self) -> Result<Vec<Host>, ReadError> {
        self.read("hosts", self.platform.hosts()).await
    }
}

#[async_trait]
impl TargetOrders for FaultyPlatform {
    async fn order(&self, order: &TargetOrder) -> Result<OrderedTarget, OrderError> {
        self.order_call(self.platform.order(order)).await
    }

    async fn release(&self, target: &TargetId, fencing: FencingNumber) -> Result<(), OrderError> {
        self.order_call(self.platform.release(target, fencing)).await
    }

    async fn targets(&self) -> Result<Vec<OrderedTarget>, ReadError> {
        self.read("targets", self.platform.targets()).await
    }
}

#[async_trait]
impl UsageReporter for FaultyPlatform {
    async fn report(&self, window: &str, body: &[u8]) -> Result<(), ReportError> {
        let unavailable = ReportError::ReportUnavailable { reason: reason() };
        let lost = ReportError::ReportAnswerLost { reason: reason() };
        let counted = async {
            let result = self.platform.report(window, body).await;
            if matches!(result, Err(ReportError::ConflictingReport { .. })) {
                self.disputes.fetch_add(1, Ordering::SeqCst);
            }
            result
        };
        self.change("report", counted, unavailable, lost).await
    }
}

#[async_trait]
impl WeightStore for FaultyPlatform {
    async fn versions(&self, model: &ModelId) -> Result<Vec<WeightInfo>, ReadError> {
        self.platform.versions(model).await
    }

    async fn fetch(&self, model: &ModelId, version: WeightVersion) -> Result<Vec<u8>, FetchError> {
        self.platform.fetch(model, version).await
    }
}
