//! State of the entry daemon.

use std::sync::{Arc, Mutex, Weak};

use async_std::{channel::Receiver, future::timeout, task};
use jm_http::Handler;
use jm_node::{Node, OpenCount, OpenRequest};
use jm_types::DurationMs;
use jm_usage::{BurnMeter, BurnMeterOptions};
use prometheus::IntGauge;

use crate::{admin::EntryAdminHandler, caller::CallerHandler, open_streams::OpenStreams};

/// Longest time between two checks of the keys of open streams. Freshness is lost without an event, so it has to be
/// looked at; 3.1 s after the last answer of the store, streams are cut.
const CHECK_INTERVAL_MS: DurationMs = DurationMs::new(100);

/// Behaviour of an entry daemon.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// Time for which the owner of a step is looked for before the step counts as unknown. The default covers failure
    /// detection, which takes 4 s, one registration interval after a restart, and a probe that a frozen daemon does
    /// not answer.
    pub step_search_timeout_ms: DurationMs,
}

impl Default for EntryOptions {
    fn default() -> Self {
        Self {
            step_search_timeout_ms: DurationMs::new(8_000),
        }
    }
}

/// The entry daemon of a process.
pub struct Entry {
    pub(crate) node: Arc<Node>,
    pub(crate) streams: Arc<OpenStreams>,
    pub(crate) burn: Mutex<BurnMeter>,
    pub(crate) options: EntryOptions,
    open: OpenCount,
}

/// Counts one stream as open until it is dropped.
pub(crate) struct OpenStream {
    gauge: IntGauge,
    _request: OpenRequest,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}

impl Entry {
    /// Starts to watch over the keys of open streams, until the value is dropped.
    pub fn new(node: Arc<Node>, options: EntryOptions) -> Arc<Self> {
        let changes = node.config.subscribe();
        let entry = Arc::new(Self {
            node,
            streams: Arc::default(),
            burn: Mutex::new(BurnMeter::new(BurnMeterOptions::default())),
            options,
            open: OpenCount::default(),
        });
        task::spawn(check_streams(Arc::downgrade(&entry), changes));
        entry
    }

    /// Serves callers and trainers.
    pub fn caller_handler(self: &Arc<Self>) -> Arc<dyn Handler> {
        Arc::new(CallerHandler::new(Arc::clone(self)))
    }

    /// Serves operators and metrics.
    pub fn admin_handler(self: &Arc<Self>) -> Arc<dyn Handler> {
        Arc::new(EntryAdminHandler::new(Arc::clone(self)))
    }

    /// Requests of callers whose answers are not written yet. A planned stop waits until there are none.
    pub fn open_requests(&self) -> usize {
        self.open.get()
    }

    /// Counts a request as open whose answer is streamed.
    pub(crate) fn open_stream(&self) -> OpenStream {
        let gauge = self.node.metrics.open_streams.clone();
        gauge.inc();
        OpenStream {
            gauge,
            _request: self.open_request(),
        }
    }

    pub(crate) fn open_request(&self) -> OpenRequest {
        self.open.enter()
    }
}

async fn check_streams(entry: Weak<Entry>, changes: Receiver<()>) {
    loop {
        // Both a change and the passed time are reasons to check.
        let _ = timeout(CHECK_INTERVAL_MS.as_std(), changes.recv()).await;
        let Some(entry) = entry.upgrade() else { return };
        let config = entry.node.config.active();
        entry.streams.check(&config, entry.node.is_fresh());
    }
}
