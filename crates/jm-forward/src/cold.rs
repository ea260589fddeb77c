//! Targets that tolerate few requests because they started recently, and the share of them that this host may send.
//!
//! Load pattern: an engine is cold for seconds after its start and crashes when it receives far more requests than it
//! tolerates. Several hosts send to it and do not see each other's requests. A whole zone can be cold at once while a step
//! waits, and engines that reject requests are probed by each host. Each host therefore has a fixed share of the rate, which
//! it spaces evenly, so that cold engines receive work steadily instead of in bursts.

use indexmap::IndexMap;
use jm_route::rank_by_key;
use jm_types::{DurationMs, MemberId, Rate, Timestamp};

use crate::RunKey;

/// Maximum time for which a single report makes a target count as cold. It limits the effect of an unreasonable value.
const MAX_COLD_MS: DurationMs = DurationMs::new(300_000);

/// Time after a failed connection in which a target counts as cold without a response. A host whose quota is 0 sends
/// nothing to the target and would otherwise wait for a response without end.
const UNREACHABLE_MS: DurationMs = DurationMs::new(10_000);

/// Time for which a run that is no longer listed is remembered. Entries disappear for a few seconds in outages of the
/// store.
const UNLISTED_RETENTION_MS: DurationMs = DurationMs::new(30_000);

const SECOND_MS: u64 = 1_000;

/// Kinds of requests, which have separate quotas because different hosts send them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendKind {
    /// Requests of callers that wait for the answer.
    Live,
    /// Batch items and their reward calls.
    Item,
}

/// Number of requests per second that one sender may send to a cold target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdQuota(u64);

impl ColdQuota {
    /// Quota of a host that knows of no other host yet. It is the smallest one that makes progress.
    pub const UNKNOWN_SENDERS: Self = Self(1);

    /// The quota as a number of requests per second.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Minimum time between two requests; `None` if no request may be sent.
    fn interval(self) -> Option<DurationMs> {
        (self.0 > 0).then(|| DurationMs::new(SECOND_MS.div_ceil(self.0)))
    }
}

/// The quota of `own` among `senders`, which all send to the target `run` that tolerates `rate`. `senders` may contain
/// `own`. With more senders than requests per second, a rendezvous order selects the senders that send one each.
pub fn cold_quota(rate: Rate, own: &MemberId, senders: &[MemberId], run: &RunKey) -> ColdQuota {
    let others = senders.iter().filter(|sender| *sender != own).count();
    let share = (rate.get() / (others + 1) as f64).floor() as u64;
    if share > 0 {
        return ColdQuota(share);
    }
    let selected = (rate.get().floor() as usize).max(1);
    let key = format!("{}/{}", run.id, run.started_unix_ms);
    let rank = rank_by_key(&key, own, senders);
    ColdQuota(u64::from(rank < selected))
}

/// The requests of one kind that this host sent to a cold target.
#[derive(Debug, Clone, Copy, Default)]
struct Sends {
    last_at: Option<Timestamp>,
    /// End of the interval in which a request was held back. Reset by the next request.
    held_until: Option<Timestamp>,
}

#[derive(Debug)]
struct ColdRun {
    cold_until: Timestamp,
    /// End of the time in which the target counts as unreachable, if no request was answered since a failed connection.
    unreachable_until: Option<Timestamp>,
    listed_at: Timestamp,
    live: Sends,
    item: Sends,
}

impl ColdRun {
    fn sends(&mut self, kind: SendKind) -> &mut Sends {
        match kind {
            SendKind::Live => &mut self.live,
            SendKind::Item => &mut self.item,
        }
    }

    /// Counts a request of each kind as sent now.
    fn suspend(&mut self, now: Timestamp) {
        self.live.last_at = Some(now);
        self.item.last_at = Some(now);
    }

    fn is_cold(&self, now: Timestamp) -> bool {
        now < self.cold_until || self.unreachable_until.is_some_and(|until| now < until)
    }
}

/// The runs of targets that are cold, with the requests that this host sent to them. A run that is warm has no entry.
#[derive(Debug, Default)]
pub struct ColdTargets {
    runs: IndexMap<RunKey, ColdRun>,
    held_intervals: u64,
}

impl ColdTargets {
    /// Like [`Self::observe`], for a report in a response. Other requests may have been sent to the target just before, so
    /// the next one waits for an interval.
    pub fn reported(&mut self, run: &RunKey, left_ms: DurationMs, now: Timestamp) -> bool {
        let has_become = self.observe(run, left_ms, now);
        if has_become && let Some(cold_run) = self.runs.get_mut(run) {
            cold_run.suspend(now);
        }
        has_become
    }

