//! Planned stops. A process first leaves (it is no longer named to callers and gets no new work), then stops.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use async_std::{
    channel::{Receiver, Sender, bounded},
    task,
};
use futures::{
    FutureExt, StreamExt,
    future::{BoxFuture, Shared},
};
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
    pub fn left(&self) -> Shared<BoxFuture<'static, ()>> {
        self.left.clone()
    }

    /// Resolves when listeners close and open requests are waited for.
    pub fn stopped(&self) -> Shared<BoxFuture<'static, ()>> {
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
