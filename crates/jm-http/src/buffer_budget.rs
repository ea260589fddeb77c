//! Limit on the memory of all buffers that the servers and clients of a process use together.
//!
//! Load pattern: faulty peers and untrusted clients send many bodies at once that never end, or read none of their
//! responses. A limit on each body alone lets them fill the memory of the process, and the requests of all other callers
//! end with it. Bytes are counted before a buffer grows. Small bodies have a reserve, so that they are served while large ones
//! are refused.

mod share;

use std::{
    convert::Infallible,
    net::IpAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Instant,
};

use async_std::channel::{Sender, bounded};
use indexmap::IndexMap;
use jm_types::{ByteSize, DurationMs, LogEvent};

pub use self::share::BufferShare;
use crate::rejection::{Candidate, Phase, SMALL_BYTES, select};

/// Minimum time between two log lines about rejections.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Part of the limit by which small buffers may exceed it, in percent.
const SMALL_RESERVE_PERCENT: u64 = 5;
/// Size up to which a buffer may use the larger reserve: a body of some KiB with the buffers of its connection. Callers
/// with such requests are answered while others release their memory.
const ORDINARY_BYTES: u64 = 32 * 1024;
/// Part of the limit by which buffers up to [`ORDINARY_BYTES`] may exceed it, in percent.
const ORDINARY_RESERVE_PERCENT: u64 = 50;

/// Why a body was rejected, for the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionReason {
    /// It made no progress, or the least of all, when another buffer needed memory.
    Selected,
    /// It needed memory itself, and none could be made available.
    NoMemory,
}

/// Memory budget shared by the servers and clients of a process. Clones share the budget.
#[derive(Debug, Clone)]
pub struct BufferBudget(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    limit: ByteSize,
    max_connections: usize,
    started: Instant,
    state: Mutex<State>,
    selected: AtomicU64,
    without_memory: AtomicU64,
    /// Time of the last log line, in milliseconds since `started`, plus one. Zero before the first line.
    logged_at_ms: AtomicU64,
}

#[derive(Debug, Default)]
struct State {
    next_id: u64,
    used_bytes: u64,
    /// Bytes of rejected holders that have not been released yet.
    releasing_bytes: u64,
    /// Number of connections that have not been rejected.
    connections: usize,
    holders: IndexMap<u64, Arc<Holder>>,
}

/// One holder of memory. Its fields other than the progress change only under the lock of the state.
#[derive(Debug)]
struct Holder {
    id: u64,
    client: Option<IpAddr>,
    phase: Mutex<Phase>,
    held_bytes: AtomicU64,
    declared_bytes: AtomicU64,
    moved_bytes: AtomicU64,
    phase_began_ms: AtomicU64,
    progress_at_ms: AtomicU64,
    is_rejected: AtomicBool,
    /// Whether it counts as a connection.
    is_connection: AtomicBool,
    /// Closed when the holder is rejected.
    rejection: Sender<Infallible>,
}

