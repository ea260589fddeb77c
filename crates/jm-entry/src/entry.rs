//! State of the entry daemon.

use std::sync::{Arc, Mutex, Weak};

use async_std::{channel::Receiver, future::timeout, task};
use jm_http::Handler;
use jm_node::{Node, OpenRequestCounter, OpenRequestGuard};
use jm_types::DurationMs;
use jm_usage::{BurnMeter, BurnMeterOptions};
use prometheus::IntGauge;

use crate::{admin::EntryAdminHandler, caller::CallerHandler, keyed_requests::KeyedRequests};

/// Maximum interval between two checks of the keys of open requests. Loss of freshness does not trigger an event, so it
/// is polled. Streams are aborted at most 3.1 s after the configuration was last
/// confirmed as current.
const KEY_CHECK_INTERVAL_MS: DurationMs = DurationMs::new(100);

/// Options of an entry daemon.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// How long to search for the owner of a step before the step is reported as unknown. The default covers failure
    /// detection, which takes 4 s, one registration interval after a restart, and one probe that times out at an
    /// unresponsive daemon.
    pub step_search_timeout_ms: DurationMs,
}

impl Default for EntryOptions {
    fn default() -> Self {
        Self {
            step_search_timeout_ms: DurationMs::new(8_000),
        }
    }
}

/// The entry daemon of this process.
pub struct Entry {
    pub(crate) node: Arc<Node>,
    pub(crate) keyed_requests: Arc<KeyedRequests>,
    pub(crate) burn: Mutex<BurnMeter>,
    pub(crate) options: EntryOptions,
    open_requests: OpenRequestCounter,
}

/// Counts a stream as open until the value is dropped.
pub(crate) struct OpenStream {
    gauge: IntGauge,
    _request: OpenRequestGuard,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}

impl Entry {
    /// Creates the daemon and starts a task that aborts open requests whose keys become invalid. The task ends when the
    /// daemon is dropped.
    pub fn new(node: Arc<Node>, options: EntryOptions) -> Arc<Self> {
        let changes = node.config.subscribe();
        let entry = Arc::new(Self {
            node,
            keyed_requests: Arc::default(),
            burn: Mutex::new(BurnMeter::new(BurnMeterOptions::default())),
            options,
            open_requests: OpenRequestCounter::default(),
        });
        task::spawn(monitor_keyed_requests(Arc::downgrade(&entry), changes));
        entry
    }

    /// The handler for requests of callers and trainers.
    pub fn caller_handler(self: &Arc<Self>) -> Arc<dyn Handler> {
        Arc::new(CallerHandler::new(Arc::clone(self)))
    }

    /// The handler for requests of operators and for metrics.
    pub fn admin_handler(self: &Arc<Self>) -> Arc<dyn Handler> {
        Arc::new(EntryAdminHandler::new(Arc::clone(self)))
    }

    /// The number of requests whose answers are not completely written. A planned stop waits until it is zero.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Counts a request with a streamed answer as open.
    pub(crate) fn open_stream(&self) -> OpenStream {
        let gauge = self.node.metrics.open_streams.clone();
        gauge.inc();
        OpenStream {
            gauge,
            _request: self.open_request(),
        }
    }

    pub(crate) fn open_request(&self) -> OpenRequestGuard {
        self.open_requests.enter()
    }
}

async fn monitor_keyed_requests(entry: Weak<Entry>, changes: Receiver<()>) {
    loop {
        // Checks after each configuration change and after each interval.
        let _ = timeout(KEY_CHECK_INTERVAL_MS.as_std(), changes.recv()).await;
        let Some(entry) = entry.upgrade() else { return };
        let config = entry.node.config.active();
        entry.keyed_requests.abort_invalid(&config, entry.node.is_fresh());
    }
}
