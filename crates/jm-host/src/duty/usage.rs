//! Usage windows: every host counts, the holder of the lease aggregates, seals and reports each window once.
//!
//! A window is sealed in the store before it is reported, so that every holder reports the same counts for it.

use std::sync::{Arc, Mutex, PoisonError};

use async_std::task;
use indexmap::IndexMap;
use jm_lease::LeaseGuard;
use jm_platform::{Condition, ObjectError, ObjectStore};
use jm_types::{Clock, DurationMs, Incarnation, LogEvent, MemberId, OrganisationId, WallClock};
use jm_usage::WindowId;

use super::LeaseView;
use crate::{
    membership::Membership,
    peer::{PeerClient, PeerReply, PeerRequest, UsageCounts},
    platform::DutyCalls,
};

/// Prefix of the keys of sealed windows.
const SEALED_PREFIX: &str = "usage-window/";
/// Number of past windows that a host keeps sending, because a new holder needs the earlier counts too.
const RETAINED_WINDOWS: usize = 5;
/// Interval at which a host sends its counts to the holder.
const PUBLISH_INTERVAL_MS: DurationMs = DurationMs::new(1_000);
/// Time after the end of a window for which the holder waits for counts.
const COLLECTION_GRACE_MS: DurationMs = DurationMs::new(3_500);
/// Time after the end of a window after which reporting is no longer attempted.
const REPORT_DEADLINE_MS: DurationMs = DurationMs::new(30_000);
/// Interval at which the holder checks for windows that are due.
const REPORT_CHECK_INTERVAL_MS: DurationMs = DurationMs::new(500);

/// Counts the requests that this host started, by usage window and organisation.
pub struct UsageCounter {
    wall: Arc<dyn WallClock>,
    window_ms: u64,
    counts: Mutex<UsageCounts>,
}

impl UsageCounter {
    /// Creates a counter without counts. The wall clock and `window_ms` determine the window of a request.
    pub fn new(wall: Arc<dyn WallClock>, window_ms: DurationMs) -> Self {
        Self {
            wall,
            window_ms: window_ms.get().max(1),
            counts: Mutex::default(),
        }
    }

    /// Counts a request of an organisation that a target started to execute.
    pub fn count(&self, organisation: &OrganisationId) {
        let window = self.current_window();
        let mut counts = self.lock();
        let counts = counts.windows.entry(window).or_default();
        *counts.entry(organisation.clone()).or_default() += 1;
    }

    /// Window that contains the current time.
    pub(crate) fn current_window(&self) -> WindowId {
        WindowId::new(self.wall.unix_ms() / self.window_ms)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, UsageCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops the counts of old windows and returns the remaining ones.
    pub(crate) fn recent_counts(&self) -> UsageCounts {
        let oldest = self
            .current_window()
            .get()
            .saturating_sub(RETAINED_WINDOWS as u64);
        let mut counts = self.lock();
        counts.windows.retain(|window, _| window.get() >= oldest);
        counts.clone()
    }
}

/// Aggregates the counts of all hosts on the holder of the lease.
#[derive(Default)]
pub struct UsageAggregator {
    /// Counts by host and incarnation. A message replaces the earlier counts of the windows that it contains.
    counts: Mutex<IndexMap<(MemberId, Incarnation), UsageCounts>>,
}

impl UsageAggregator {
    /// Stores the counts of one incarnation of a host. Counts of windows that are not in `counts` are kept.
    pub fn record(&self, host: MemberId, incarnation: Incarnation, counts: UsageCounts) {
        let mut counts_by_run = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let recorded = counts_by_run.entry((host, incarnation)).or_default();
        recorded.windows.extend(counts.windows);
        while recorded.windows.len() > 4 * RETAINED_WINDOWS {
            recorded.windows.shift_remove_index(0);
        }
    }

    /// Sums the counts of all hosts for one window.
    pub fn total(&self, window: WindowId) -> IndexMap<OrganisationId, u64> {
        let counts_by_run = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let mut total = IndexMap::new();
        for counts in counts_by_run
            .values()
            .filter_map(|counts| counts.windows.get(&window))
        {
            for (organisation, count) in counts {
                *total.entry(organisation.clone()).or_default() += count;
            }
        }
        total
    }
}

/// Sends the counts of this host to the holder of the lease.
pub(crate) struct UsagePublisher {
    pub(crate) counter: Arc<UsageCounter>,
    pub(crate) aggregator: Arc<UsageAggregator>,
    pub(crate) membership: Arc<Membership>,
    pub(crate) peers: Arc<PeerClient>,
    pub(crate) lease: Arc<LeaseView>,
}

impl UsagePublisher {
    /// Runs until the future is dropped.
    pub(crate) async fn run(&self) {
        let mut sent = None;
        loop {
            task::sleep(PUBLISH_INTERVAL_MS.as_std()).await;
            let counts = self.counter.recent_counts();
            let Some(holder) = self.lease.holder() else {
                continue;
            };
            let message = Some((holder, counts));
            if message != sent
                && let Some((holder, counts)) = &message
                && self.send(holder, counts).await
            {
                sent = message;
            }
        }
    }

