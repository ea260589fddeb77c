//! Wakes tasks that wait for a change of shared state.

use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::channel::oneshot;

/// Wakes all listeners on each notification. A waiter listens first, then checks the state, then waits, so that no
/// change between the check and the wait is missed.
#[derive(Default)]
pub(crate) struct Notify {
    listeners: Mutex<Vec<oneshot::Sender<()>>>,
}

impl Notify {
    pub(crate) fn listen(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut listeners = lock(&self.listeners);
        listeners.retain(|listener| !listener.is_canceled());
        listeners.push(sender);
        receiver
    }

    pub(crate) fn notify(&self) {
        lock(&self.listeners).clear();
    }
}

/// The states of the stand-ins are consistent between any two statements that can panic, so a poisoned lock is still
/// usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
