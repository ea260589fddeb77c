//! State of the requests that are queued or running.

use jm_types::Timestamp;

use crate::{Class, QueuedRequest, placement::PlacementQuery};

/// Whether a request is queued or running.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Stage {
    /// Queued; holds the sequence number in the fair queue.
    Waiting(u64),
    /// Sent to a target.
    Running(InFlight),
}

/// Accounting state of a running request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InFlight {
    pub(crate) slot: usize,
    /// The part of the target's window that the request occupies, in the window's unit.
    pub(crate) cost: u64,
    /// Tokens charged to the organisation so far.
    pub(crate) charged: u64,
    pub(crate) generated: u64,
    pub(crate) last_progress: Timestamp,
}

/// A request that the scheduler holds, from submission to its end.
#[derive(Debug)]
pub(crate) struct Tracked {
    pub(crate) request: QueuedRequest,
    pub(crate) service: usize,
    pub(crate) organisation: usize,
    /// Token estimate at submission.
    pub(crate) tokens: u64,
    pub(crate) stage: Stage,
}

impl Tracked {
    pub(crate) fn class(&self) -> Class {
        self.request.class
    }

    /// Tokens of the prompt and of `generated` output tokens; at least 1.
    pub(crate) fn used_tokens(&self, generated: u64) -> u64 {
        (self.request.prompt_tokens.get() + generated).max(1)
    }

    /// The input for target selection. `tokens` is the current estimate, which includes observations made after the
    /// request was submitted.
    pub(crate) fn placement_query(&self, tokens: u64) -> PlacementQuery<'_> {
        PlacementQuery {
            class: self.class(),
            tokens,
            prompt_tokens: self.request.prompt_tokens.get(),
            prefix_hashes: &self.request.prefix_hashes,
            avoid: &self.request.avoid,
            seed: self.request.id.get(),
        }
    }
}