    /// Sends the final counts before the host exits.
    pub(crate) async fn flush(&self) {
        let other_holder = self
            .lease
            .holder()
            .filter(|holder| holder != self.membership.own_id());
        let holder = match other_holder {
            Some(holder) => holder,
            None => match self.next_holder().await {
                Some(holder) => holder,
                None => return,
            },
        };
        if !self.send(&holder, &self.counter.recent_counts()).await {
            LogEvent::WindowDelayed.write(format_args!(
                "the final usage counts could not be sent to {holder} and are lost"
            ));
        }
    }

    /// Asks the peers for the new holder after this host released the lease.
    async fn next_holder(&self) -> Option<MemberId> {
        for (member, _) in self.membership.live_peers() {
            let request = PeerRequest::LeaseHolder;
            let reply = self
                .peers
                .call_member(&member, &request, DurationMs::new(0))
                .await;
            if let Some(PeerReply::LeaseHolder(Some(holder))) = reply
                && holder != *self.membership.own_id()
            {
                return Some(holder);
            }
        }
        None
    }

    async fn send(&self, holder: &MemberId, counts: &UsageCounts) -> bool {
        let (own, incarnation) = (self.membership.own_id(), self.membership.incarnation());
        if counts.windows.is_empty() {
            return true;
        }
        if holder == own {
            self.aggregator.record(own.clone(), incarnation, counts.clone());
            return true;
        }
        let request = PeerRequest::Usage {
            host: own.clone(),
            incarnation,
            counts: counts.clone(),
        };
        let reply = self.peers.call_member(holder, &request, DurationMs::new(0)).await;
        reply.is_some()
    }
}

/// Seals and reports windows while this host holds the lease.
pub(crate) struct UsageDuty {
    pub(crate) counter: Arc<UsageCounter>,
    pub(crate) aggregator: Arc<UsageAggregator>,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) duties: Arc<dyn DutyCalls>,
    pub(crate) lease: Arc<LeaseView>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) wall: Arc<dyn WallClock>,
    pub(crate) window_ms: DurationMs,
}

impl UsageDuty {
    /// Runs until the future is dropped.
    pub(crate) async fn run(&self) {
        let mut next = self.first_window();
        loop {
            task::sleep(REPORT_CHECK_INTERVAL_MS.as_std()).await;
            let Some(guard) = self.lease.guard(&*self.clock) else {
                next = next.max(self.first_window());
                continue;
            };
            while self.is_due(next) {
                if self.is_past_report_deadline(next) || self.seal_and_report(next, &guard).await {
                    next = next.next();
                } else {
                    break;
                }
            }
        }
    }

    /// Oldest window that the previous holder may not have reported yet.
    fn first_window(&self) -> WindowId {
        WindowId::new(self.counter.current_window().get().saturating_sub(2))
    }

    fn end_unix_ms(&self, window: WindowId) -> u64 {
        window.next().get().saturating_mul(self.window_ms.get())
    }

    fn is_due(&self, window: WindowId) -> bool {
        self.wall.unix_ms() >= self.end_unix_ms(window).saturating_add(COLLECTION_GRACE_MS.get())
    }

    fn is_past_report_deadline(&self, window: WindowId) -> bool {
        self.wall.unix_ms() >= self.end_unix_ms(window).saturating_add(REPORT_DEADLINE_MS.get())
    }

    /// Seals and reports one window. Returns `false` when this has to be retried.
    async fn seal_and_report(&self, window: WindowId, guard: &LeaseGuard) -> bool {
        let Some(sealed) = self.seal(window).await else {
            return false;
        };
        match self.duties.report_usage(window, &sealed, guard).await {
            Ok(()) => {
                LogEvent::WindowReported
                    .write_fields("a usage window was reported", &[("window", &window.get())]);
                true
            }
            Err(error) => {
                LogEvent::WindowDelayed
                    .write(format_args!("window {} was not reported: {error}", window.get()));
                false
            }
        }
    }

    /// Seals the aggregated counts of a window, or reads the counts that another holder has sealed. Sealed counts
    /// never change.
    async fn seal(&self, window: WindowId) -> Option<Vec<u8>> {
        // The window is a single path segment, because a store may end the name at a further slash.
        let key = format!("{SEALED_PREFIX}{window}");
        let total = self.aggregator.total(window);
        let sealed = self.duties.usage_report(window, &total);
        let reason = match self.store.put(&key, sealed.clone(), Condition::Absent).await {
            Ok(_) => {
                let requests: u64 = total.values().sum();
                LogEvent::WindowSealed.write_fields(
                    "a usage window was sealed",
                    &[
                        ("window", &window.get()),
                        ("requests", &requests),
                        ("organisations", &total.len()),
                    ],
                );
                return Some(sealed);
            }
            Err(ObjectError::Conflict { .. }) => match self.store.get(&key).await {
                Ok(Some(object)) => return Some(object.value),
                Ok(None) => "the sealed window was deleted".to_owned(),
                Err(error) => error.to_string(),
            },
            Err(error) => error.to_string(),
        };
        LogEvent::WindowDelayed.write(format_args!("window {} was not sealed: {reason}", window.get()));
        None
    }
}
