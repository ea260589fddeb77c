//! Planned stops. A process first leaves: callers no longer receive its address, and it gets no new work. Then it
//! stops.

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

/// The signal of a planned stop, which the tasks of a process watch.
#[derive(Clone)]
pub struct Stop {
    leaving: Arc<AtomicBool>,
    leave_signal: Shared<BoxFuture<'static, ()>>,
    stop_signal: Shared<BoxFuture<'static, ()>>,
}

/// Triggers the two phases of a planned stop.
pub struct StopTrigger {
    leaving: Arc<AtomicBool>,
    leave: Sender<()>,
    stop: Sender<()>,
}

impl Stop {
    /// Creates a signal that is not set, and its trigger.
    pub fn new() -> (StopTrigger, Self) {
        let (leave, leave_signal) = bounded(1);
        let (stop, stop_signal) = bounded(1);
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
                leave_signal: closed(leave_signal),
                stop_signal: closed(stop_signal),
            },
        )
    }

    /// Whether the process is about to stop and must not receive new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Resolves when [`StopTrigger::leave`] is called.
    pub fn leave_started(&self) -> Shared<BoxFuture<'static, ()>> {
        self.leave_signal.clone()
    }

    /// Resolves when [`StopTrigger::stop`] is called. The process then closes its listeners and waits for open
    /// requests.
    pub fn stop_started(&self) -> Shared<BoxFuture<'static, ()>> {
        self.stop_signal.clone()
    }
}

impl StopTrigger {
    /// Starts the first phase: the process no longer receives new work.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.leave.close();
    }

    /// Starts the second phase: the process closes its listeners.
    pub fn stop(&self) {
        self.stop.close();
    }
}

fn closed(receiver: Receiver<()>) -> Shared<BoxFuture<'static, ()>> {
    async move {
        // No message is ever sent. `recv` fails when the trigger closes the channel.
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

/// Counts open requests, so that a planned stop can wait for them.
#[derive(Debug, Clone, Default)]
pub struct OpenRequestCounter(Arc<AtomicUsize>);

/// Guard of an open request. Dropping it decrements the counter.
#[derive(Debug)]
pub struct OpenRequestGuard(Arc<AtomicUsize>);

/// Interval at which a planned stop checks the number of open requests.
const OPEN_POLL_MS: DurationMs = DurationMs::new(20);

impl OpenRequestCounter {
    /// Counts one request until the returned guard is dropped.
    pub fn enter(&self) -> OpenRequestGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        OpenRequestGuard(Arc::clone(&self.0))
    }

    /// The number of requests that are open now.
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
