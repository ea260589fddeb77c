//! Selects the connection to close when the buffers of a process exceed their budget.
//!
//! Load pattern: untrusted clients send many large bodies of permitted size at once, and most stop just before the end
//! and stay open, or send the beginning of a body and then a byte now and then, while ordinary callers send and receive a
//! few bodies that make progress.

use std::net::IpAddr;

use indexmap::IndexMap;
use jm_types::{ByteSize, DurationMs};

/// Size up to which buffers that make progress are always accepted: a body of 64 KiB with the buffers of its connection.
pub(crate) const SMALL_BYTES: u64 = 96 * 1024;
/// Time within which the small body of an ordinary caller arrives. After it, a connection that still receives one is
/// rejected like one with a large body.
const SMALL_BODY_TIME_MS: DurationMs = DurationMs::new(2_000);
/// Time without progress after which a connection counts as stalled. Ordinary callers pause for less than this, even
/// after the loss of a packet, and the budget is only exhausted while many others send.
const STALL_MS: DurationMs = DurationMs::new(1_000);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Phase {
    /// It waits for a request or receives a head.
    Waiting,
    /// It receives a body.
    Receiving,
    /// Its request has been received completely and may run.
    Running,
    /// It sends a response.
    Sending,
    /// A client reads a response.
    Answering,
}

impl Phase {
    /// Whether the memory belongs to a response.
    pub(crate) fn is_response(self) -> bool {
        matches!(self, Self::Sending | Self::Answering)
    }
}

/// A connection that holds memory.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) id: u64,
    /// Address of the client; `None` if it is unknown.
    pub(crate) client: Option<IpAddr>,
    pub(crate) phase: Phase,
    /// Memory that the connection holds.
    pub(crate) held: ByteSize,
    /// Size that the client declared for the body that it sends; zero if it declared none.
    pub(crate) declared: ByteSize,
    /// Bytes that were received or sent in this phase.
    pub(crate) moved: ByteSize,
    /// Time since the phase began.
    pub(crate) age_ms: DurationMs,
    /// Time since the last byte was received or sent.
    pub(crate) idle_ms: DurationMs,
}

impl Candidate {
    fn is_stalled(&self) -> bool {
        self.idle_ms >= STALL_MS
    }

    /// A body that is declared as large counts as large before it has arrived.
    fn is_small(&self) -> bool {
        self.held.max(self.declared).get() <= SMALL_BYTES
    }

    /// A request that may run is never rejected, because the rejection would not be true. A response is only given up
    /// once its reader has stopped.
    fn may_be_rejected(&self) -> bool {
        match self.phase {
            Phase::Running | Phase::Answering => false,
            Phase::Receiving => self.is_stalled() || !self.is_small() || self.age_ms >= SMALL_BODY_TIME_MS,
            Phase::Waiting | Phase::Sending => self.is_stalled(),
        }
    }

    /// Progress for the age, in bytes per second.
    fn bytes_per_s(&self) -> u64 {
        self.moved.get().saturating_mul(1_000) / self.age_ms.get().max(1)
    }
}

/// Returns the id of the connection to reject, or `None` if none may be rejected. Small ones are only rejected when
/// `rejects_small` is set: closing them all would not make room for a large body.
///
/// A stalled connection goes before one that makes progress, and a large one before a small one, which frees little.
/// Next come the clients that hold the most connections with large buffers, and among their connections the one with
/// the least progress for its age.
pub(crate) fn select(candidates: &[Candidate], rejects_small: bool) -> Option<u64> {
    let mut large_by_client: IndexMap<Option<IpAddr>, u64> = IndexMap::new();
    for candidate in candidates.iter().filter(|candidate| !candidate.is_small()) {
        *large_by_client.entry(candidate.client).or_default() += 1;
    }
    let rank = |candidate: &&Candidate| {
        let open = large_by_client.get(&candidate.client).copied().unwrap_or(0);
        (
            !candidate.is_stalled(),
            candidate.is_small(),
            std::cmp::Reverse(open),
            candidate.bytes_per_s(),
            candidate.id,
        )
    };
    let eligible = candidates
        .iter()
        .filter(|candidate| candidate.may_be_rejected() && (rejects_small || !candidate.is_small()));
    eligible.min_by_key(rank).map(|candidate| candidate.id)
}
