//! Memory of one connection or body, which grows within the budget of its process.

use std::{
    convert::Infallible,
    io,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use async_std::{channel::Receiver, task};
use jm_types::{ByteSize, DurationMs};

use super::{BufferBudget, Holder, RejectionReason};
use crate::rejection::{Phase, SMALL_BYTES};

/// Time after which a buffer that waits for memory first checks whether a rejected one has released its own. The interval
/// doubles up to [`MAX_WAIT_INTERVAL`], because each check compares all connections, and many bodies may wait.
const MIN_WAIT_INTERVAL: Duration = Duration::from_millis(5);
const MAX_WAIT_INTERVAL: Duration = Duration::from_millis(160);

/// Part of the limit that responses may use together, in percent. While nobody reads them, they must leave memory for
/// requests. On the smallest machines, the part holds the largest answers of the store (16 MB).
const RESPONSE_PERCENT: u64 = 60;

enum Attempt {
    Counted,
    /// Rejected holders will release enough memory.
    Wait,
    Refused,
    /// The buffer exceeds the whole budget.
    Impossible,
}

/// Memory of one connection or body. Dropping it returns the memory to the budget.
#[derive(Debug)]
pub struct BufferShare {
    pub(super) budget: BufferBudget,
    pub(super) holder: Arc<Holder>,
    pub(super) rejected: Receiver<Infallible>,
}

impl BufferShare {
    /// Counts a buffer before it grows to `size_bytes`, and rejects others if the budget is exhausted. Waits up to
    /// `max_wait` until they have released their memory. Small buffers may exceed the budget by a reserve. A buffer that
    /// exceeds the whole budget fails at once, without a rejection of others.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::QuotaExceeded`] when there is no memory for this buffer.
    pub async fn grow_to(&self, size_bytes: u64, max_wait: DurationMs) -> io::Result<()> {
        let begun = Instant::now();
        let mut interval = MIN_WAIT_INTERVAL;
        loop {
            let is_late = begun.elapsed() >= max_wait.as_std();
            match self.try_grow(size_bytes) {
                Attempt::Counted => return Ok(()),
                Attempt::Wait | Attempt::Refused if !is_late => {
                    // A peer cannot make progress while its bytes are not read, so the wait is not counted as a stall.
                    self.progressed(0);
                    task::sleep(interval).await;
                    interval = (interval * 2).min(MAX_WAIT_INTERVAL);
                }
                Attempt::Wait | Attempt::Refused | Attempt::Impossible => break,
            }
        }
        self.budget.count_rejection(RejectionReason::NoMemory);
        let message = format!("the buffers of this process exceed {}", self.budget.0.limit);
        Err(io::Error::new(io::ErrorKind::QuotaExceeded, message))
    }

    fn try_grow(&self, size_bytes: u64) -> Attempt {
        let budget = &self.budget;
        let now_ms = budget.now_ms();
        let mut state = budget.state();
        let added_bytes = size_bytes.saturating_sub(self.holder.held());
        let excess_bytes = (state.used_bytes + added_bytes).saturating_sub(budget.0.limit.get());
        let expected_bytes = size_bytes.max(self.holder.declared_bytes.load(Ordering::Relaxed));
        let is_small = expected_bytes <= SMALL_BYTES;
        let is_reserved = excess_bytes <= budget.reserve_bytes(expected_bytes);
        if size_bytes > budget.0.limit.get() && !is_small {
            return Attempt::Impossible;
        }
        if self.phase() == Phase::Answering && !is_small {
            let limit_bytes = budget.0.limit.get() / 100 * RESPONSE_PERCENT;
            let (rejected, has_room) = state.make_room_for_response(added_bytes, limit_bytes, now_ms);
            if !has_room || rejected > 0 {
                drop(state);
                budget.count_rejections(rejected);
                return if has_room { Attempt::Wait } else { Attempt::Refused };
            }
        }
        if is_reserved {
            state.set_held(&self.holder, size_bytes);
        }
        let (rejected, has_room) = state.make_room(excess_bytes, &self.holder, is_small, now_ms);
        drop(state);
        budget.count_rejections(rejected);
        match (is_reserved, has_room) {
            (true, _) => Attempt::Counted,
            (false, true) => Attempt::Wait,
            (false, false) => Attempt::Refused,
        }
    }

    /// Counts a buffer that already has `size_bytes`, and rejects others if the budget is exceeded.
    pub fn set(&self, size_bytes: u64) {
        let budget = &self.budget;
        let now_ms = budget.now_ms();
        let mut state = budget.state();
        state.set_held(&self.holder, size_bytes);
        let excess_bytes = state.used_bytes.saturating_sub(budget.0.limit.get());
        let (rejected, _) = state.make_room(excess_bytes, &self.holder, true, now_ms);
        drop(state);
        budget.count_rejections(rejected);
    }

    /// Moves `size_bytes` of this share into one that is not rejected in favour of others.
    pub(crate) fn split(&self, size_bytes: u64) -> Self {
        let split = self.budget.share();
        let mut state = self.budget.state();
        let held_bytes = self.holder.held();
        state.set_held(&self.holder, held_bytes.saturating_sub(size_bytes));
        state.set_held(&split.holder, size_bytes);
        drop(state);
        split
    }

    /// Begins a phase of a connection. Returns false when the connection has been rejected before, so that a rejected
    /// request never runs.
    pub(crate) fn begin(&self, phase: Phase) -> bool {
        let now_ms = self.budget.now_ms();
        let _state = self.budget.state();
        if self.holder.is_rejected() {
            return false;
        }
        *self.holder.phase() = phase;
        self.holder.declared_bytes.store(0, Ordering::Relaxed);
        self.holder.moved_bytes.store(0, Ordering::Relaxed);
        self.holder.phase_began_ms.store(now_ms, Ordering::Relaxed);
        self.holder.progress_at_ms.store(now_ms, Ordering::Relaxed);
        true
    }

    /// Records the size that the client declares for the body that it sends in this phase.
    pub(crate) fn declare(&self, size_bytes: u64) {
        self.holder.declared_bytes.store(size_bytes, Ordering::Relaxed);
    }

    /// Limit of the budget to which this share belongs.
    pub(crate) fn limit(&self) -> ByteSize {
        self.budget.0.limit
    }

    /// Current phase of the connection.
    pub(crate) fn phase(&self) -> Phase {
        *self.holder.phase()
    }

    /// Records that `amount` bytes were received or sent.
    pub(crate) fn progressed(&self, amount: usize) {
        let now_ms = self.budget.now_ms();
        self.holder
            .moved_bytes
            .fetch_add(amount as u64, Ordering::Relaxed);
        self.holder.progress_at_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Resolves when this share is rejected in favour of others.
    pub(crate) fn rejection(&self) -> impl Future<Output = ()> + Send + use<> {
        let rejected = self.rejected.clone();
        // No message is ever sent. `recv` fails when the rejection closes the channel.
        async move {
            let _ = rejected.recv().await;
        }
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        let mut state = self.budget.state();
        state.set_held(&self.holder, 0);
        state.holders.swap_remove(&self.holder.id);
        state.connections -= usize::from(self.holder.is_connection.swap(false, Ordering::Relaxed));
    }
}
