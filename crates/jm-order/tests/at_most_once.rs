//! Model-based test of the ticket table against a reference implementation and a count of writes to a target.

use std::{collections::BTreeMap, sync::Arc};

use jm_order::{
    Answer, BeginDecision, FailOutcome, Mismatch, Replay, RequestDigest, RunId, Ticket, TicketRequest,
    TicketTable, TicketTableOptions,
};
use jm_types::{DurationMs, Incarnation, Timestamp};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const LIFETIME_MS: u64 = 100;

#[derive(Debug, Clone)]
enum Op {
    Issue,
    Begin { ticket: usize, body: u8 },
    Written { run: usize },
    Complete { run: usize },
    Fail { run: usize },
    Advance { ms: u64 },
    Expire,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g) % 8;
        match u8::arbitrary(g) % 12 {
            0 | 1 => Self::Issue,
            2..=5 => Self::Begin {
                ticket: index,
                body: u8::arbitrary(g) % 8 / 7,
            },
            6 | 7 => Self::Written { run: index },
            8 => Self::Complete { run: index },
            9 => Self::Fail { run: index },
            10 => Self::Advance {
                ms: u64::arbitrary(g) % 60,
            },
            _ => Self::Expire,
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
enum Outcome {
    Unused,
    Running { run: RunId, written: bool },
    Finished { body: u8, at: u64 },
    Unknown { at: u64 },
}

/// Reference state of one ticket according to section 4.4 of `docs/design.md`, without limits and without removal.
struct ReferenceTicket {
    ticket: Ticket,
    body: Option<u8>,
    outcome: Outcome,
    writes: u32,
}

struct TableModel {
    table: TicketTable,
    tickets: Vec<ReferenceTicket>,
    runs: Vec<(usize, u8, RunId)>,
    now: u64,
}

fn request_of(body: u8) -> TicketRequest {
    TicketRequest {
        organisation: "parish".parse().unwrap(),
        service: "order-desk".parse().unwrap(),
        digest: RequestDigest::of("POST", "/orders", &[body]),
    }
}

fn answer_of(body: u8) -> Arc<Answer> {
    Arc::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: vec![body],
    })
}

