//! Calls to the platform under a lease.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use futures::future::BoxFuture;
use jm_lease::LeaseGuard;
use jm_types::Clock;

use crate::error::DutyError;

/// Proof of holding a lease, for calls behind trait objects.
#[derive(Clone)]
pub(crate) struct Term {
    pub(crate) guard: LeaseGuard,
    clock: Arc<dyn Clock>,
}

impl Term {
    pub(crate) fn new(guard: LeaseGuard, clock: Arc<dyn Clock>) -> Self {
        Self { guard, clock }
    }

    /// Fails when the lease is not valid any more.
    pub(crate) fn check(&self) -> Result<(), DutyError> {
        if self.guard.is_valid(self.clock.now()) {
            Ok(())
        } else {
            Err(DutyError::LeaseLapsed)
        }
    }

    /// Runs a call that changes something outside this process, and checks the lease before each time the call is
    /// polled. A client that connects first and then writes does both in different polls, so a process that was
    /// frozen while it connected does not write.
    ///
    /// An interface behind a trait object does not give access to its writer, so three cases remain that the check
    /// does not cover:
    ///
    /// * a freeze within one poll, between the check and the kernel's copy of the bytes;
    /// * a request of which a part was written before the lease lapsed: the call is given up, and whether it took
    ///   effect is not known;
    /// * bytes that wait in a socket buffer while the lease lapses.
    ///
    /// Each caller makes these harmless by what it sends: conditions on versions for objects, fencing numbers for
    /// target orders, and figures that are fixed in the store before they are reported.
    pub(crate) async fn run<'a, T: 'a, E>(
        &self,
        call: impl Future<Output = Result<T, E>> + Send + 'a,
    ) -> Result<Result<T, E>, DutyError>
    where
        E: 'a,
    {
        Checked {
            term: self.clone(),
            call: Box::pin(call),
        }
        .await
    }
}

struct Checked<'a, T> {
    term: Term,
    call: BoxFuture<'a, T>,
}

impl<T> Future for Checked<'_, T> {
    type Output = Result<T, DutyError>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        match self.term.check() {
            Ok(()) => self.call.as_mut().poll(context).map(Ok),
            Err(lapsed) => Poll::Ready(Err(lapsed)),
        }
    }
}
