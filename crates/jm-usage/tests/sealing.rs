//! Parts and sealed windows, compared with a reference sum.

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

/// Parts with ids from a small range, so that some are duplicates. Parts with the same id are equal.
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

fn reference_sums(parts: &[UsagePart]) -> Sums {
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

fn seals_same_bytes(parts: Parts, shift: usize) -> bool {
    let mut reordered = parts.0.clone();
    reordered.rotate_left(shift % parts.0.len().max(1));
    reordered.reverse();
    reordered.extend(parts.0.iter().take(3).cloned());
    let window = WindowId::new(9);
    let counted = SealedParts::default();
    let sealed = seal(window, &parts.0, &counted);
    sealed.encode() == seal(window, &reordered, &counted).encode()
        && sealed_sums([&sealed]) == reference_sums(&parts.0)
        && SealedWindow::decode(&sealed.encode()).unwrap() == sealed
}

/// Guards against two sealers that encode the same window differently, and against parts that are counted twice.
#[test]
fn part_order() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 31))
        .tests(2_000)
        .quickcheck(seals_same_bytes as fn(Parts, usize) -> bool);
}

/// Each part becomes visible before one of the windows is sealed, and stays visible from then on.
fn counts_late_parts_once(parts: Parts, visible_from: Vec<u8>) -> TestResult {
    if visible_from.is_empty() {
        return TestResult::discard();
    }
    // Parts with the same id become visible at the same time.
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
    TestResult::from_bool(all_counted && sealed_sums(&windows) == reference_sums(&parts.0))
}

/// Guards against late parts that are lost, counted twice or attributed to another window than their own.
#[test]
fn late_parts() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 32))
        .tests(2_000)
        .quickcheck(counts_late_parts_once as fn(Parts, Vec<u8>) -> TestResult);
}

fn parts_match_records(records: Vec<(u8, u8, u16)>, flush_every: u8) -> bool {
    let mut counter = counter(1, UsageCounterOptions { max_pending: 4 });
    let mut reference = Sums::new();
    let mut stored: BTreeMap<u64, UsagePart> = BTreeMap::new();
    for (index, &(number, amount, at)) in records.iter().enumerate() {
        let now = WallTime::new(u64::from(at));
        let amount = counts(u64::from(amount));
        counter.record(key(number), amount, now);
        let window = WindowId::new(u64::from(at) / WINDOW_MS);
        reference.entry((window, key(number))).or_default().add(amount);
        if index.is_multiple_of(usize::from(flush_every % 5) + 1) {
            flush_with_losses(&mut counter, &mut stored, index);
        }
    }
    while !counter.is_flushed() {
        flush_with_losses(&mut counter, &mut stored, 0);
    }
    let parts: Vec<UsagePart> = stored.into_values().collect();
    reference_sums(&parts) == reference
}

/// Stores each part. The response to every third write is lost.
fn flush_with_losses(counter: &mut UsageCounter, stored: &mut BTreeMap<u64, UsagePart>, index: usize) {
    let parts = counter.flush();
    assert!(parts.len() <= 4, "{} parts are pending", parts.len());
    for (offset, part) in parts.into_iter().enumerate() {
        let number = part.id.number;
        let earlier = stored.entry(number).or_insert_with(|| part.clone());
        assert_eq!(*earlier, part, "a part changed after it was written");
        if index == 0 || !(index + offset).is_multiple_of(3) {
            counter.mark_written(number);
        }
    }
}

/// Guards against usage that is lost or counted twice when parts are created, against parts that change between two
/// writes, and against an unbounded number of pending parts.
#[test]
fn flushed_parts() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 33))
        .tests(2_000)
        .quickcheck(parts_match_records as fn(Vec<(u8, u8, u16)>, u8) -> bool);
}

/// Guards against sealing a window before its grace time has passed.
#[test]
fn grace_time() {
    let window = schedule().window_at(WallTime::new(250));
    assert_eq!(window, WindowId::new(2));
    assert!(!schedule().is_sealable(window, WallTime::new(329)));
    assert!(schedule().is_sealable(window, WallTime::new(330)));
}

/// Guards against counts that change between two reports of a window, and against skipped windows.
#[test]
fn repeated_report() {
    let counted = SealedParts::default();
    let first = seal(WindowId::new(1), &[part(1)], &counted);
    let changed = seal(WindowId::new(1), &[part(1), part(6)], &counted);
    let mut state = ReportState::new(WindowId::new(1));
    state.on_sealed(seal(WindowId::new(2), &[], &counted));
    assert_eq!(state.next_report(), None, "window 1 must be reported first");
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

/// Guards against equal object keys of two daemons or two incarnations, and against keys that do not sort by window.
#[test]
fn object_keys() {
    let mut other = part(4);
    other.id.incarnation = Incarnation::new(7);
    assert_ne!(part(4).object_key(), other.object_key());
    assert_eq!(part(4).object_key(), "usage/part/00000000000000000004/m1/1/4");
    assert!(WindowId::new(9).sealed_key() < WindowId::new(10).sealed_key());
}
