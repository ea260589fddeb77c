//! Burn rates of the error budgets of service-level objectives.

use std::{fmt, str::FromStr};

use indexmap::IndexMap;
use jm_types::{DurationMs, OrganisationId, ServiceId, Timestamp};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Length of a bucket. Both spans are multiples of it.
const BUCKET_MS: u64 = 15_000;
/// Number of buckets in the short span of 5 minutes.
const SHORT_BUCKETS: u64 = 20;
/// Number of buckets in the long span of 1 hour.
const LONG_BUCKETS: u64 = 240;

/// Minimum share of good requests, at least 0 and below 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Objective(f64);

/// The value is not a share of at least 0 and below 1.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("an objective must be at least 0 and below 1, such as 0.999"))]
pub struct ParseObjectiveError;

impl TryFrom<f64> for Objective {
    type Error = ParseObjectiveError;

    fn try_from(share: f64) -> Result<Self, ParseObjectiveError> {
        if (0.0..1.0).contains(&share) {
            Ok(Self(share))
        } else {
            Err(ParseObjectiveError)
        }
    }
}

impl From<Objective> for f64 {
    fn from(objective: Objective) -> Self {
        objective.0
    }
}

impl FromStr for Objective {
    type Err = ParseObjectiveError;

    fn from_str(text: &str) -> Result<Self, ParseObjectiveError> {
        text.parse::<f64>().map_err(|_| ParseObjectiveError)?.try_into()
    }
}

impl fmt::Display for Objective {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Whether a request counts as good for the objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered completely and in time.
    Good,
    /// Not answered, answered incompletely or answered late.
    Bad,
}

/// Numbers of good and bad requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests with [`Outcome::Good`].
    pub good: u64,
    /// Requests with [`Outcome::Bad`].
    pub bad: u64,
}

impl RequestCounts {
    /// Adds other counts, saturating at the maximum.
    pub const fn add(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
    }

    const fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Good => self.good = self.good.saturating_add(1),
            Outcome::Bad => self.bad = self.bad.saturating_add(1),
        }
    }

    /// Share of bad requests divided by the share that the objective allows. Zero without requests.
    pub fn burn_rate(&self, objective: Objective) -> f64 {
        let total = self.good as f64 + self.bad as f64;
        if total == 0.0 {
            return 0.0;
        }
        self.bad as f64 / total / (1.0 - objective.0)
    }
}

/// Burn rates of one organisation and service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BurnRates {
    /// Burn rate over the last 5 minutes.
    pub short: f64,
    /// Burn rate over the last hour.
    pub long: f64,
}

/// Request counts that the burn rates are computed from. Counts of several daemons can be added.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The organisation that sent the requests.
    pub organisation: OrganisationId,
    /// The service that the requests addressed.
    pub service: ServiceId,
    /// The objective for this organisation and service.
    pub objective: Objective,
    /// Requests of the last 5 minutes.
    pub short: RequestCounts,
    /// Requests of the last hour.
    pub long: RequestCounts,
}

impl BurnRow {
    /// Computes the burn rates over both spans.
    pub fn rates(&self) -> BurnRates {
        BurnRates {
            short: self.short.burn_rate(self.objective),
            long: self.long.burn_rate(self.objective),
        }
    }
}

/// Limits and defaults of a [`BurnMeter`].
#[derive(Debug, Clone)]
pub struct BurnMeterOptions {
    /// Objective of organisations and services without an objective of their own.
    pub default_objective: Objective,
    /// Maximum number of measured pairs of organisation and service. Each takes about 4 KB.
    pub max_series: usize,
}

impl Default for BurnMeterOptions {
    fn default() -> Self {
        Self {
            default_objective: Objective(0.999),
            max_series: 4_096,
        }
    }
}

type SeriesKey = (OrganisationId, ServiceId);

/// A ring buffer of buckets. Buckets are cleared before they are reused.
#[derive(Debug)]
struct Series {
    buckets: Box<[RequestCounts]>,
    newest: u64,
}

impl Series {
    fn new(bucket: u64) -> Self {
        Self {
            buckets: vec![RequestCounts::default(); LONG_BUCKETS as usize].into_boxed_slice(),
            newest: bucket,
        }
    }

    /// Makes `bucket` the newest bucket, and clears the buckets after the previous newest one.
    fn advance(&mut self, bucket: u64) {
        let first = (self.newest + 1).max(bucket.saturating_sub(LONG_BUCKETS - 1));
        for number in first..=bucket {
            self.buckets[(number % LONG_BUCKETS) as usize] = RequestCounts::default();
        }
        self.newest = self.newest.max(bucket);
    }