impl BufferBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: ByteSize) -> Self {
        Self::with_connections(limit, usize::MAX)
    }

    /// Creates a budget of `limit` bytes for servers that may have `max_connections` open connections together.
    pub fn with_connections(limit: ByteSize, max_connections: usize) -> Self {
        Self(Arc::new(Inner {
            limit,
            max_connections,
            started: Instant::now(),
            state: Mutex::default(),
            selected: AtomicU64::new(0),
            without_memory: AtomicU64::new(0),
            logged_at_ms: AtomicU64::new(0),
        }))
    }

    /// Maximum number of bytes that all buffers use together.
    pub fn limit(&self) -> ByteSize {
        self.0.limit
    }

    /// Number of bytes that the buffers use now.
    pub fn used(&self) -> ByteSize {
        ByteSize::new(self.state().used_bytes)
    }

    /// Number of rejected buffers since the start.
    pub fn rejected(&self, reason: RejectionReason) -> u64 {
        match reason {
            RejectionReason::Selected => self.0.selected.load(Ordering::Relaxed),
            RejectionReason::NoMemory => self.0.without_memory.load(Ordering::Relaxed),
        }
    }

    /// A share without memory, for a buffer that is not rejected in favour of others.
    pub fn share(&self) -> BufferShare {
        self.share_of(None, Phase::Running)
    }

    /// A share for a response that an HTTP client of this process reads.
    pub(crate) fn response_share(&self) -> BufferShare {
        self.share_of(None, Phase::Answering)
    }

    /// The share of a connection, which may be rejected. At the maximum number of connections, a stalled one is rejected
    /// for it. Returns `None` if there is none.
    pub(crate) fn connection_share(&self, client: Option<IpAddr>) -> Option<BufferShare> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let is_full = state.connections >= self.0.max_connections;
        if is_full {
            let selected = select(&state.candidates(now_ms), true)?;
            state.reject(selected);
        }
        let share = self.insert_holder(&mut state, client, Phase::Waiting);
        state.connections += 1;
        share.holder.is_connection.store(true, Ordering::Relaxed);
        drop(state);
        if is_full {
            self.count_rejection(RejectionReason::Selected);
        }
        Some(share)
    }

    /// Bytes by which a buffer that is expected to grow to `expected_bytes` may exceed the budget.
    fn reserve_bytes(&self, expected_bytes: u64) -> u64 {
        let percent = if expected_bytes <= ORDINARY_BYTES {
            ORDINARY_RESERVE_PERCENT
        } else if expected_bytes <= SMALL_BYTES {
            SMALL_RESERVE_PERCENT
        } else {
            0
        };
        self.0.limit.get() / 100 * percent
    }

    fn share_of(&self, client: Option<IpAddr>, phase: Phase) -> BufferShare {
        self.insert_holder(&mut self.state(), client, phase)
    }

    fn insert_holder(&self, state: &mut State, client: Option<IpAddr>, phase: Phase) -> BufferShare {
        let (rejection, rejected) = bounded(1);
        let now_ms = self.now_ms();
        let id = state.next_id;
        state.next_id += 1;
        let holder = Arc::new(Holder {
            id,
            client,
            phase: Mutex::new(phase),
            held_bytes: AtomicU64::new(0),
            declared_bytes: AtomicU64::new(0),
            moved_bytes: AtomicU64::new(0),
            phase_began_ms: AtomicU64::new(now_ms),
            progress_at_ms: AtomicU64::new(now_ms),
            is_rejected: AtomicBool::new(false),
            is_connection: AtomicBool::new(false),
            rejection,
        });
        state.holders.insert(id, Arc::clone(&holder));
        BufferShare {
            budget: self.clone(),
            holder,
            rejected,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // No code can panic between two related changes under this lock, so a poisoned lock is still consistent.
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.0.started.elapsed().as_millis() as u64
    }

    fn count_rejections(&self, selected: usize) {
        for _ in 0..selected {
            self.count_rejection(RejectionReason::Selected);
        }
    }

    fn count_rejection(&self, reason: RejectionReason) {
        let counter = match reason {
            RejectionReason::Selected => &self.0.selected,
            RejectionReason::NoMemory => &self.0.without_memory,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let now_ms = self.now_ms() + 1;
        let logged_at_ms = self.0.logged_at_ms.load(Ordering::Relaxed);
        let is_due = logged_at_ms == 0 || now_ms >= logged_at_ms + LOG_INTERVAL_MS;
        let replaced =
            self.0
                .logged_at_ms
                .compare_exchange(logged_at_ms, now_ms, Ordering::Relaxed, Ordering::Relaxed);
        if is_due && replaced.is_ok() {
            LogEvent::BufferRejected.write_fields(
                "the buffers of this process exceed their budget; a body or connection was rejected",
                &[
                    ("used_bytes", &self.used().get()),
                    ("limit_bytes", &self.0.limit.get()),
                    ("selected", &self.0.selected.load(Ordering::Relaxed)),
                    ("without_memory", &self.0.without_memory.load(Ordering::Relaxed)),
                ],
            );
        }
    }
}

impl State {
    /// Memory that responses use, apart from rejected ones.
    fn response_bytes(&self) -> u64 {
        let open = self.holders.values().filter(|holder| !holder.is_rejected());
        let responses = open.filter(|holder| holder.phase().is_response());
        responses.map(|holder| holder.held()).sum()
    }

    /// Rejects responses that nobody reads until another one of `added_bytes` fits. Returns the number of rejected ones
    /// and whether it fits.
    fn make_room_for_response(&mut self, added_bytes: u64, limit_bytes: u64, now_ms: u64) -> (usize, bool) {
        let mut rejected = 0;
        while self.response_bytes() + added_bytes > limit_bytes {
            let mut sending = self.candidates(now_ms);
            sending.retain(|candidate| candidate.phase == Phase::Sending);
            let Some(id) = select(&sending, false) else {
                return (rejected, false);
            };
            self.reject(id);
            rejected += 1;
        }
        (rejected, true)
    }

    fn candidates(&self, now_ms: u64) -> Vec<Candidate> {
        let open = self.holders.values().filter(|holder| !holder.is_rejected());
        open.map(|holder| holder.candidate(now_ms)).collect()
    }

    /// Rejects holders until `excess_bytes` are being released. Returns the number of rejected holders and whether the
    /// memory suffices. Stops when `own` is selected.
    fn make_room(
        &mut self,
        excess_bytes: u64,
        own: &Holder,
        rejects_small: bool,
        now_ms: u64,
    ) -> (usize, bool) {
        let mut rejected = 0;
        while self.releasing_bytes < excess_bytes {
            let selected = select(&self.candidates(now_ms), rejects_small).filter(|id| *id != own.id);
            let Some(id) = selected else {
                return (rejected, false);
            };
            self.reject(id);
            rejected += 1;
        }
        (rejected, true)
    }

    fn reject(&mut self, id: u64) {
        let Some(holder) = self.holders.get(&id) else {
            return;
        };
        holder.is_rejected.store(true, Ordering::Relaxed);
        holder.rejection.close();
        self.releasing_bytes += holder.held();
        self.connections -= usize::from(holder.is_connection.swap(false, Ordering::Relaxed));
    }

    fn set_held(&mut self, holder: &Holder, bytes: u64) {
        let before = holder.held_bytes.swap(bytes, Ordering::Relaxed);
        self.used_bytes = self.used_bytes + bytes - before;
        if holder.is_rejected() {
            self.releasing_bytes = self.releasing_bytes + bytes - before;
        }
    }
}

impl Holder {
    fn is_rejected(&self) -> bool {
        self.is_rejected.load(Ordering::Relaxed)
    }

    fn held(&self) -> u64 {
        self.held_bytes.load(Ordering::Relaxed)
    }

    fn phase(&self) -> MutexGuard<'_, Phase> {
        self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn candidate(&self, now_ms: u64) -> Candidate {
        let since = |time: &AtomicU64| DurationMs::new(now_ms.saturating_sub(time.load(Ordering::Relaxed)));
        Candidate {
            id: self.id,
            client: self.client,
            phase: *self.phase(),
            held: ByteSize::new(self.held()),
            declared: ByteSize::new(self.declared_bytes.load(Ordering::Relaxed)),
            moved: ByteSize::new(self.moved_bytes.load(Ordering::Relaxed)),
            age_ms: since(&self.phase_began_ms),
            idle_ms: since(&self.progress_at_ms),
        }
    }
}
