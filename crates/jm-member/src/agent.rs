//! Runs a detector on a UDP socket.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::net::UdpSocket;
use jm_link::FleetSecret;
use jm_types::{Clock, LogEvent, MemberId, Revision, Timestamp};
use rand::SeedableRng;
use rand::rngs::StdRng;
use snafu::{ResultExt, Snafu};

use crate::{
    Action, Detector, LoadSummary, MAX_DATAGRAM_BYTES, MemberRecord, MemberState, MemberView,
    decode_datagram, encode_datagram,
};

/// Time between two calls of [`Detector::tick`].
const TICK: Duration = Duration::from_millis(100);

/// Why an agent ended or did not start.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// The address cannot be bound.
    #[snafu(display("the address {address} cannot be bound: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The socket cannot receive.
    #[snafu(display("the socket cannot receive: {source}"))]
    Receive {
        /// The cause.
        source: io::Error,
    },
}

/// A detector with its socket. Clones share both.
#[derive(Clone)]
pub struct MemberAgent {
    shared: Arc<Shared>,
}

struct Shared {
    socket: UdpSocket,
    secret: FleetSecret,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    sent: Counter,
    received: Counter,
}

/// Datagrams and their bytes since the start, without the headers of IP and UDP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received_datagrams: u64,
    /// Bytes received.
    pub received_bytes: u64,
}

#[derive(Default)]
struct Counter {
    datagrams: AtomicU64,
    bytes: AtomicU64,
}

