//! Requests for listings of a watched prefix that start at once.
//!
//! Load pattern: a lost target sends many resumptions to a host at once, each of which needs a listing that starts after its
//! arrival. They share listings, of which there are a few per second.

use std::sync::{Mutex, MutexGuard, PoisonError};

use async_std::channel::{Receiver, Sender, bounded};

/// Requests that one prefix watch serves.
pub struct ListingRequests {
    state: Mutex<State>,
    /// Holds one message while there are new requests.
    wake: (Sender<()>, Receiver<()>),
}

#[derive(Default)]
struct State {
    /// Number of listings that were started for requests.
    started: u64,
    waiting: Vec<Waiting>,
}

struct Waiting {
    /// Number of the first listing that starts after the request.
    number: u64,
    answer: Sender<bool>,
}

impl Default for ListingRequests {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            wake: bounded(1),
        }
    }
}

impl ListingRequests {
    /// Waits for a listing of the store that starts after the call. Returns whether it succeeded.
    pub async fn listing(&self) -> bool {
        let (answer, answered) = bounded(1);
        {
            let mut state = self.lock();
            let number = state.started + 1;
            state.waiting.retain(|waiting| !waiting.answer.is_closed());
            state.waiting.push(Waiting { number, answer });
        }
        // Fails if the watch has been told of an earlier request and has not started a listing since.
        let _ = self.wake.0.try_send(());
        answered.recv().await.unwrap_or(false)
    }

    /// Waits until there is a request.
    pub(crate) async fn requested(&self) {
        // The sender lives as long as the receiver, so this does not fail.
        let _ = self.wake.1.recv().await;
    }

    /// Starts a listing and returns its number.
    pub(crate) fn start(&self) -> u64 {
        let mut state = self.lock();
        state.started += 1;
        state.started
    }

    /// Answers the requests for which the listing `number` started late enough.
    pub(crate) fn finish(&self, number: u64, is_listed: bool) {
        let mut state = self.lock();
        for waiting in state.waiting.extract_if(.., |waiting| waiting.number <= number) {
            // Fails if the request has been given up.
            let _ = waiting.answer.try_send(is_listed);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change leaves the state consistent even if another thread panicked while it held the lock.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
