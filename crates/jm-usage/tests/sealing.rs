//! Parts and sealed windows against a naive sum.

use std::collections::{BTreeMap, BTreeSet};

use jm_types::{DurationMs, Incarnation, TokenCount};
use jm_usage::{
    PartId, ReportState, SealedParts, SealedWindow, TargetKind, UsageCounter, UsageCounterOptions,
    UsageCounts, UsageKey, UsagePart, WallTime, WindowId, WindowSchedule, seal,
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const WINDOW_MS: u64 = 100;

fn key(number: u8) -> UsageKey {
    UsageKey {
        organisation: format!("o{}", number % 3).parse().unwrap(),
        service: format!("s{}", number / 3 % 2).parse().unwrap(),
        kind: if number.is_multiple_of(2) {
            TargetKind::Cheap
        } else {
            TargetKind::Regular
        },
    }
}

fn counts(number: u64) -> UsageCounts {
    UsageCounts {
        requests: number,
        prompt_tokens: TokenCount::new(number * 10),
        generated_tokens: TokenCount::new(number * 100),
    }
}

fn schedule() -> WindowSchedule {
    WindowSchedule::new(DurationMs::new(WINDOW_MS), DurationMs::new(30))
}

fn counter(member: u8, options: UsageCounterOptions) -> UsageCounter {
    let member = format!("m{member}").parse().unwrap();
    UsageCounter::new(member, Incarnation::new(1), schedule(), options)
}

/// Parts with ids from a small range, so that some are doubled; parts of one id are equal.
#[derive(Debug, Clone)]
struct Parts(Vec<UsagePart>);

impl Arbitrary for Parts {
    fn arbitrary(g: &mut Gen) -> Self {
        let numbers: Vec<u8> = Arbitrary::arbitrary(g);
        Self(numbers.into_iter().map(part).collect())
    }
}

fn part(number: u8) -> UsagePart {
    let keys: BTreeSet<UsageKey> = [key(number), key(number / 7)].into();
    UsagePart {
        id: PartId {
            member: format!("m{}", number % 3).parse().unwrap(),
            incarnation: Incarnation::new(u64::from(number / 3 % 2)),
            number: u64::from(number),
        },
        window: WindowId::new(u64::from(number % 5)),
        rows: keys
            .into_iter()
            .map(|key| (key, counts(u64::from(number))))
            .collect(),
    }
}

type Sums = BTreeMap<(WindowId, UsageKey), UsageCounts>;

fn naive_sums(parts: &[UsagePart]) -> Sums {
    let mut seen = BTreeSet::new();
    let mut sums = Sums::new();
    for part in parts {
        if seen.insert(part.id.clone()) {
            for (key, counts) in &part.rows {
                sums.entry((part.window, key.clone())).or_default().add(*counts);
            }
        }
    }
    sums
}

fn sealed_sums<'a>(windows: impl IntoIterator<Item = &'a SealedWindow>) -> Sums {
    let mut sums = Sums::new();
    for row in windows.into_iter().flat_map(|sealed| &sealed.rows) {
        sums.entry((row.window, row.key.clone()))
            .or_default()
            .add(row.counts);
    }
    sums
}

fn any_order(parts: Parts, turn: usize) -> bool {
    let mut turned = parts.0.clone();
    turned.rotate_left(turn % parts.0.len().max(1));
    turned.reverse();
    turned.extend(parts.0.iter().take(3).cloned());
    let window = WindowId::new(9);
    let counted = SealedParts::default();
    let sealed = seal(window, &parts.0, &counted);
    sealed.encode() == seal(window, &turned, &counted).encode()
        && sealed_sums([&sealed]) == naive_sums(&parts.0)
        && SealedWindow::decode(&sealed.encode()).unwrap() == sealed
}

/// Guards against two sealers that write different bytes, and against parts that count twice.
#[test]
fn part_order() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 31))
        .tests(2_000)
        .quickcheck(any_order as fn(Parts, usize) -> bool);
}

/// Each part becomes visible before some window is sealed; all parts stay visible from then on.
fn late_once(parts: Parts, visible_from: Vec<u8>) -> TestResult {
    if visible_from.is_empty() {
        return TestResult::discard();
    }
    // Parts of one id become visible together.
    let from = |part: &UsagePart| u64::from(visible_from[part.id.number as usize % visible_from.len()] % 8);
    let mut counted = SealedParts::default();
    let mut windows = Vec::new();
    for number in 0..9 {
        let visible: Vec<UsagePart> = parts
            .0
            .iter()
            .filter(|part| from(part) <= number)
            .cloned()
            .collect();
        let sealed = seal(WindowId::new(number), &visible, &counted);
        if sealed.rows.iter().any(|row| row.window.get() > number) {
            return TestResult::error("a window contains usage of a later one");
        }
        counted.add(&sealed);
        windows.push(sealed);
    }
    let all_counted = parts.0.iter().all(|part| counted.contains(&part.id));
    TestResult::from_bool(all_counted && sealed_sums(&windows) == naive_sums(&parts.0))
}

