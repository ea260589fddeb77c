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

/// Interval between two calls of [`Detector::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Errors of starting or running an agent.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// Binding the socket failed.
    #[snafu(display("cannot bind a UDP socket to {address}: {source}"))]
    Bind {
        /// Address to bind.
        address: SocketAddr,
        /// Error of binding the socket.
        source: io::Error,
    },
    /// Receiving from the socket failed.
    #[snafu(display("receiving from the UDP socket failed: {source}"))]
    Receive {
        /// Error of receiving from the socket.
        source: io::Error,
    },
}

/// A detector with its UDP socket. Clones share both.
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

/// Datagrams and bytes since the start, without IP and UDP headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams passed to the socket, including those that could not be sent.
    pub sent_datagrams: u64,
    /// Size of these datagrams in bytes.
    pub sent_bytes: u64,
    /// Datagrams received, including rejected ones.
    pub received_datagrams: u64,
    /// Size of these datagrams in bytes.
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
    /// Binds the socket to `address`. [`MemberAgent::run`] then sends and receives.
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

    /// Receives datagrams and sends due ones until receiving fails or the future is dropped.
    pub async fn run(&self) -> Result<(), AgentError> {
        let receiving = Box::pin(self.receive());
        let ticking = Box::pin(self.tick());
        match futures::future::select(receiving, ticking).await {
            futures::future::Either::Left((result, _)) => result,
            futures::future::Either::Right(((), _)) => Ok(()),
        }
    }

    /// Returns the current view of the membership.
    pub fn view(&self) -> Arc<MemberView> {
        Arc::clone(&self.state().view)
    }

    /// Returns whether the configuration of this daemon is known to be current; see section 4.2 of `docs/design.md`.
    pub fn is_fresh(&self) -> bool {
        let until = self.state().fresh_until;
        until.is_some_and(|until| self.shared.clock.now() < until)
    }

    /// Returns whether a majority of the members is known to have applied `revision`.
    pub fn is_applied_by_majority(&self, revision: Revision) -> bool {
        self.state().detector.is_applied_by_majority(revision)
    }

    /// Returns the newest accepted revision that this daemon has learned of.
    pub fn accepted(&self) -> Revision {
        self.state().detector.accepted()
    }

    /// Returns the newest load summary for each zone and model.
    pub fn summaries(&self) -> Vec<LoadSummary> {
        let state = self.state();
        let summaries = state.detector.summaries();
        summaries.iter().map(|(summary, _)| summary.clone()).collect()
    }

    /// Publishes a load summary of this daemon.
    pub fn publish_summary(&self, summary: LoadSummary) {
        self.update_detector(|detector, now| detector.publish_summary(summary, now));
    }

    /// Adds a registration that was read from the store.
    pub fn register(&self, record: MemberRecord) {
        self.update_detector(|detector, now| detector.register(record, now));
    }

    /// Removes a member whose registration was deleted from the store.
    pub fn remove(&self, member: &MemberId) {
        self.update_detector(|detector, _| detector.remove(member));
    }

    /// Records that this daemon has applied a revision.
    pub fn set_applied(&self, revision: Revision) {
        self.update_detector(|detector, _| detector.set_applied(revision));
    }

    /// Records an answer of the store to a request sent at `requested_at`, with `current` as the newest accepted
    /// revision.
    pub fn record_store_contact(&self, requested_at: Timestamp, current: Revision) {
        self.update_detector(|detector, _| detector.record_store_contact(requested_at, current));
    }

    /// Returns the traffic since the start.
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
        self.update_detector(Detector::leave);
    }

    fn update_detector(&self, update: impl FnOnce(&mut Detector, Timestamp)) {
        let mut state = self.state();
        let now = self.shared.clock.now();
        update(&mut state.detector, now);
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
                    LogEvent::ConnectionFailed.write(format_args!("rejected datagram from {from}: {error}"));
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
            async_std::task::sleep(TICK_INTERVAL).await;
        }
    }

    async fn perform(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, datagram } => match encode_datagram(*datagram, &self.shared.secret) {
                    Ok(bytes) => self.transmit(&bytes, to).await,
                    Err(error) => {
                        LogEvent::ConnectionFailed
                            .write(format_args!("cannot encode datagram to {to}: {error}"));
                    }
                },
                Action::Changed { member, state } => log_change(&member, state),
            }
        }
    }

    /// Sends a datagram. Errors are ignored like losses in the network, which probes detect.
    async fn transmit(&self, bytes: &[u8], to: SocketAddr) {
        self.shared.sent.add(bytes.len());
        drop(self.shared.socket.send_to(bytes, to).await);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // The detector remains consistent even when a call to it panics.
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_change(member: &MemberId, state: MemberState) {
    match state {
        MemberState::Alive => LogEvent::MemberAlive.write(format_args!("member {member} is alive")),
        MemberState::Leaving => LogEvent::MemberAlive.write(format_args!("member {member} is leaving")),
        MemberState::Suspected => {
            LogEvent::MemberSuspected.write(format_args!("member {member} is suspected: no answer to probes"))
        }
        MemberState::Failed => LogEvent::MemberFailed.write(format_args!("member {member} has failed")),
    }
}
