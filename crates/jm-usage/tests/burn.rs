//! Burn rates, compared with a reference implementation that stores every request.

use jm_types::{OrganisationId, ServiceId, Timestamp};
use jm_usage::{
    BurnMeter, BurnMeterOptions, BurnRates, Objective, Outcome, RequestCounts, burn_report, merge_rows,
};
use quickcheck::{Gen, QuickCheck};

const MINUTE_MS: u64 = 60_000;

fn names(number: u8) -> (OrganisationId, ServiceId) {
    let organisation = format!("o{}", number % 2).parse().unwrap();
    (organisation, "desk".parse().unwrap())
}

fn meter() -> BurnMeter {
    BurnMeter::new(BurnMeterOptions::default())
}

struct Event {
    number: u8,
    bad: bool,
    bucket: u64,
}

fn reference_counts(events: &[Event], number: u8, span_ms: u64, now: u64) -> RequestCounts {
    let bucket_ms = BurnMeter::bucket_length().get();
    let last = now / bucket_ms;
    let mut counts = RequestCounts::default();
    for event in events {
        let in_span = event.bucket + span_ms / bucket_ms > last && event.bucket <= last;
        if event.number % 2 == number % 2 && in_span {
            counts.good += u64::from(!event.bad);
            counts.bad += u64::from(event.bad);
        }
    }
    counts
}

/// Time steps are up to 17 minutes, so that a whole short span can pass without a request.
fn rates_match_reference(records: Vec<(u8, bool, u32)>) -> bool {
    let mut meter = meter();
    let mut events = Vec::new();
    let mut now = 0;
    for (number, bad, step) in records {
        now += u64::from(step % 1_000_000) >> (number % 8);
        let (organisation, service) = names(number);
        let outcome = if bad { Outcome::Bad } else { Outcome::Good };
        meter.record(&organisation, &service, outcome, Timestamp::new(now));
        let bucket = now / BurnMeter::bucket_length().get();
        events.push(Event { number, bad, bucket });
        for other in [0, 1] {
            let (organisation, service) = names(other);
            let objective = 0.999.try_into().unwrap();
            let expected = BurnRates {
                short: reference_counts(&events, other, 5 * MINUTE_MS, now).burn_rate(objective),
                long: reference_counts(&events, other, 60 * MINUTE_MS, now).burn_rate(objective),
            };
            if meter.burn_rates(&organisation, &service, Timestamp::new(now)) != expected {
                return false;
            }
        }
    }
    true
}

/// Guards against old buckets that are counted again when the ring buffer wraps around.
#[test]
fn matches_reference() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 51))
        .tests(1_000)
        .quickcheck(rates_match_reference as fn(Vec<(u8, bool, u32)>) -> bool);
}

/// Guards against a burn rate that is not the share of bad requests divided by the allowed share.
#[test]
fn known_rate() {
    let mut meter = meter();
    let (organisation, service) = names(0);
    let objective = "0.99".parse().unwrap();
    meter.set_objectives([(organisation.clone(), service.clone(), objective)]);
    let now = Timestamp::new(0);
    for number in 0..100 {
        let outcome = if number < 2 { Outcome::Bad } else { Outcome::Good };
        meter.record(&organisation, &service, outcome, now);
    }
    let rates = meter.burn_rates(&organisation, &service, now);
    assert!((rates.short - 2.0).abs() < 1e-9, "{rates:?}");
    assert!((rates.long - 2.0).abs() < 1e-9, "{rates:?}");
    let later = meter.burn_rates(&organisation, &service, Timestamp::new(5 * MINUTE_MS));
    assert_eq!(later.short, 0.0);
    assert!((later.long - 2.0).abs() < 1e-9, "{later:?}");
    let end = meter.burn_rates(&organisation, &service, Timestamp::new(60 * MINUTE_MS));
    assert_eq!(end, BurnRates::default());
}

/// Guards against unbounded memory use. A full meter counts the requests that it cannot measure, and removes idle
/// series.
#[test]
fn full_meter() {
    let mut meter = BurnMeter::new(BurnMeterOptions {
        max_series: 1,
        ..BurnMeterOptions::default()
    });
    let ((first, service), (second, _)) = (names(0), names(1));
    meter.record(&first, &service, Outcome::Bad, Timestamp::new(0));
    meter.record(&second, &service, Outcome::Bad, Timestamp::new(0));
    assert_eq!((meter.untracked(), meter.rows(Timestamp::new(0)).len()), (1, 1));
    let later = Timestamp::new(60 * MINUTE_MS);
    meter.record(&second, &service, Outcome::Bad, later);
    assert_eq!(meter.untracked(), 1);
    assert_eq!(meter.rows(later)[0].organisation, second);
}

/// Guards against objectives that allow no errors, for which the burn rate is undefined.
#[test]
fn bad_objective() {
    for text in ["1", "1.5", "-0.1", "NaN", "inf", "x", ""] {
        assert!(text.parse::<Objective>().is_err(), "{text}");
    }
    assert!("0".parse::<Objective>().is_ok());
}

/// Guards against a report that does not list the worst row first or does not add the rows of several daemons.
#[test]
fn text_report() {
    let now = Timestamp::new(0);
    let mut rows = Vec::new();
    for _daemon in 0..2 {
        let mut meter = meter();
        let (good, service) = names(0);
        let (bad, _) = names(1);
        meter.record(&good, &service, Outcome::Good, now);
        meter.record(&bad, &service, Outcome::Good, now);
        meter.record(&bad, &service, Outcome::Bad, now);
        rows.extend(meter.rows(now));
    }
    let text = burn_report(&merge_rows(rows));
    let expected = "organisation service objective burn_5m burn_1h good_1h bad_1h\n\
                    o1 desk 0.999 500.00 500.00 2 2\n\
                    o0 desk 0.999 0.00 0.00 2 0\n";
    assert_eq!(text, expected);
}