    /// Records that a target stays cold for `left_ms`. Returns whether it was warm until now.
    pub fn observe(&mut self, run: &RunKey, left_ms: DurationMs, now: Timestamp) -> bool {
        if left_ms.get() == 0 {
            return false;
        }
        let (cold_run, is_new) = self.entry(run, now);
        cold_run.cold_until = cold_run.cold_until.max(now.after(left_ms.min(MAX_COLD_MS)));
        is_new
    }

    /// Records that a connection to a target failed. Its process may have restarted under the same id. Returns whether it
    /// was warm until now.
    pub fn connection_failed(&mut self, run: &RunKey, now: Timestamp) -> bool {
        let (cold_run, is_new) = self.entry(run, now);
        cold_run.unreachable_until = Some(now.after(UNREACHABLE_MS));
        if is_new {
            cold_run.suspend(now);
        }
        is_new
    }

    /// Records a response. If it is the first one after a failed connection, the target counts as started now.
    pub fn answered(&mut self, run: &RunKey, cold_start_ms: DurationMs, now: Timestamp) {
        let Some(cold_run) = self.runs.get_mut(run) else {
            return;
        };
        if cold_run.unreachable_until.take().is_some() {
            let until = now.after(cold_start_ms.min(MAX_COLD_MS));
            cold_run.cold_until = cold_run.cold_until.max(until);
        }
    }

    /// Whether the target counts as cold.
    pub fn is_cold(&self, run: &RunKey, now: Timestamp) -> bool {
        self.runs.get(run).is_some_and(|cold_run| cold_run.is_cold(now))
    }

    /// Whether an earlier check found that no request may be sent to the target yet.
    pub fn is_held(&self, run: &RunKey, kind: SendKind, now: Timestamp) -> bool {
        self.next_send_at(std::iter::once(run), kind, now).is_some()
    }

    /// Whether a request may be sent to the target now. A request that may not counts as held back.
    pub fn may_send(&mut self, run: &RunKey, kind: SendKind, quota: ColdQuota, now: Timestamp) -> bool {
        let Some(cold_run) = self.runs.get_mut(run).filter(|cold_run| cold_run.is_cold(now)) else {
            return true;
        };
        let sends = cold_run.sends(kind);
        let next_at = match (quota.interval(), sends.last_at) {
            (Some(interval), Some(last_at)) => last_at.after(interval),
            (Some(_), None) => now,
            // The senders may differ in a second.
            (None, _) => now.after(DurationMs::new(SECOND_MS)),
        };
        if next_at <= now {
            return true;
        }
        if sends.held_until.is_none_or(|until| until <= now) {
            self.held_intervals += 1;
        }
        sends.held_until = Some(next_at);
        false
    }

    /// Records a request to a target at the moment of the decision to send it.
    pub fn record_send(&mut self, run: &RunKey, kind: SendKind, now: Timestamp) {
        if let Some(cold_run) = self.runs.get_mut(run) {
            *cold_run.sends(kind) = Sends {
                last_at: Some(now),
                held_until: None,
            };
        }
    }

    /// The earliest time after `now` at which a request that was held back can be sent to one of these runs.
    pub fn next_send_at<'a>(
        &self,
        runs: impl Iterator<Item = &'a RunKey>,
        kind: SendKind,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let held = runs.filter_map(|run| match kind {
            SendKind::Live => self.runs.get(run)?.live.held_until,
            SendKind::Item => self.runs.get(run)?.item.held_until,
        });
        held.filter(|until| *until > now).min()
    }

    /// Number of intervals between requests in which at least one request was held back, since the last call.
    pub fn take_held(&mut self) -> u64 {
        std::mem::take(&mut self.held_intervals)
    }

    /// Whether no run is recorded, so that no request needs a check.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Removes the runs that are warm and those that are no longer listed for a while. Returns those that became warm.
    pub fn retain(&mut self, is_listed: impl Fn(&RunKey) -> bool, now: Timestamp) -> Vec<RunKey> {
        let mut warm = Vec::new();
        self.runs.retain(|run, cold_run| {
            if is_listed(run) {
                cold_run.listed_at = now;
            }
            if !cold_run.is_cold(now) {
                warm.push(run.clone());
            }
            cold_run.is_cold(now) && now.since(cold_run.listed_at) < UNLISTED_RETENTION_MS
        });
        warm
    }

    /// The record of a run, and whether it is new.
    fn entry(&mut self, run: &RunKey, now: Timestamp) -> (&mut ColdRun, bool) {
        let entry = self.runs.entry(run.clone());
        let is_new = matches!(entry, indexmap::map::Entry::Vacant(_));
        let cold_run = entry.or_insert_with(|| ColdRun {
            cold_until: now,
            unreachable_until: None,
            listed_at: now,
            live: Sends::default(),
            item: Sends::default(),
        });
        (cold_run, is_new)
    }
}
