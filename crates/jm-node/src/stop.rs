//! Planned stops. A process first leaves (it is no longer named to callers and gets no new work), then stops.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use async_std::{
    channel::{Receiver, Sender, bounded},
    task,
};
use futures::{
    FutureExt, StreamExt,
    future::{BoxFuture, Shared},
};
use jm_types::DurationMs;
use signal_hook::consts::signal::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

/// What the parts of a process watch for the stop.
#[derive(Clone)]
pub struct Stop {
    leaving: Arc<AtomicBool>,
    left: Shared<BoxFuture<'static, ()>>,
    stopped: Shared<BoxFuture<'static, ()>>,
}

/// Starts the stop.
pub struct StopTrigger {
    leaving: Arc<AtomicBool>,
    leave: Sender<()>,
    stop: Sender<()>,
}

impl Stop {
    /// A stop that has not begun, with its trigger.
    pub fn new() -> (StopTrigger, Self) {
        let (leave, left) = bounded(1);
        let (stop, stopped) = bounded(1);
        let leaving = Arc::new(AtomicBool::new(false));
        let trigger = StopTrigger {
            leaving: Arc::clone(&leaving),
            leave,
            stop,
        };
        (
            trigger,
            Self {
                leaving,
                left: closed(left),
                stopped: closed(stopped),
            },
        )
    }

    /// Whether the process is about to stop and wants no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Resolves when the process begins to leave.
    pub fn leave_started(&self) -> Shared<BoxFuture<'static, ()>> {
        self.left.clone()
    }

    /// Resolves when listeners close and open requests are waited for.
    pub fn stop_started(&self) -> Shared<BoxFuture<'static, ()>> {
        self.stopped.clone()
    }
}

impl StopTrigger {
    /// Begins to leave.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.leave.close();
    }

    /// Closes listeners.
    pub fn stop(&self) {
        self.stop.close();
    }
}

fn closed(receiver: Receiver<()>) -> Shared<BoxFuture<'static, ()>> {
    async move {
        // Nothing is ever sent; the error tells that the trigger closed the channel.
        let _ = receiver.recv().await;
    }
    .boxed()
    .shared()
}

/// Resolves at the first SIGTERM or SIGINT.
pub async fn stop_on_signals() -> std::io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let handle = signals.handle();
    signals.next().await;
    task::spawn(async move { handle.close() }).await;
    Ok(())
}

/// Counts requests that are open, so that a planned stop can wait for them.
#[derive(Debug, Clone, Default)]
pub struct OpenRequestCounter(Arc<AtomicUsize>);

/// One open request; dropping it ends the request.
#[derive(Debug)]
pub struct OpenRequestGuard(Arc<AtomicUsize>);

/// Interval at which a planned stop looks at the number of open requests.
const OPEN_POLL_MS: DurationMs = DurationMs::new(20);

impl OpenRequestCounter {
    /// Counts a request until the returned guard is dropped.
    pub fn enter(&self) -> OpenRequestGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        OpenRequestGuard(Arc::clone(&self.0))
    }

    /// The number of open requests.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }

    /// Waits until no request is open.
    pub async fn wait_for_none(&self) {
        while self.get() > 0 {
            task::sleep(OPEN_POLL_MS.as_std()).await;
        }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
