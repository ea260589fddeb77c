//! Guards against origins of streams that are stored too often, too late or in a form that cannot be read.

use std::collections::{BTreeSet, HashSet};

use jm_forward::{MAX_ORIGINS, Origin, StoredOrigins, StreamKey};
use jm_host::{FlushSchedule, StreamRecord, flush_interval, listing_interval, stored_origins};
use jm_platform::MAX_VALUE_BYTES;
use jm_types::{ServiceId, Timestamp};

/// Limits of the store for the whole fleet, per second.
const WRITES_PER_S: f64 = 400.0;
const READS_PER_S: f64 = 2_000.0;

fn origins(count: usize) -> StoredOrigins {
    let origin = Origin {
        service: "desk".parse().unwrap(),
        software: Some("v1".parse().unwrap()),
    };
    let keys = (0..count).map(|index| StreamKey::new(None, &index.to_string()).unwrap());
    StoredOrigins::from([(origin, keys.collect::<HashSet<_>>())])
}

/// Guards against a full table that the store refuses, and against damaged records that are taken for sound ones.
#[test]
fn record_form() {
    let full = origins(MAX_ORIGINS);
    let bytes = serde_json::to_vec(&StreamRecord::new(&full, 7)).unwrap();
    assert!(bytes.len() < MAX_VALUE_BYTES * 3 / 4, "{} bytes", bytes.len());
    assert_eq!(StreamRecord::decode(&bytes).unwrap(), (full, 7));
    let small = serde_json::to_vec(&StreamRecord::new(&origins(1), 7)).unwrap();
    assert!(StreamRecord::decode(&small[..small.len() - 1]).is_err());
    let text = String::from_utf8(small).unwrap();
    let cut = text.replacen("\"keys\":\"", "\"keys\":\"é", 1);
    assert!(StreamRecord::decode(cut.as_bytes()).is_err());
}

/// Guards against hosts whose memory is filled by the origins of all others.
#[test]
fn fleet_origins() {
    for hosts in 1..=350 {
        let stored = stored_origins(hosts);
        assert!(stored * hosts <= 400_000, "{hosts} hosts: {stored}");
        assert!((1_000..=MAX_ORIGINS).contains(&stored), "{hosts} hosts: {stored}");
    }
}

/// Guards against calls of all hosts together that take more than a quarter of what the store allows.
#[test]
fn call_rates() {
    for hosts in 8..=350 {
        let per_s = |interval_ms: u64| hosts as f64 * 1_000.0 / interval_ms as f64;
        let writes = per_s(flush_interval(hosts).get());
        let listings = per_s(listing_interval(hosts).get());
        assert!(writes <= WRITES_PER_S / 4.0, "{hosts} hosts: {writes} writes");
        assert!(
            listings <= READS_PER_S / 4.0,
            "{hosts} hosts: {listings} listings"
        );
    }
}

/// Guards against writes without news, and against origins of before that stay unwritten when a second version appears.
#[test]
fn due_writes() {
    let (none, desk): (BTreeSet<ServiceId>, BTreeSet<ServiceId>) =
        (BTreeSet::new(), BTreeSet::from(["desk".parse().unwrap()]));
    let interval = flush_interval(8);
    let mut schedule = FlushSchedule::default();
    let now = Timestamp::new(0);
    assert!(
        !schedule.is_due(5, &none, now),
        "a single version needs no record"
    );
    assert!(schedule.is_due(5, &desk, now));
    schedule.started(interval, now);
    assert!(!schedule.is_due(5, &desk, now), "within the interval");
    let later = now.after(interval);
    assert!(schedule.is_due(5, &desk, later), "the write failed");
    schedule.succeeded(5, desk.clone());
    assert!(!schedule.is_due(5, &desk, later), "nothing is new");
    assert!(schedule.is_due(6, &desk, later));
    let more = BTreeSet::from(["desk".parse().unwrap(), "attic".parse().unwrap()]);
    assert!(
        schedule.is_due(5, &more, later),
        "another service has two versions"
    );
}
