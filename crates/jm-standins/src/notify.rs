//! Wakes tasks that wait for a change of shared state.

use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::channel::oneshot;

/// Wakes all listeners on each notification. A waiter registers first, then checks the state, then waits, so that it
/// misses no change between the check and the wait.
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

/// Locks a mutex even when it is poisoned. The state of a stand-in is consistent between any two statements that can
/// panic, so it is still usable after a panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
