//! An entry daemon's choice of a dispatch daemon.

use indexmap::IndexMap;
use jm_types::{DurationMs, MemberId, ServiceId, Timestamp, ZoneId};
use rand::RngCore;

use crate::{
    Class, ServiceSummary,
    hash::{rendezvous_weight, stable_hash},
};

/// A summary of this age counts half.
const HALF_AGE: DurationMs = DurationMs::new(2_000);

/// The dispatch daemon named by the prefix hash is left for the other candidate when it scores below this part of
/// the other's score.
const AFFINITY_PART: f64 = 0.5;

const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// A daemon without a known fair rate still gets requests.
const LEAST_RATE: f64 = 1.0;

#[derive(Debug)]
struct Entry {
    hash: u64,
    summary: ServiceSummary,
    received: Timestamp,
    /// Tokens sent there since the summary was received.
    sent: u64,
}

type Entries = IndexMap<MemberId, Entry>;
type Zones = IndexMap<ZoneId, Entries>;
/// A candidate, its entry and its score.
type Scored<'a> = (&'a MemberId, &'a Entry, Score);

/// The newest summaries of all dispatch daemons, by service and zone.
#[derive(Debug, Default)]
pub struct DispatcherTable {
    services: IndexMap<ServiceId, Zones>,
}

impl DispatcherTable {
    /// Stores a summary that replaces the member's previous one for the same service and zone.
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

    /// Forgets a member that failed or left.
    pub fn remove(&mut self, member: &MemberId) {
        for entries in self.services.values_mut().flat_map(IndexMap::values_mut) {
            entries.swap_remove(member);
        }
    }

    /// Counts tokens sent to a member since its summary, so that a stale summary does not attract every request
    /// of the daemon.
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

/// What an entry daemon knows about a request when it chooses a dispatch daemon.
#[derive(Debug, Clone, Copy)]
pub struct DispatcherQuery<'a> {
    /// The service asked for.
    pub service: &'a ServiceId,
    /// Live or training.
    pub class: Class,
    /// Hash of the longest prefix by which requests should meet.
    pub prefix_hash: Option<u64>,
    /// The zone of the entry daemon.
    pub own_zone: &'a ZoneId,
    /// Number of the organisation's requests that this entry daemon forwarded before, from a random start. When all
    /// windows are full, it spreads each organisation evenly over the daemons: where fewer of its requests wait by
    /// chance, its queue runs empty and it loses part of its share, because no credit is saved up.
    pub spread_index: u64,
    /// Dispatch daemons that were tried before.
    pub avoid: &'a [MemberId],
}

/// Chooses a dispatch daemon for a request: two candidates of the own zone are compared by free window and, when
/// all windows are full, by the rate at which they serve one unit of share. With a prefix hash the candidates are
/// the two that rendezvous hashing names, so that requests with one prefix meet. Other zones are used when the
/// own zone has no candidate with room.
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
        (Some(own), Some(other)) => Some(better(own, other)),
        (own, other) => own.or(other),
    };
    best.map(|(member, ..)| member.clone())
}

/// How well a dispatch daemon would serve a request.
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
        let trust = 1.0 / (1.0 + age_ms / HALF_AGE.get() as f64);
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
            free: free.get().saturating_sub(taken) as f64 * trust,
            fair_rate: rate.get() * trust,
        };
        (member, entry, score)
    }

    /// The two candidates that rendezvous hashing on the prefix names.
    fn nearest<'e>(&self, entries: &'e Entries, key: u64) -> [Option<Scored<'e>>; 2] {
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

    /// The first usable entry from a random position on.
    fn random_entry<'e>(&self, entries: &'e Entries, random: &mut impl RngCore) -> Option<Scored<'e>> {
        let start = random.next_u64() as usize % entries.len().max(1);
        let places = (start..entries.len()).chain(0..start);
        places
            .filter_map(|place| entries.get_index(place))
            .find(|(member, entry)| self.usable(member, entry))
            .map(|pair| self.score(pair))
    }

    fn pick<'e>(&self, entries: &'e Entries, random: &mut impl RngCore) -> Option<Scored<'e>> {
        let [first, second] = match self.query.prefix_hash {
            Some(key) => self.nearest(entries, key),
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
            return self.by_turn(entries).or(Some(first));
        }
        let (a, b) = comparable(first.2, second.2);
        let stay = if self.query.prefix_hash.is_some() {
            a >= AFFINITY_PART * b
        } else {
            // Weighted at random instead of "the larger one": with old summaries every daemon would otherwise
            // choose the same one.
            a + b <= 0.0 || random.next_u64() as f64 / u64::MAX as f64 * (a + b) < a
        };
        Some(if stay { first } else { second })
    }

    /// The daemon at the turn's place, each taking a part in proportion to its fair rate. Multiples of the golden
    /// ratio hit each part evenly.
    fn by_turn<'e>(&self, entries: &'e Entries) -> Option<Scored<'e>> {
        let usable = || {
            entries
                .iter()
                .filter(|(member, entry)| self.usable(member, entry))
        };
        let rates = || {
            usable()
                .map(|pair| self.score(pair))
                .map(|scored| (scored, scored.2.fair_rate.max(LEAST_RATE)))
        };
        let all: f64 = rates().map(|(_, rate)| rate).sum();
        let mut left = (self.query.spread_index as f64 * GOLDEN_RATIO).fract() * all;
        rates()
            .find(|(_, rate)| {
                left -= rate;
                left < 0.0
            })
            .map(|(scored, _)| scored)
    }

    /// The better of two other zones' candidates, the zones taken from a random position on.
    fn pick_zone<'e>(&self, zones: &'e Zones, random: &mut impl RngCore) -> Option<Scored<'e>> {
        let start = random.next_u64() as usize % zones.len().max(1);
        (start..zones.len())
            .chain(0..start)
            .filter_map(|place| zones.get_index(place))
            .filter(|(zone, _)| *zone != self.query.own_zone)
            .filter_map(|(_, entries)| self.pick(entries, random))
            .take(2)
            .reduce(better)
    }
}

/// The first unless the second is better.
fn better<'e>(first: Scored<'e>, second: Scored<'e>) -> Scored<'e> {
    let (a, b) = comparable(first.2, second.2);
    if a >= b { first } else { second }
}

/// The figures by which two scores compare: free windows when either has room, else the fair rates.
fn comparable(a: Score, b: Score) -> (f64, f64) {
    if a.free > 0.0 || b.free > 0.0 {
        (a.free, b.free)
    } else {
        (a.fair_rate, b.fair_rate)
    }
}