impl TableModel {
    fn new() -> Self {
        let options = TicketTableOptions {
            unused_lifetime: DurationMs::new(LIFETIME_MS),
            outcome_lifetime: DurationMs::new(LIFETIME_MS),
            ..TicketTableOptions::default()
        };
        Self {
            table: TicketTable::new("m".parse().unwrap(), Incarnation::new(1), options),
            tickets: Vec::new(),
            runs: Vec::new(),
            now: 0,
        }
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Issue => self.issue(),
            Op::Begin { ticket, body } => self.begin(ticket, body),
            Op::Written { run } => self.written(run),
            Op::Complete { run } => self.complete(run),
            Op::Fail { run } => self.fail(run),
            Op::Advance { ms } => self.now += ms,
            Op::Expire => {
                self.table.expire(Timestamp::new(self.now));
            }
        }
    }

    fn issue(&mut self) {
        let request = request_of(0);
        let now = Timestamp::new(self.now);
        let ticket = self
            .table
            .issue(request.organisation, request.service, now)
            .unwrap();
        self.tickets.push(ReferenceTicket {
            ticket,
            body: None,
            outcome: Outcome::Unused,
            writes: 0,
        });
    }

    fn begin(&mut self, ticket: usize, body: u8) {
        if self.tickets.is_empty() {
            return;
        }
        let index = ticket % self.tickets.len();
        let reference = &mut self.tickets[index];
        let decision = self
            .table
            .begin(&reference.ticket, &request_of(body), Timestamp::new(self.now));
        let expired = match reference.outcome {
            Outcome::Unused => self.now >= reference.ticket.issued.get() + LIFETIME_MS,
            Outcome::Running { .. } => false,
            Outcome::Finished { at, .. } | Outcome::Unknown { at } => self.now >= at + LIFETIME_MS,
        };
        if expired {
            assert_eq!(decision, BeginDecision::Expired);
            return;
        }
        if *reference.body.get_or_insert(body) != body {
            assert_eq!(decision, BeginDecision::Mismatch(Mismatch::Request));
            return;
        }
        match (&reference.outcome, decision) {
            (Outcome::Unused, BeginDecision::Run(run)) => {
                reference.outcome = Outcome::Running { run, written: false };
                self.runs.push((index, body, run));
            }
            (Outcome::Running { run, .. }, decision) => assert_eq!(decision, BeginDecision::Wait(*run)),
            (Outcome::Finished { body, .. }, decision) => {
                assert_eq!(decision, BeginDecision::Replay(Replay::Answer(answer_of(*body))));
            }
            (Outcome::Unknown { .. }, decision) => assert_eq!(decision, BeginDecision::Unknown),
            (outcome, decision) => panic!("a ticket in state {outcome:?} returned {decision:?}"),
        }
    }

    /// Picks any run that was ever started, because reports may arrive late or twice.
    fn pick(&self, run: usize) -> Option<(usize, u8, RunId, bool)> {
        let &(index, body, run) = self.runs.get(run % self.runs.len().max(1))?;
        let current =
            matches!(&self.tickets[index].outcome, Outcome::Running { run: present, .. } if *present == run);
        Some((index, body, run, current))
    }

    fn written(&mut self, run: usize) {
        let Some((index, _, run, current)) = self.pick(run) else {
            return;
        };
        assert_eq!(self.table.mark_written(run).is_ok(), current);
        if current {
            let reference = &mut self.tickets[index];
            if reference.outcome == (Outcome::Running { run, written: false }) {
                reference.writes += 1;
            }
            reference.outcome = Outcome::Running { run, written: true };
        }
    }

    fn complete(&mut self, run: usize) {
        let Some((index, body, run, current)) = self.pick(run) else {
            return;
        };
        let completed = self
            .table
            .complete(run, answer_of(body), Timestamp::new(self.now));
        assert_eq!(completed.is_ok(), current);
        if current {
            self.tickets[index].outcome = Outcome::Finished { body, at: self.now };
        }
    }

    fn fail(&mut self, run: usize) {
        let Some((index, _, run, current)) = self.pick(run) else {
            return;
        };
        let failed = self.table.fail(run, Timestamp::new(self.now));
        let reference = &mut self.tickets[index];
        let expected = match reference.outcome {
            Outcome::Running { written: true, .. } if current => {
                reference.outcome = Outcome::Unknown { at: self.now };
                Some(FailOutcome::Unknown)
            }
            Outcome::Running { .. } if current => {
                reference.outcome = Outcome::Unused;
                Some(FailOutcome::NotRun)
            }
            _ => None,
        };
        assert_eq!(failed.ok(), expected);
    }
}

fn runs_once(ops: Vec<Op>) -> bool {
    let mut model = TableModel::new();
    for op in &ops {
        model.apply(op);
    }
    let writes: BTreeMap<u64, u32> = model
        .tickets
        .iter()
        .map(|reference| (reference.ticket.serial, reference.writes))
        .collect();
    writes.values().all(|&writes| writes <= 1)
}

/// Guards against a second run of a ticket, and against any outcome that differs from the reference implementation.
/// Reports about runs may be late, duplicated or reordered.
#[test]
fn matches_reference() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 11))
        .tests(3_000)
        .quickcheck(runs_once as fn(Vec<Op>) -> bool);
}

/// Guards against a ticket that runs at another incarnation, or for another organisation or service.
#[test]
fn foreign_ticket() {
    let mut model = TableModel::new();
    model.issue();
    let ticket = model.tickets[0].ticket.clone();
    let now = Timestamp::new(0);
    let mut request = request_of(0);
    let restarted = Ticket {
        incarnation: Incarnation::new(2),
        ..ticket.clone()
    };
    let decision = model.table.begin(&restarted, &request, now);
    assert_eq!(decision, BeginDecision::WrongIncarnation);
    assert_eq!(
        decision.code().unwrap().execution().to_string(),
        "outcome unknown"
    );
    request.organisation = "other".parse().unwrap();
    let decision = model.table.begin(&ticket, &request, now);
    assert_eq!(decision, BeginDecision::Mismatch(Mismatch::Owner));
    assert_eq!(decision.code().unwrap().execution().to_string(), "not run");
    let mut request = request_of(0);
    request.service = "other".parse().unwrap();
    assert_eq!(
        model.table.begin(&ticket, &request, now),
        BeginDecision::Mismatch(Mismatch::Owner)
    );
    assert!(matches!(
        model.table.begin(&ticket, &request_of(0), now),
        BeginDecision::Run(_)
    ));
}
