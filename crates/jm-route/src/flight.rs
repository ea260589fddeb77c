//! Requests that wait or run.

use jm_types::Timestamp;

use crate::{Class, QueuedRequest, placement::Need};

/// Where a request stands.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Stage {
    /// It waits; holds its place in the fair queue.
    Waiting(u64),
    /// It runs on a target.
    Running(Flight),
}

/// The account of a running request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Flight {
    pub(crate) slot: usize,
    /// What it takes of the window.
    pub(crate) cost: u64,
    /// Tokens charged to its organisation.
    pub(crate) charged: u64,
    pub(crate) generated: u64,
    pub(crate) last_progress: Timestamp,
}

/// A request known to the scheduler.
#[derive(Debug)]
pub(crate) struct Tracked {
    pub(crate) request: QueuedRequest,
    pub(crate) service: usize,
    pub(crate) organisation: usize,
    /// Estimated tokens at submission.
    pub(crate) tokens: u64,
    pub(crate) stage: Stage,
}

impl Tracked {
    pub(crate) fn class(&self) -> Class {
        self.request.class
    }

    /// Tokens of prompt and answer once `generated` tokens are known; at least 1.
    pub(crate) fn used_tokens(&self, generated: u64) -> u64 {
        (self.request.prompt_tokens.get() + generated).max(1)
    }

    /// What the choice of a target depends on; `tokens` is the present estimate, which knows more than the one at
    /// submission.
    pub(crate) fn need(&self, tokens: u64) -> Need<'_> {
        Need {
            class: self.class(),
            tokens,
            prompt_tokens: self.request.prompt_tokens.get(),
            prefix_hashes: &self.request.prefix_hashes,
            avoid: &self.request.avoid,
            seed: self.request.id.get(),
        }
    }
}
