//! Model-based test of counting, flushing, sealing and reporting with crashes at any point.

use std::collections::{BTreeMap, BTreeSet};

use jm_types::{DurationMs, Incarnation, TokenCount};
use jm_usage::{
    Report, ReportState, SealedParts, SealedWindow, TargetKind, UsageCounter, UsageCounterOptions,
    UsageCounts, UsageKey, UsagePart, UsageRow, WallTime, WindowId, WindowSchedule, seal,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const MEMBERS: usize = 2;
const SEALERS: usize = 2;
const WINDOW_MS: u64 = 100;
const GRACE_MS: u64 = 20;

/// Result of a call to the store or the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CallResult {
    Answered,
    ResponseLost,
    RequestLost,
}

impl Arbitrary for CallResult {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 6 {
            0 => Self::RequestLost,
            1 | 2 => Self::ResponseLost,
            _ => Self::Answered,
        }
    }
}

#[derive(Debug, Clone)]
enum Op {
    Record {
        member: usize,
        requests: u64,
    },
    Flush {
        member: usize,
        result: CallResult,
        parts: usize,
    },
    MemberCrash {
        member: usize,
    },
    List {
        sealer: usize,
    },
    Seal {
        sealer: usize,
        result: CallResult,
    },
    Report {
        sealer: usize,
        result: CallResult,
    },
    StoreAcknowledgement {
        sealer: usize,
        result: CallResult,
    },
    SealerCrash {
        sealer: usize,
    },
    RemoveParts,
    Advance {
        ms: u64,
    },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let member = usize::arbitrary(g) % MEMBERS;
        let sealer = usize::arbitrary(g) % SEALERS;
        let result = CallResult::arbitrary(g);
        match u8::arbitrary(g) % 20 {
            0..=3 => Self::Record {
                member,
                requests: u64::arbitrary(g) % 9 + 1,
            },
            4..=6 => Self::Flush {
                member,
                result,
                parts: usize::arbitrary(g) % 3 + 1,
            },
            7 => Self::MemberCrash { member },
            8 | 9 => Self::List { sealer },
            10..=12 => Self::Seal { sealer, result },
            13 | 14 => Self::Report { sealer, result },
            15 => Self::StoreAcknowledgement { sealer, result },
            16 => Self::SealerCrash { sealer },
            17 => Self::RemoveParts,
            _ => Self::Advance {
                ms: u64::arbitrary(g) % 80,
            },
        }
    }
}

/// A dispatch daemon, with the number of requests that its current incarnation recorded.
struct Member {
    incarnation: u64,
    counter: UsageCounter,
    recorded: u64,
}

/// A control daemon that assumes it holds the lease. Two of them do so at the same time.
struct Sealer {
    counted: SealedParts,
    next: WindowId,
    listed: Vec<UsagePart>,
    reports: ReportState,
}

#[derive(Default)]
struct Store {
    parts: BTreeMap<String, UsagePart>,
    sealed: BTreeMap<WindowId, Vec<u8>>,
    reported_before: u64,
}

struct UsageModel {
    members: Vec<Member>,
    sealers: Vec<Sealer>,
    store: Store,
    /// Number of requests in each part that ever reached the store, by part id.
    written_parts: BTreeMap<(String, u64, u64), u64>,
    reported: BTreeMap<WindowId, Vec<UsageRow>>,
    recorded: u64,
    lost: u64,
    now: u64,
}

fn schedule() -> WindowSchedule {
    WindowSchedule::new(DurationMs::new(WINDOW_MS), DurationMs::new(GRACE_MS))
}

fn new_member(member: usize, incarnation: u64) -> Member {
    Member {
        incarnation,
        counter: UsageCounter::new(
            format!("m{member}").parse().unwrap(),
            Incarnation::new(incarnation),
            schedule(),
            UsageCounterOptions::default(),
        ),
        recorded: 0,
    }
}

fn requests(part: &UsagePart) -> u64 {
    part.rows.iter().map(|(_, counts)| counts.requests).sum()
}

impl Sealer {
    /// Reads the sealed windows and the acknowledgement, as a daemon does when it acquires the lease.
    fn load(store: &Store) -> Self {
        let mut sealer = Self {
            counted: SealedParts::default(),
            next: WindowId::new(0),
            listed: Vec::new(),
            reports: ReportState::new(WindowId::new(store.reported_before)),
        };
        for value in store.sealed.values() {
            sealer.add_sealed(&SealedWindow::decode(value).unwrap());
        }
        sealer
    }

    fn add_sealed(&mut self, sealed: &SealedWindow) {
        self.counted.add(sealed);
        self.next = sealed.window.next();
        self.reports.on_sealed(sealed.clone());
    }
}