/// Guards against late parts that are lost, counted twice or counted without their own window.
#[test]
fn late_parts() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 32))
        .tests(2_000)
        .quickcheck(late_once as fn(Parts, Vec<u8>) -> TestResult);
}

fn counter_sums(records: Vec<(u8, u8, u16)>, flush_every: u8) -> bool {
    let mut counter = counter(1, UsageCounterOptions { max_pending: 4 });
    let mut naive = Sums::new();
    let mut stored: BTreeMap<u64, UsagePart> = BTreeMap::new();
    for (index, &(number, amount, at)) in records.iter().enumerate() {
        let now = WallTime::new(u64::from(at));
        let amount = counts(u64::from(amount));
        counter.record(key(number), amount, now);
        let window = WindowId::new(u64::from(at) / WINDOW_MS);
        naive.entry((window, key(number))).or_default().add(amount);
        if index.is_multiple_of(usize::from(flush_every % 5) + 1) {
            store_some(&mut counter, &mut stored, index);
        }
    }
    while !counter.is_flushed() {
        store_some(&mut counter, &mut stored, 0);
    }
    let parts: Vec<UsagePart> = stored.into_values().collect();
    naive_sums(&parts) == naive
}

/// Stores each part; the response to every third one is lost.
fn store_some(counter: &mut UsageCounter, stored: &mut BTreeMap<u64, UsagePart>, index: usize) {
    let parts = counter.flush();
    assert!(parts.len() <= 4, "{} parts wait", parts.len());
    for (offset, part) in parts.into_iter().enumerate() {
        let number = part.id.number;
        let earlier = stored.entry(number).or_insert_with(|| part.clone());
        assert_eq!(*earlier, part, "a part changed after it was written");
        if index == 0 || !(index + offset).is_multiple_of(3) {
            counter.mark_written(number);
        }
    }
}

/// Guards against counts that are lost or doubled on the way into parts, against parts that change between
/// two writes, and against parts that pile up.
#[test]
fn flushed_parts() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 33))
        .tests(2_000)
        .quickcheck(counter_sums as fn(Vec<(u8, u8, u16)>, u8) -> bool);
}

/// Guards against sealing while parts are still on their way.
#[test]
fn grace_time() {
    let window = schedule().window_at(WallTime::new(250));
    assert_eq!(window, WindowId::new(2));
    assert!(!schedule().is_sealable(window, WallTime::new(329)));
    assert!(schedule().is_sealable(window, WallTime::new(330)));
}

/// Guards against figures that change between two reports, and against skipped windows.
#[test]
fn repeated_report() {
    let counted = SealedParts::default();
    let first = seal(WindowId::new(1), &[part(1)], &counted);
    let changed = seal(WindowId::new(1), &[part(1), part(6)], &counted);
    let mut state = ReportState::new(WindowId::new(1));
    state.on_sealed(seal(WindowId::new(2), &[], &counted));
    assert_eq!(state.next_report(), None, "window 1 comes first");
    state.on_sealed(first.clone());
    state.on_sealed(changed);
    let report = state.next_report().unwrap();
    assert_eq!(report.rows, first.rows);
    state.on_acknowledged(WindowId::new(2));
    state.on_acknowledged(WindowId::new(0));
    assert_eq!(state.next_report(), Some(report));
    state.on_acknowledged(WindowId::new(1));
    state.on_acknowledged(WindowId::new(1));
    assert_eq!(state.next_report().unwrap().window, WindowId::new(2));
    state.on_sealed(first);
    assert_eq!(state.next_window(), WindowId::new(2));
}

/// Guards against object keys that two daemons or two runs share, and against keys out of order.
#[test]
fn object_keys() {
    let mut other = part(4);
    other.id.incarnation = Incarnation::new(7);
    assert_ne!(part(4).object_key(), other.object_key());
    assert_eq!(part(4).object_key(), "usage/part/00000000000000000004/m1/1/4");
    assert!(WindowId::new(9).sealed_key() < WindowId::new(10).sealed_key());
}
