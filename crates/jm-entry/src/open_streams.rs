//! Open requests of callers with a key. They end when the key is withdrawn, or when the daemon can no longer tell whether
//! it was; section 4.2 of `docs/design.md`.

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

/// The open requests of all keys.
#[derive(Default)]
pub(crate) struct OpenStreams {
    streams: Mutex<HashMap<u64, OpenStream>>,
    next: AtomicU64,
}

struct OpenStream {
    caller: Caller,
    cut: Sender<Refusal>,
}

/// One open request. Dropping it ends the watch over its key.
pub(crate) struct StreamWatch {
    streams: Arc<OpenStreams>,
    id: u64,
    cut: Option<Receiver<Refusal>>,
}

impl OpenStreams {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, OpenStream>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Watches over the key of a request. A request without a key is never cut.
    pub(crate) fn watch(self: &Arc<Self>, caller: Option<&Caller>) -> StreamWatch {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let cut = caller.map(|caller| {
            let (sender, cut) = bounded(1);
            let stream = OpenStream {
                caller: caller.clone(),
                cut: sender,
            };
            self.lock().insert(id, stream);
            cut
        });
        StreamWatch {
            streams: Arc::clone(self),
            id,
            cut,
        }
    }

    /// Cuts the requests whose key is not valid any more, or all when the configuration is not known to be current.
    pub(crate) fn check(&self, config: &ActiveConfig, is_fresh: bool) {
        for stream in self.lock().values() {
            let refusal = if !is_fresh {
                Refusal::new(
                    ResultCode::OutcomeUnknown,
                    "the daemon cannot tell whether the key is still valid",
                )
            } else if !stream.caller.is_valid(config) {
                Refusal::new(
                    ResultCode::CutByWithdrawal,
                    "the key was withdrawn during the request",
                )
            } else {
                continue;
            };
            // A full channel already holds the cut.
            let _ = stream.cut.try_send(refusal);
        }
    }
}

impl StreamWatch {
    /// The result of `work`, or the refusal with which the request is cut before.
    pub(crate) async fn unless_cut<T>(&self, work: impl Future<Output = T>) -> Result<T, Refusal> {
        let Some(cut) = &self.cut else {
            return Ok(work.await);
        };
        let cut = cut.recv();
        pin_mut!(cut, work);
        match select(cut, work).await {
            Either::Left((Ok(refusal), _)) => Err(refusal),
            Either::Left((Err(_), work)) => Ok(work.await),
            Either::Right((result, _)) => Ok(result),
        }
    }
}

impl Drop for StreamWatch {
    fn drop(&mut self) {
        if self.cut.is_some() {
            self.streams.lock().remove(&self.id);
        }
    }
}
