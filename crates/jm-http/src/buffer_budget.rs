//! Limit on the memory that all buffered bodies of a client use together.
//!
//! Load pattern: a faulty peer answers many requests at once with bytes that never end. A limit on each body alone lets
//! them fill the memory of the process, and the requests of all other callers end with it. Small bodies are always
//! buffered, so that they are served while large ones are refused.

use std::{
    io,
    sync::atomic::{AtomicU64, Ordering},
};

use jm_types::ByteSize;

/// Size up to which a body does not count.
const UNCOUNTED_BYTES: u64 = 64 * 1024;

#[derive(Debug)]
pub(crate) struct BufferBudget {
    limit: ByteSize,
    used_bytes: AtomicU64,
}

impl BufferBudget {
    pub(crate) fn new(limit: ByteSize) -> Self {
        Self {
            limit,
            used_bytes: AtomicU64::new(0),
        }
    }

    /// The share of a body that is about to be read.
    pub(crate) fn share(&self) -> BufferShare<'_> {
        BufferShare {
            budget: self,
            counted_bytes: 0,
        }
    }
}

/// Memory of one body. Dropping it returns the memory to the budget.
#[derive(Debug)]
pub(crate) struct BufferShare<'a> {
    budget: &'a BufferBudget,
    counted_bytes: u64,
}

impl BufferShare<'_> {
    /// Counts a buffer that has grown to `size_bytes`.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::QuotaExceeded`] when all bodies together exceed the budget.
    pub(crate) fn grow_to(&mut self, size_bytes: u64) -> io::Result<()> {
        let counted_bytes = size_bytes.saturating_sub(UNCOUNTED_BYTES);
        let added_bytes = counted_bytes.saturating_sub(self.counted_bytes);
        if added_bytes == 0 {
            return Ok(());
        }
        let used_bytes = &self.budget.used_bytes;
        let before = used_bytes.fetch_add(added_bytes, Ordering::Relaxed);
        self.counted_bytes += added_bytes;
        let limit = self.budget.limit;
        if before + added_bytes <= limit.get() {
            return Ok(());
        }
        let message = format!("the bodies that are being read exceed {limit} together");
        Err(io::Error::new(io::ErrorKind::QuotaExceeded, message))
    }
}

impl Drop for BufferShare<'_> {
    fn drop(&mut self) {
        self.budget
            .used_bytes
            .fetch_sub(self.counted_bytes, Ordering::Relaxed);
    }
}
