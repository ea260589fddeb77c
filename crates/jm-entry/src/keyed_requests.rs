//! Open requests of callers with a key. A request is aborted when its key is withdrawn, or when the daemon can no
//! longer verify that the key is valid; see section 4.2 of `docs/design.md`.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use async_std::channel::{Receiver, Sender, bounded};
use futures::{
    future::{Either, select},
    pin_mut,
};
use jm_config::ActiveConfig;
use jm_types::ResultCode;

use crate::{access::Caller, refusal::Refusal};

/// The registry of open requests of all keys.
#[derive(Default)]
pub(crate) struct KeyedRequests {
    requests: Mutex<HashMap<u64, KeyedRequest>>,
    next_id: AtomicU64,
}

struct KeyedRequest {
    caller: Caller,
    abort: Sender<Refusal>,
}

/// Registration of one open request. Dropping it removes the request from the registry.
pub(crate) struct KeyWatch {
    requests: Arc<KeyedRequests>,
    id: u64,
    abort: Option<Receiver<Refusal>>,
}

impl KeyedRequests {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, KeyedRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a request, so that it is aborted when its key becomes invalid. A request without a key is never
    /// aborted.
    pub(crate) fn register(self: &Arc<Self>, caller: Option<&Caller>) -> KeyWatch {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let abort = caller.map(|caller| {
            let (sender, receiver) = bounded(1);
            let request = KeyedRequest {
                caller: caller.clone(),
                abort: sender,
            };
            self.lock().insert(id, request);
            receiver
        });
        KeyWatch {
            requests: Arc::clone(self),
            id,
            abort,
        }
    }

    /// Aborts the requests whose key is no longer valid. When the configuration may be outdated, aborts all requests.
    pub(crate) fn abort_invalid(&self, config: &ActiveConfig, is_fresh: bool) {
        for request in self.lock().values() {
            let refusal = if !is_fresh {
                Refusal::new(
                    ResultCode::OutcomeUnknown,
                    "the daemon cannot verify that the key is still valid",
                )
            } else if !request.caller.is_valid(config) {
                Refusal::new(
                    ResultCode::CutByWithdrawal,
                    "the key was withdrawn during the request",
                )
            } else {
                continue;
            };
            // When the channel is full, the request has been aborted already.
            let _ = request.abort.try_send(refusal);
        }
    }
}

impl KeyWatch {
    /// Runs `work`. Returns the refusal when the request is aborted before `work` completes.
    pub(crate) async fn unless_aborted<T>(&self, work: impl Future<Output = T>) -> Result<T, Refusal> {
        let Some(abort) = &self.abort else {
            return Ok(work.await);
        };
        let abort = abort.recv();
        pin_mut!(abort, work);
        match select(abort, work).await {
            Either::Left((Ok(refusal), _)) => Err(refusal),
            Either::Left((Err(_), work)) => Ok(work.await),
            Either::Right((result, _)) => Ok(result),
        }
    }
}

impl Drop for KeyWatch {
    fn drop(&mut self) {
        if self.abort.is_some() {
            self.requests.lock().remove(&self.id);
        }
    }
}
