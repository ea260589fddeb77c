//! Calls to the platform that are guarded by a lease.

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

/// A held lease that guards calls through trait objects.
#[derive(Clone)]
pub(crate) struct Term {
    pub(crate) guard: LeaseGuard,
    clock: Arc<dyn Clock>,
}

impl Term {
    pub(crate) fn new(guard: LeaseGuard, clock: Arc<dyn Clock>) -> Self {
        Self { guard, clock }
    }

    /// Returns an error if the lease is no longer valid.
    pub(crate) fn check(&self) -> Result<(), DutyError> {
        if self.guard.is_valid(self.clock.now()) {
            Ok(())
        } else {
            Err(DutyError::LeaseExpired)
        }
    }

    /// Runs a call that changes state outside this process, and checks the lease before each poll of the call. A
    /// client connects and writes in different polls, so a process that was frozen while it connected does not write.
    ///
    /// The check has no access to the writer behind a trait object. It therefore does not cover three cases:
    ///
    /// * a freeze within one poll, between the check and the copy of the bytes into the kernel;
    /// * a request that was partly written before the lease expired: the call is abandoned, and its effect is unknown;
    /// * bytes in a socket buffer when the lease expires.
    ///
    /// Each caller makes these cases harmless: object writes carry version conditions, target orders carry fencing
    /// numbers, and usage counts are fixed in the store before they are reported.
    pub(crate) async fn run<'a, T: 'a, E>(
        &self,
        call: impl Future<Output = Result<T, E>> + Send + 'a,
    ) -> Result<Result<T, E>, DutyError>
    where
        E: 'a,
    {
        GuardedCall {
            term: self.clone(),
            call: Box::pin(call),
        }
        .await
    }
}

struct GuardedCall<'a, T> {
    term: Term,
    call: BoxFuture<'a, T>,
}

impl<T> Future for GuardedCall<'_, T> {
    type Output = Result<T, DutyError>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        match self.term.check() {
            Ok(()) => self.call.as_mut().poll(context).map(Ok),
            Err(expired) => Poll::Ready(Err(expired)),
        }
    }
}