impl Counter {
    fn add(&self, bytes: usize) {
        self.datagrams.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

struct State {
    detector: Detector,
    random: StdRng,
    view: Arc<MemberView>,
    fresh_until: Option<Timestamp>,
}

impl State {
    fn refresh(&mut self, now: Timestamp) {
        if self.view.version() != self.detector.view().version() {
            self.view = Arc::new(self.detector.view().clone());
        }
        self.fresh_until = self.detector.freshness().fresh_until(now, self.detector.view());
    }
}

impl MemberAgent {
    /// Binds the socket to `address`.
    pub async fn bind(
        address: SocketAddr,
        detector: Detector,
        secret: FleetSecret,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, AgentError> {
        let socket = UdpSocket::bind(address).await.context(BindSnafu { address })?;
        let view = Arc::new(detector.view().clone());
        let state = State {
            detector,
            random: StdRng::from_os_rng(),
            view,
            fresh_until: None,
        };
        let shared = Shared {
            socket,
            secret,
            clock,
            state: Mutex::new(state),
            sent: Counter::default(),
            received: Counter::default(),
        };
        Ok(Self {
            shared: Arc::new(shared),
        })
    }

    /// Receives and sends until the socket fails or the future is dropped.
    pub async fn run(&self) -> Result<(), AgentError> {
        let receiving = Box::pin(self.receive());
        let ticking = Box::pin(self.tick());
        match futures::future::select(receiving, ticking).await {
            futures::future::Either::Left((result, _)) => result,
            futures::future::Either::Right(((), _)) => Ok(()),
        }
    }

    /// The members as last heard of.
    pub fn view(&self) -> Arc<MemberView> {
        Arc::clone(&self.state().view)
    }

    /// Whether the configuration of this daemon is known to be current; see section 4.2 of `docs/design.md`.
    pub fn is_fresh(&self) -> bool {
        let until = self.state().fresh_until;
        until.is_some_and(|until| self.shared.clock.now() < until)
    }

    /// Whether a majority of the members has applied `revision`.
    pub fn is_applied_by_majority(&self, revision: Revision) -> bool {
        self.state().detector.is_applied_by_majority(revision)
    }

    /// The newest revision that is known to be accepted.
    pub fn accepted(&self) -> Revision {
        self.state().detector.accepted()
    }

    /// The load summaries.
    pub fn summaries(&self) -> Vec<LoadSummary> {
        let state = self.state();
        let summaries = state.detector.summaries();
        summaries.iter().map(|(summary, _)| summary.clone()).collect()
    }

    /// Publishes a load summary of this daemon.
    pub fn publish_summary(&self, summary: LoadSummary) {
        self.change(|detector, now| detector.publish_summary(summary, now));
    }

    /// Merges a registration of the store.
    pub fn register(&self, record: MemberRecord) {
        self.change(|detector, now| detector.register(record, now));
    }

    /// Merges the removal of a registration.
    pub fn remove(&self, member: &MemberId) {
        self.change(|detector, _| detector.remove(member));
    }

    /// This daemon has applied a revision.
    pub fn set_applied(&self, revision: Revision) {
        self.change(|detector, _| detector.set_applied(revision));
    }

    /// The store answered a request sent at `requested_at`; `current` was the newest accepted revision.
    pub fn record_store_contact(&self, requested_at: Timestamp, current: Revision) {
        self.change(|detector, _| detector.record_store_contact(requested_at, current));
    }

    /// Datagrams and bytes since the start.
    pub fn traffic(&self) -> Traffic {
        let (sent, received) = (&self.shared.sent, &self.shared.received);
        Traffic {
            sent_datagrams: sent.datagrams.load(Ordering::Relaxed),
            sent_bytes: sent.bytes.load(Ordering::Relaxed),
            received_datagrams: received.datagrams.load(Ordering::Relaxed),
            received_bytes: received.bytes.load(Ordering::Relaxed),
        }
    }

    /// Announces that this daemon is about to stop.
    pub fn leave(&self) {
        self.change(Detector::leave);
    }

    fn change(&self, change: impl FnOnce(&mut Detector, Timestamp)) {
        let mut state = self.state();
        let now = self.shared.clock.now();
        change(&mut state.detector, now);
        state.refresh(now);
    }

    async fn receive(&self) -> Result<(), AgentError> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let received = self.shared.socket.recv_from(&mut buffer).await;
            let (length, from) = received.context(ReceiveSnafu)?;
            self.shared.received.add(length);
            let datagram = match decode_datagram(&buffer[..length], &self.shared.secret) {
                Ok(datagram) => datagram,
                Err(error) => {
                    LogEvent::ConnectionFailed.write(format_args!("datagram from {from} refused: {error}"));
                    continue;
                }
            };
            let actions = {
                let mut state = self.state();
                let now = self.shared.clock.now();
                let actions = state.detector.on_message(from, datagram, now);
                state.refresh(now);
                actions
            };
            self.perform(actions).await;
        }
    }

    async fn tick(&self) {
        loop {
            let actions = {
                let mut guard = self.state();
                let state = &mut *guard;
                let now = self.shared.clock.now();
                let actions = state.detector.tick(now, &mut state.random);
                state.refresh(now);
                actions
            };
            self.perform(actions).await;
            async_std::task::sleep(TICK).await;
        }
    }

    async fn perform(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, datagram } => match encode_datagram(*datagram, &self.shared.secret) {
                    Ok(bytes) => self.transmit(&bytes, to).await,
                    Err(error) => {
                        LogEvent::ConnectionFailed.write(format_args!("datagram to {to} not sent: {error}"));
                    }
                },
                Action::Changed { member, state } => log_change(&member, state),
            }
        }
    }

    /// A datagram that cannot be sent counts as lost; probes find out.
    async fn transmit(&self, bytes: &[u8], to: SocketAddr) {
        self.shared.sent.add(bytes.len());
        drop(self.shared.socket.send_to(bytes, to).await);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // The detector is consistent after each call, also after one that panicked.
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_change(member: &MemberId, state: MemberState) {
    match state {
        MemberState::Alive => LogEvent::MemberAlive.write(format_args!("member {member} is alive")),
        MemberState::Leaving => LogEvent::MemberAlive.write(format_args!("member {member} is leaving")),
        MemberState::Suspected => {
            LogEvent::MemberSuspected.write(format_args!("member {member} does not answer"))
        }
        MemberState::Failed => LogEvent::MemberFailed.write(format_args!("member {member} has failed")),
    }
}
