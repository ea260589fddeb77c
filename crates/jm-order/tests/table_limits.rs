//! Limits of the ticket table in entries and bytes.

use std::sync::Arc;

use jm_order::{
    Answer, BeginDecision, IssueError, Replay, RequestDigest, Ticket, TicketRequest, TicketTable,
    TicketTableOptions,
};
use jm_types::{ByteSize, DurationMs, Incarnation, Timestamp};

const NOW: Timestamp = Timestamp::new(0);

fn table(options: TicketTableOptions) -> TicketTable {
    TicketTable::new("m".parse().unwrap(), Incarnation::new(1), options)
}

fn issue(table: &mut TicketTable, organisation: &str) -> Result<Ticket, IssueError> {
    table.issue(organisation.parse().unwrap(), "desk".parse().unwrap(), NOW)
}

fn begin(table: &mut TicketTable, ticket: &Ticket, now: Timestamp) -> BeginDecision {
    let request = TicketRequest {
        organisation: ticket.organisation.clone(),
        service: ticket.service.clone(),
        digest: RequestDigest::of("POST", "/", b""),
    };
    table.begin(ticket, &request, now)
}

fn run(table: &mut TicketTable, ticket: &Ticket, body_bytes: usize) {
    let BeginDecision::Run(run) = begin(table, ticket, NOW) else {
        panic!("the ticket does not run");
    };
    table.mark_written(run).unwrap();
    let answer = Answer {
        status: 200,
        headers: Vec::new(),
        body: vec![0; body_bytes],
    };
    table.complete(run, Arc::new(answer), NOW).unwrap();
}

/// Guards against a full table that evicts outcomes to issue new tickets.
#[test]
fn full_table() {
    let mut table = table(TicketTableOptions {
        max_entries: 2,
        ..TicketTableOptions::default()
    });
    let first = issue(&mut table, "a").unwrap();
    run(&mut table, &first, 3);
    issue(&mut table, "b").unwrap();
    assert_eq!(issue(&mut table, "c"), Err(IssueError::Full));
    assert!(matches!(begin(&mut table, &first, NOW), BeginDecision::Replay(_)));
    assert_eq!(table.expire(Timestamp::new(600_000)), 2);
    assert_eq!((table.len(), table.bytes()), (0, ByteSize::new(0)));
    assert!(issue(&mut table, "c").is_ok());
}

/// Guards against one organisation that uses every entry.
#[test]
fn organisation_limit() {
    let mut table = table(TicketTableOptions {
        max_organisation_entries: 1,
        ..TicketTableOptions::default()
    });
    issue(&mut table, "a").unwrap();
    assert_eq!(
        issue(&mut table, "a"),
        Err(IssueError::OrganisationFull { limit: 1 })
    );
    assert!(issue(&mut table, "b").is_ok());
    table.expire(Timestamp::new(600_000));
    assert!(issue(&mut table, "a").is_ok());
}

/// Guards against large answers that exceed the memory limit, and against a second run of a request because its answer
/// was not stored.
#[test]
fn large_answer() {
    let mut table = table(TicketTableOptions {
        max_answer_bytes: ByteSize::new(100),
        ..TicketTableOptions::default()
    });
    for (bytes, held) in [(100, true), (101, false)] {
        let ticket = issue(&mut table, "a").unwrap();
        run(&mut table, &ticket, bytes);
        let BeginDecision::Replay(replay) = begin(&mut table, &ticket, NOW) else {
            panic!("the outcome is not replayed");
        };
        assert_eq!(matches!(replay, Replay::Answer(_)), held, "{bytes} bytes");
    }
}

/// Guards against many medium-sized answers that together exceed the memory limit.
#[test]
fn many_answers() {
    let max_bytes = ByteSize::new(20_000);
    let mut table = table(TicketTableOptions {
        max_bytes,
        ..TicketTableOptions::default()
    });
    let tickets: Vec<Ticket> = std::iter::from_fn(|| issue(&mut table, "a").ok()).collect();
    assert!(tickets.len() > 10, "only {} tickets", tickets.len());
    for ticket in &tickets {
        run(&mut table, ticket, 300);
        assert!(table.bytes() <= max_bytes, "{}", table.bytes());
    }
    for ticket in &tickets {
        assert!(matches!(begin(&mut table, ticket, NOW), BeginDecision::Replay(_)));
    }
}

/// Guards against an expired ticket that runs, before or after its entry is removed, and against removal of a ticket
/// during its run.
#[test]
fn expired_ticket() {
    let lifetime = DurationMs::new(50);
    let mut table = table(TicketTableOptions {
        unused_lifetime: lifetime,
        outcome_lifetime: lifetime,
        ..TicketTableOptions::default()
    });
    let late = Timestamp::new(50);
    let unused = issue(&mut table, "a").unwrap();
    let running = issue(&mut table, "a").unwrap();
    let BeginDecision::Run(current_run) = begin(&mut table, &running, NOW) else {
        panic!("the ticket does not run");
    };
    assert_eq!(begin(&mut table, &unused, late), BeginDecision::Expired);
    assert_eq!(table.expire(late), 1);
    assert_eq!(begin(&mut table, &unused, late), BeginDecision::Expired);
    assert_eq!(
        begin(&mut table, &running, late),
        BeginDecision::Wait(current_run)
    );
}