    fn record(&mut self, bucket: u64, outcome: Outcome) {
        self.advance(bucket);
        self.buckets[(self.newest % LONG_BUCKETS) as usize].record(outcome);
    }

    /// Sum of the last `count` buckets up to `bucket`, which must not be before the newest one.
    fn sum(&self, bucket: u64, count: u64) -> RequestCounts {
        let mut sum = RequestCounts::default();
        let first = bucket.saturating_sub(count - 1);
        for number in first..=self.newest {
            sum.add(self.buckets[(number % LONG_BUCKETS) as usize]);
        }
        sum
    }

    const fn is_idle(&self, bucket: u64) -> bool {
        bucket.saturating_sub(self.newest) >= LONG_BUCKETS
    }
}

/// Counts good and bad requests of the last hour in bounded memory.
#[derive(Debug)]
pub struct BurnMeter {
    options: BurnMeterOptions,
    objectives: IndexMap<SeriesKey, Objective>,
    series: IndexMap<SeriesKey, Series>,
    untracked: u64,
}

impl BurnMeter {
    /// Creates a meter without requests.
    pub fn new(options: BurnMeterOptions) -> Self {
        Self {
            options,
            objectives: IndexMap::new(),
            series: IndexMap::new(),
            untracked: 0,
        }
    }

    /// Replaces all objectives that differ from the default.
    pub fn set_objectives(
        &mut self,
        objectives: impl IntoIterator<Item = (OrganisationId, ServiceId, Objective)>,
    ) {
        self.objectives = objectives
            .into_iter()
            .map(|(organisation, service, objective)| ((organisation, service), objective))
            .collect();
    }

    /// Counts a request. If the meter is full and no series is idle, a request of a new organisation and service is
    /// only counted as untracked.
    pub fn record(
        &mut self,
        organisation: &OrganisationId,
        service: &ServiceId,
        outcome: Outcome,
        now: Timestamp,
    ) {
        let bucket = bucket_of(now);
        let key = (organisation.clone(), service.clone());
        if !self.series.contains_key(&key) && !self.ensure_capacity(bucket) {
            self.untracked = self.untracked.saturating_add(1);
            return;
        }
        let series = self.series.entry(key).or_insert_with(|| Series::new(bucket));
        series.record(bucket, outcome);
    }

    /// Removes idle series if the meter is full. Returns whether a series can be added.
    fn ensure_capacity(&mut self, bucket: u64) -> bool {
        if self.series.len() >= self.options.max_series {
            self.series.retain(|_, series| !series.is_idle(bucket));
        }
        self.series.len() < self.options.max_series
    }

    /// Number of requests that were not measured because the meter was full.
    pub const fn untracked(&self) -> u64 {
        self.untracked
    }

    /// Burn rates of one organisation and service. Zero if no request was counted.
    pub fn burn_rates(
        &self,
        organisation: &OrganisationId,
        service: &ServiceId,
        now: Timestamp,
    ) -> BurnRates {
        let key = (organisation.clone(), service.clone());
        self.series
            .get(&key)
            .map_or_else(BurnRates::default, |series| self.row(&key, series, now).rates())
    }

    /// Request counts of every organisation and service with requests in the last hour.
    pub fn rows(&self, now: Timestamp) -> Vec<BurnRow> {
        self.series
            .iter()
            .filter(|(_, series)| !series.is_idle(bucket_of(now)))
            .map(|(key, series)| self.row(key, series, now))
            .collect()
    }

    fn row(&self, key: &SeriesKey, series: &Series, now: Timestamp) -> BurnRow {
        let bucket = bucket_of(now).max(series.newest);
        let default = self.options.default_objective;
        BurnRow {
            organisation: key.0.clone(),
            service: key.1.clone(),
            objective: self.objectives.get(key).copied().unwrap_or(default),
            short: series.sum(bucket, SHORT_BUCKETS),
            long: series.sum(bucket, LONG_BUCKETS),
        }
    }

    /// Length of a bucket. The newest bucket is incomplete, so a span covers up to one bucket less than its length.
    pub const fn bucket_length() -> DurationMs {
        DurationMs::new(BUCKET_MS)
    }
}

const fn bucket_of(now: Timestamp) -> u64 {
    now.get() / BUCKET_MS
}
