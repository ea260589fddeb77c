//! Tests of the selection of a dispatch daemon by an entry daemon.

mod common;

use common::{at, service, zone};
use jm_route::{Class, DispatcherQuery, DispatcherTable, ServiceSummary, choose_dispatcher};
use jm_types::{MemberId, Rate, ServiceId, Timestamp, TokenCount, ZoneId};
use rand::{SeedableRng, rngs::StdRng};

fn member(number: u64) -> MemberId {
    MemberId::new(format!("dispatch-{number}")).unwrap()
}

fn summary(zone: ZoneId, free: u64, fair_rate: f64) -> ServiceSummary {
    ServiceSummary {
        zone,
        service: service(),
        targets: 4,
        queued_live: TokenCount::new(0),
        queued_training: TokenCount::new(0),
        free_window: TokenCount::new(free),
        free_training_window: TokenCount::new(free),
        window: TokenCount::new(10_000),
        served_rate: Rate::new(100.0),
        live_fair_rate: Rate::new(fair_rate),
        training_fair_rate: Rate::new(fair_rate),
    }
}

struct Fixture {
    table: DispatcherTable,
    random: StdRng,
    service: ServiceId,
    zone: ZoneId,
    spread_index: u64,
}

impl Fixture {
    fn new() -> Self {
        Self {
            table: DispatcherTable::default(),
            random: StdRng::seed_from_u64(7),
            service: service(),
            zone: zone(0),
            spread_index: 0,
        }
    }

    fn add(&mut self, number: u64, zone_number: u64, free: u64, fair_rate: f64) {
        self.table.update(
            &member(number),
            summary(zone(zone_number), free, fair_rate),
            at(0),
        );
    }

    fn choose(&mut self, prefix_hash: Option<u64>, avoid: &[MemberId], now: Timestamp) -> Option<MemberId> {
        self.spread_index += 1;
        let query = DispatcherQuery {
            service: &self.service,
            class: Class::Live,
            prefix_hash,
            own_zone: &self.zone,
            spread_index: self.spread_index,
            avoid,
        };
        choose_dispatcher(query, &self.table, now, &mut self.random)
    }

    fn counts(&mut self, prefix_hash: Option<u64>, now: Timestamp) -> [u32; 6] {
        let mut counts = [0; 6];
        for _ in 0..1_000 {
            let chosen = self.choose(prefix_hash, &[], now).unwrap();
            let index = (0..6).position(|number| member(number) == chosen).unwrap();
            counts[index] += 1;
        }
        counts
    }
}

/// Guards against traffic between zones while the own zone has a free window.
#[test]
fn own_zone_is_preferred() {
    let mut fixture = Fixture::new();
    fixture.add(0, 0, 100, 0.0);
    fixture.add(1, 1, 10_000, 0.0);
    assert_eq!(fixture.counts(None, at(0)), [1_000, 0, 0, 0, 0, 0]);
    fixture.add(0, 0, 0, 0.0);
    assert_eq!(fixture.counts(None, at(0)), [0, 1_000, 0, 0, 0, 0]);
}

/// Guards against a thundering herd, where every entry daemon sends to the daemon with the largest free window.
#[test]
fn choice_is_weighted_by_free_window() {
    let mut fixture = Fixture::new();
    fixture.add(0, 0, 3_000, 0.0);
    fixture.add(1, 0, 1_000, 0.0);
    let counts = fixture.counts(None, at(0));
    assert!(counts[0] > counts[1] && counts[1] > 200, "{counts:?}");
}

/// Guards against a choice that ignores the fair rates when all windows are full. An organisation would be served less
/// at daemons with more competing organisations.
#[test]
fn fair_rate_decides_when_full() {
    let mut fixture = Fixture::new();
    fixture.add(0, 0, 0, 300.0);
    fixture.add(1, 0, 0, 100.0);
    let counts = fixture.counts(None, at(0));
    assert!(counts[0] > counts[1] && counts[1] > 200, "{counts:?}");
}

/// Guards against an uneven spread of one organisation's requests by random choice while all windows are full.
#[test]
fn requests_are_spread_evenly_when_full() {
    let mut fixture = Fixture::new();
    (0..4).for_each(|number| fixture.add(number, 0, 0, 100.0));
    for _ in 0..20 {
        let mut counts = [0; 4];
        for _ in 0..20 {
            let chosen = fixture.choose(None, &[], at(0)).unwrap();
            counts[(0..4).position(|number| member(number) == chosen).unwrap()] += 1;
        }
        assert!(counts.iter().all(|count| (4..=6).contains(count)), "{counts:?}");
    }
}

/// Guards against an old summary with the same weight as a new one.
#[test]
fn stale_summary_weighs_less() {
    let mut fixture = Fixture::new();
    fixture.add(0, 0, 1_000, 0.0);
    fixture
        .table
        .update(&member(1), summary(zone(0), 1_000, 0.0), at(20_000));
    let counts = fixture.counts(None, at(20_000));
    assert!(counts[0] < counts[1] / 2, "{counts:?}");
}

/// Guards against requests with the same prefix that go to different daemons, and against prefix affinity to a full
/// daemon.
#[test]
fn same_prefix_same_daemon_until_full() {
    let mut fixture = Fixture::new();
    (0..6).for_each(|number| fixture.add(number, 0, 1_000, 0.0));
    let counts = fixture.counts(Some(42), at(0));
    let first = counts.iter().position(|count| *count == 1_000).unwrap() as u64;
    fixture.table.record_sent(&member(first), &service(), 900);
    assert_eq!(fixture.counts(Some(42), at(0))[first as usize], 0);
}

/// Guards against a retry at a dispatch daemon that was tried before or was removed.
#[test]
fn avoided_and_removed_are_skipped() {
    let mut fixture = Fixture::new();
    fixture.add(0, 0, 1_000, 0.0);
    fixture.add(1, 1, 1_000, 0.0);
    assert_eq!(fixture.choose(None, &[member(0)], at(0)), Some(member(1)));
    fixture.table.remove(&member(1));
    assert_eq!(fixture.choose(None, &[member(0)], at(0)), None);
}
