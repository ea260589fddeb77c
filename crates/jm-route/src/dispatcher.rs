//! Selection of a dispatch daemon by an entry daemon.

use indexmap::IndexMap;
use jm_types::{DurationMs, MemberId, ServiceId, Timestamp, ZoneId};
use rand::RngCore;

use crate::{
    Class, ServiceSummary,
    hash::{rendezvous_weight, stable_hash},
};

/// Age at which a summary has half the weight of a new one.
const HALF_WEIGHT_AGE: DurationMs = DurationMs::new(2_000);

/// Minimum ratio of the scores of the first and second rendezvous candidate for a prefix. Below this ratio, the
/// request goes to the second candidate in spite of the prefix.
const MIN_AFFINITY_RATIO: f64 = 0.5;

const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Lower bound of the fair rate in the weighted choice, so that a daemon without a known rate still gets requests.
const MIN_FAIR_RATE: f64 = 1.0;

#[derive(Debug)]
struct Entry {
    hash: u64,
    summary: ServiceSummary,
    received: Timestamp,
    /// Tokens sent to the daemon since its summary was received.
    sent: u64,
}

type Entries = IndexMap<MemberId, Entry>;
type Zones = IndexMap<ZoneId, Entries>;
/// A candidate, its entry and its score.
type Scored<'a> = (&'a MemberId, &'a Entry, Score);

/// The latest summaries of all dispatch daemons, by service and zone.
#[derive(Debug, Default)]
pub struct DispatcherTable {
    services: IndexMap<ServiceId, Zones>,
}

impl DispatcherTable {
    /// Replaces the member's summary for the summary's service and zone. `now` is the time of reception.
    pub fn update(&mut self, member: &MemberId, summary: ServiceSummary, now: Timestamp) {
        let zones = self.services.entry(summary.service.clone()).or_default();
        let entries = zones.entry(summary.zone.clone()).or_default();
        let entry = Entry {
            hash: stable_hash(member.as_str().as_bytes()),
            summary,
            received: now,
            sent: 0,
        };
        entries.insert(member.clone(), entry);
    }

    /// Removes all summaries of a member that failed or left.
    pub fn remove(&mut self, member: &MemberId) {
        for entries in self.services.values_mut().flat_map(IndexMap::values_mut) {
            entries.swap_remove(member);
        }
    }

    /// Counts tokens sent to a member since its last summary, so that one outdated summary does not attract every
    /// request of this daemon.
    pub fn record_sent(&mut self, member: &MemberId, service: &ServiceId, tokens: u64) {
        let mut zones = self
            .services
            .get_mut(service)
            .into_iter()
            .flat_map(IndexMap::values_mut);
        if let Some(entry) = zones.find_map(|entries| entries.get_mut(member)) {
            entry.sent += tokens;
        }
    }
}

/// The properties of a request by which an entry daemon chooses a dispatch daemon.
#[derive(Debug, Clone, Copy)]
pub struct DispatcherQuery<'a> {
    /// Id of the service that the caller addressed.
    pub service: &'a ServiceId,
    /// Traffic class; it selects the free window and the fair rate that are compared.
    pub class: Class,
    /// Hash of the longest hashed prompt prefix. Requests with equal hashes go to the same daemon where possible.
    pub prefix_hash: Option<u64>,
    /// The zone of the entry daemon, which is preferred.
    pub own_zone: &'a ZoneId,
    /// Number of requests of the organisation that this entry daemon forwarded before, counted from a random start.
    /// When all windows are full, the index spreads the organisation's requests evenly over the daemons. With an
    /// uneven spread, the organisation's queue at some daemon would run empty, and the organisation would lose part
    /// of its share there, because idle time earns no credit.
    pub spread_index: u64,
    /// Dispatch daemons that must not be chosen, because the request was sent to them before.
    pub avoid: &'a [MemberId],
}

/// Chooses a dispatch daemon for a request; `None` when no daemon outside [`DispatcherQuery::avoid`] has targets of
/// the service.
///
/// Compares two candidates of the own zone by free window or, when both windows are full, by the rate at which they
/// serve one unit of share. With a prefix hash, rendezvous hashing selects the two candidates, so that requests with
/// the same prefix go to the same daemon. Other zones are used when the own zone has no candidate with a free window.
pub fn choose_dispatcher(
    query: DispatcherQuery<'_>,
    table: &DispatcherTable,
    now: Timestamp,
    random: &mut impl RngCore,
) -> Option<MemberId> {
    let zones = table.services.get(query.service)?;
    let choice = Choice { query, now };
    let own = zones
        .get(query.own_zone)
        .and_then(|entries| choice.pick(entries, random));
    if let Some((member, _, score)) = own
        && score.free > 0.0
    {
        return Some(member.clone());
    }
    let other = choice.pick_zone(zones, random);
    let best = match (own, other) {
        (Some(own), Some(other)) => Some(higher_score(own, other)),
        (own, other) => own.or(other),
    };
    best.map(|(member, ..)| member.clone())
}

/// The values by which dispatch daemons are compared, both weighted by the age of the summary.
#[derive(Debug, Clone, Copy)]
struct Score {
    free: f64,
    fair_rate: f64,
}

struct Choice<'a> {
    query: DispatcherQuery<'a>,
    now: Timestamp,
}

