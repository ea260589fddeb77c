//! How fast the error budget of a service-level objective is used up.

use std::{fmt, str::FromStr};

use indexmap::IndexMap;
use jm_types::{DurationMs, OrganisationId, ServiceId, Timestamp};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Length of a bucket. The spans are whole numbers of buckets.
const BUCKET_MS: u64 = 15_000;
/// Buckets of the short span, 5 minutes.
const SHORT_BUCKETS: u64 = 20;
/// Buckets of the long span, 1 hour.
const LONG_BUCKETS: u64 = 240;

/// Share of requests that have to be good, at least 0 and below 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Objective(f64);

/// The number is not a valid objective.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("an objective is a share of at least 0 and below 1, such as 0.999"))]
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

/// Whether a request met the objective's conditions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered whole and in time.
    Good,
    /// Not answered, cut or late.
    Bad,
}

/// Numbers of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Good requests.
    pub good: u64,
    /// Bad requests.
    pub bad: u64,
}

impl RequestCounts {
    /// Adds other numbers.
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

    /// Error share over the share that the objective allows; zero without requests.
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
    /// Over 5 minutes.
    pub short: f64,
    /// Over 1 hour.
    pub long: f64,
}

/// Numbers behind the burn rates, which can be added up over daemons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceId,
    /// The objective.
    pub objective: Objective,
    /// Requests of the last 5 minutes.
    pub short: RequestCounts,
    /// Requests of the last hour.
    pub long: RequestCounts,
}

impl BurnRow {
    /// The burn rates of the row.
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
    /// Objective where none is set.
    pub default_objective: Objective,
    /// Most pairs of organisation and service that are measured; each takes about 4 KB.
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

/// A ring of buckets. Those that came into use since the newest one are cleared before they are used.
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

    /// Clears the buckets that have come into use since the last call.
    fn advance(&mut self, bucket: u64) {
        let first = (self.newest + 1).max(bucket.saturating_sub(LONG_BUCKETS - 1));
        for passed in first..=bucket {
            self.buckets[(passed % LONG_BUCKETS) as usize] = RequestCounts::default();
        }
        self.newest = self.newest.max(bucket);
    }

    fn record(&mut self, bucket: u64, outcome: Outcome) {
        self.advance(bucket);
        self.buckets[(self.newest % LONG_BUCKETS) as usize].record(outcome);
    }

    /// Sum of the last `count` buckets up to `bucket`, which is not before the newest one.
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

/// Counts good and bad requests over the last hour in bounded memory.
#[derive(Debug)]
pub struct BurnMeter {
    options: BurnMeterOptions,
    objectives: IndexMap<SeriesKey, Objective>,
    series: IndexMap<SeriesKey, Series>,
    untracked: u64,
}

impl BurnMeter {
    /// A meter without requests.
    pub fn new(options: BurnMeterOptions) -> Self {
        Self {
            options,
            objectives: IndexMap::new(),
            series: IndexMap::new(),
            untracked: 0,
        }
    }

    /// Replaces the objectives that differ from the default.
    pub fn set_objectives(
        &mut self,
        objectives: impl IntoIterator<Item = (OrganisationId, ServiceId, Objective)>,
    ) {
        self.objectives = objectives
            .into_iter()
            .map(|(organisation, service, objective)| ((organisation, service), objective))
            .collect();
    }

    /// Counts a request.
    pub fn record(
        &mut self,
        organisation: &OrganisationId,
        service: &ServiceId,
        outcome: Outcome,
        now: Timestamp,
    ) {
        let bucket = bucket_of(now);
        let key = (organisation.clone(), service.clone());
        if !self.series.contains_key(&key) && !self.make_room(bucket) {
            self.untracked = self.untracked.saturating_add(1);
            return;
        }
        let series = self.series.entry(key).or_insert_with(|| Series::new(bucket));
        series.record(bucket, outcome);
    }

    /// Removes idle series when the meter is full; false when none is idle.
    fn make_room(&mut self, bucket: u64) -> bool {
        if self.series.len() >= self.options.max_series {
            self.series.retain(|_, series| !series.is_idle(bucket));
        }
        self.series.len() < self.options.max_series
    }

    /// Requests that were not measured because the meter was full.
    pub const fn untracked(&self) -> u64 {
        self.untracked
    }

    /// Burn rates of one organisation and service.
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

    /// Numbers of everything that had requests in the last hour.
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

    /// Length of a bucket; the spans reach back between their length less one bucket and their length.
    pub const fn bucket_length() -> DurationMs {
        DurationMs::new(BUCKET_MS)
    }
}

const fn bucket_of(now: Timestamp) -> u64 {
    now.get() / BUCKET_MS
}