impl UsageModel {
    fn new() -> Self {
        let store = Store::default();
        Self {
            members: (0..MEMBERS).map(|member| new_member(member, 1)).collect(),
            sealers: (0..SEALERS).map(|_| Sealer::load(&store)).collect(),
            store,
            written_parts: BTreeMap::new(),
            reported: BTreeMap::new(),
            recorded: 0,
            lost: 0,
            now: 0,
        }
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Record { member, requests } => self.record(member, requests),
            Op::Flush {
                member,
                result,
                parts,
            } => self.flush(member, result, parts),
            Op::MemberCrash { member } => self.member_crash(member),
            Op::List { sealer } => {
                self.sealers[sealer].listed = self.store.parts.values().cloned().collect();
            }
            Op::Seal { sealer, result } => self.seal(sealer, result),
            Op::Report { sealer, result } => self.report(sealer, result),
            Op::StoreAcknowledgement { sealer, result } => self.store_acknowledgement(sealer, result),
            Op::SealerCrash { sealer } => self.sealers[sealer] = Sealer::load(&self.store),
            Op::RemoveParts => self.remove_parts(),
            Op::Advance { ms } => self.now += ms,
        }
    }

    fn record(&mut self, member: usize, requests: u64) {
        let key = UsageKey {
            organisation: "parish".parse().unwrap(),
            service: "racks".parse().unwrap(),
            kind: TargetKind::Regular,
        };
        let counts = UsageCounts {
            requests,
            prompt_tokens: TokenCount::new(requests),
            generated_tokens: TokenCount::new(requests),
        };
        let member = &mut self.members[member];
        member.counter.record(key, counts, WallTime::new(self.now));
        member.recorded += requests;
        self.recorded += requests;
    }

    /// Writes at most `limit` parts, as if the daemon crashed before the next write.
    fn flush(&mut self, index: usize, result: CallResult, limit: usize) {
        let member = &mut self.members[index];
        for part in member.counter.flush().into_iter().take(limit) {
            if result == CallResult::RequestLost {
                continue;
            }
            let number = part.id.number;
            let id = (part.id.member.to_string(), part.id.incarnation.get(), number);
            self.written_parts.insert(id, requests(&part));
            self.store.parts.entry(part.object_key()).or_insert(part);
            if result == CallResult::Answered {
                member.counter.mark_written(number);
            }
        }
    }

    /// Crashes a daemon. Usage that is not in a written part is the expected loss.
    fn member_crash(&mut self, index: usize) {
        let member = &self.members[index];
        let name = format!("m{index}");
        let written_requests: u64 = self
            .written_parts
            .iter()
            .filter(|((member_name, incarnation, _), _)| {
                *member_name == name && *incarnation == member.incarnation
            })
            .map(|(_, requests)| requests)
            .sum();
        self.lost += member.recorded - written_requests;
        self.members[index] = new_member(index, member.incarnation + 1);
    }

    /// Seals a window from the listed parts, which may be outdated. After a lost response, the stored window is read
    /// back.
    fn seal(&mut self, index: usize, result: CallResult) {
        let sealer = &mut self.sealers[index];
        let window = sealer.next;
        if !schedule().is_sealable(window, WallTime::new(self.now)) {
            return;
        }
        let sealed = seal(window, &sealer.listed, &sealer.counted);
        if result == CallResult::RequestLost {
            return;
        }
        let stored = self.store.sealed.entry(window).or_insert_with(|| sealed.encode());
        if result == CallResult::Answered {
            sealer.add_sealed(&SealedWindow::decode(stored).unwrap());
        }
    }

    fn report(&mut self, index: usize, result: CallResult) {
        let Some(Report { window, rows }) = self.sealers[index].reports.next_report() else {
            return;
        };
        if result == CallResult::RequestLost {
            return;
        }
        let known = self.reported.entry(window).or_insert_with(|| rows.clone());
        assert_eq!(*known, rows, "window {window} was reported with different counts");
        if result == CallResult::Answered {
            self.sealers[index].reports.on_acknowledged(window);
        }
    }

    fn store_acknowledgement(&mut self, index: usize, result: CallResult) {
        if result != CallResult::RequestLost {
            let next = self.sealers[index].reports.next_window().get();
            self.store.reported_before = self.store.reported_before.max(next);
        }
    }

    /// Removes the objects of parts that sealed windows in the store contain.
    fn remove_parts(&mut self) {
        let counted = Sealer::load(&self.store).counted;
        self.store.parts.retain(|_, part| !counted.contains(&part.id));
    }

    /// Flushes, seals and reports all usage without further losses.
    fn drain(&mut self) {
        for member in 0..MEMBERS {
            self.flush(member, CallResult::Answered, usize::MAX);
            assert!(self.members[member].counter.is_flushed());
        }
        self.now += 2 * WINDOW_MS + GRACE_MS;
        self.apply(&Op::SealerCrash { sealer: 0 });
        self.apply(&Op::List { sealer: 0 });
        let end = schedule().window_at(WallTime::new(self.now));
        while self.sealers[0].next < end
            && schedule().is_sealable(self.sealers[0].next, WallTime::new(self.now))
        {
            self.seal(0, CallResult::Answered);
        }
        while self.sealers[0].reports.next_report().is_some() {
            self.report(0, CallResult::Answered);
        }
    }
}

fn reports_match_records(ops: Vec<Op>) -> bool {
    let mut model = UsageModel::new();
    for op in &ops {
        model.apply(op);
    }
    model.drain();
    let rows: Vec<&UsageRow> = model.reported.values().flatten().collect();
    let reported_requests: u64 = rows.iter().map(|row| row.counts.requests).sum();
    let windows: BTreeSet<WindowId> = model.reported.keys().copied().collect();
    let no_gap = windows
        .iter()
        .zip(0..)
        .all(|(window, number)| window.get() == number);
    no_gap && reported_requests == model.recorded - model.lost
}

/// Guards against a window that is reported with different counts, and against usage that is counted twice or lost,
/// except for usage that was not flushed before a crash. Two sealers are active at the same time.
#[test]
fn any_crash() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 41))
        .tests(10_000)
        .quickcheck(reports_match_records as fn(Vec<Op>) -> bool);
}