impl Choice<'_> {
    fn usable(&self, member: &MemberId, entry: &Entry) -> bool {
        entry.summary.targets > 0 && !self.query.avoid.contains(member)
    }

    fn score<'e>(&self, (member, entry): (&'e MemberId, &'e Entry)) -> Scored<'e> {
        let age_ms = self.now.since(entry.received).get() as f64;
        let age_weight = 1.0 / (1.0 + age_ms / HALF_WEIGHT_AGE.get() as f64);
        let summary = &entry.summary;
        let (free, queued, rate) = match self.query.class {
            Class::Live => (summary.free_window, summary.queued_live, summary.live_fair_rate),
            Class::Training => (
                summary.free_training_window,
                summary.queued_training,
                summary.training_fair_rate,
            ),
        };
        let taken = queued.get() + entry.sent;
        let score = Score {
            free: free.get().saturating_sub(taken) as f64 * age_weight,
            fair_rate: rate.get() * age_weight,
        };
        (member, entry, score)
    }

    /// The two usable daemons with the largest rendezvous weights for the prefix hash.
    fn rendezvous_candidates<'e>(&self, entries: &'e Entries, key: u64) -> [Option<Scored<'e>>; 2] {
        let mut best: [Option<(u64, (&MemberId, &Entry))>; 2] = [None, None];
        for (member, entry) in entries
            .iter()
            .filter(|(member, entry)| self.usable(member, entry))
        {
            let weight = rendezvous_weight(entry.hash, key);
            if best[0].is_none_or(|(top, _)| weight > top) {
                best = [Some((weight, (member, entry))), best[0]];
            } else if best[1].is_none_or(|(second, _)| weight > second) {
                best[1] = Some((weight, (member, entry)));
            }
        }
        best.map(|found| found.map(|(_, pair)| self.score(pair)))
    }

    /// The first usable entry at or after a random position.
    fn random_entry<'e>(&self, entries: &'e Entries, random: &mut impl RngCore) -> Option<Scored<'e>> {
        let start = random.next_u64() as usize % entries.len().max(1);
        let indices = (start..entries.len()).chain(0..start);
        indices
            .filter_map(|index| entries.get_index(index))
            .find(|(member, entry)| self.usable(member, entry))
            .map(|pair| self.score(pair))
    }

    fn pick<'e>(&self, entries: &'e Entries, random: &mut impl RngCore) -> Option<Scored<'e>> {
        let [first, second] = match self.query.prefix_hash {
            Some(key) => self.rendezvous_candidates(entries, key),
            None => [
                self.random_entry(entries, random),
                self.random_entry(entries, random),
            ],
        };
        let first = first?;
        let Some(second) = second else {
            return Some(first);
        };
        if self.query.prefix_hash.is_none() && first.2.free <= 0.0 && second.2.free <= 0.0 {
            return self.by_spread_index(entries).or(Some(first));
        }
        let (a, b) = comparable(first.2, second.2);
        let keep_first = if self.query.prefix_hash.is_some() {
            a >= MIN_AFFINITY_RATIO * b
        } else {
            // A weighted random choice. If every entry daemon took the higher score, all of them would choose the
            // same dispatch daemon until the next summaries arrive.
            a + b <= 0.0 || random.next_u64() as f64 / u64::MAX as f64 * (a + b) < a
        };
        Some(if keep_first { first } else { second })
    }

    /// Divides an interval between the daemons in proportion to their fair rates and takes the daemon at the position
    /// given by the spread index. Multiples of the golden ratio, modulo 1, cover the interval evenly.
    fn by_spread_index<'e>(&self, entries: &'e Entries) -> Option<Scored<'e>> {
        let usable = || {
            entries
                .iter()
                .filter(|(member, entry)| self.usable(member, entry))
        };
        let rates = || {
            usable()
                .map(|pair| self.score(pair))
                .map(|scored| (scored, scored.2.fair_rate.max(MIN_FAIR_RATE)))
        };
        let total_rate: f64 = rates().map(|(_, rate)| rate).sum();
        let mut left = (self.query.spread_index as f64 * GOLDEN_RATIO).fract() * total_rate;
        rates()
            .find(|(_, rate)| {
                left -= rate;
                left < 0.0
            })
            .map(|(scored, _)| scored)
    }

    /// The higher-scored candidate of the first two other zones with a usable daemon, from a random zone on.
    fn pick_zone<'e>(&self, zones: &'e Zones, random: &mut impl RngCore) -> Option<Scored<'e>> {
        let start = random.next_u64() as usize % zones.len().max(1);
        (start..zones.len())
            .chain(0..start)
            .filter_map(|index| zones.get_index(index))
            .filter(|(zone, _)| *zone != self.query.own_zone)
            .filter_map(|(_, entries)| self.pick(entries, random))
            .take(2)
            .reduce(higher_score)
    }
}

/// Returns the candidate with the higher score, or `first` when the scores are equal.
fn higher_score<'e>(first: Scored<'e>, second: Scored<'e>) -> Scored<'e> {
    let (a, b) = comparable(first.2, second.2);
    if a >= b { first } else { second }
}

/// The values to compare: the free windows when at least one is not zero, otherwise the fair rates.
fn comparable(a: Score, b: Score) -> (f64, f64) {
    if a.free > 0.0 || b.free > 0.0 {
        (a.free, b.free)
    } else {
        (a.fair_rate, b.fair_rate)
    }
}
