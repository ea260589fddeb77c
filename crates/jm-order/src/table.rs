//! Table of the tickets that one dispatch incarnation issued, with their outcomes.

use std::sync::Arc;

use indexmap::IndexMap;
use jm_types::{
    ByteSize, DurationMs, Incarnation, MemberId, OrganisationId, ResultCode, ServiceId, Timestamp,
};
use snafu::Snafu;

use crate::{RequestDigest, Ticket};

/// Bytes accounted for an entry without its answer: the entry, its index and two ids of maximum length.
const ENTRY_BYTES: u64 = 512;

/// Limits of a [`TicketTable`].
#[derive(Debug, Clone)]
pub struct TicketTableOptions {
    /// Maximum number of tickets in the table, in any state.
    pub max_entries: usize,
    /// Maximum number of tickets of one organisation. Prevents one caller from filling the table for all others.
    pub max_organisation_entries: usize,
    /// Maximum size of all entries and stored answers together.
    pub max_bytes: ByteSize,
    /// Maximum size of a stored answer. For a larger answer, the table only records that the request ran.
    pub max_answer_bytes: ByteSize,
    /// Time after its issue within which a ticket can be begun.
    pub unused_lifetime: DurationMs,
    /// Time for which an outcome is kept after the run ended.
    pub outcome_lifetime: DurationMs,
}

impl Default for TicketTableOptions {
    fn default() -> Self {
        Self {
            max_entries: 16_384,
            max_organisation_entries: 4_096,
            max_bytes: ByteSize::new(32_000_000),
            max_answer_bytes: ByteSize::new(256_000),
            unused_lifetime: DurationMs::new(600_000),
            outcome_lifetime: DurationMs::new(600_000),
        }
    }
}

/// The answer of a target, stored to answer retries of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values that are forwarded to the caller.
    pub headers: Vec<(String, String)>,
    /// All bytes of the body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Size that is accounted for the answer: header names, header values and body.
    pub fn bytes(&self) -> ByteSize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        ByteSize::new((headers + self.body.len()) as u64)
    }
}

/// The properties of a request that must match its ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketRequest {
    /// Organisation of the API key that authenticated the request.
    pub organisation: OrganisationId,
    /// Service that the request addresses.
    pub service: ServiceId,
    /// Digest of the request's method, path and body.
    pub digest: RequestDigest,
}

/// Identifies one run of a ticket, so that late reports about an earlier run can be rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunId {
    serial: u64,
    number: u64,
}

impl RunId {
    /// Serial number of the ticket.
    pub const fn serial(self) -> u64 {
        self.serial
    }
}

/// Outcome of a finished ticket, returned to a retry of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Replay {
    /// The answer that was stored when the ticket finished.
    Answer(Arc<Answer>),
    /// The request ran, but its answer was too large to store.
    AnswerNotStored,
}

/// Why a ticket does not match the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mismatch {
    /// The ticket belongs to another organisation or service.
    Owner,
    /// The ticket was already begun with another request.
    Request,
}

/// What the daemon does with a request that carries a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginDecision {
    /// Run the request. Report the end with [`TicketTable::complete`] or [`TicketTable::fail`]. Call
    /// [`TicketTable::mark_written`] before `fail` when bytes may have reached a target.
    Run(RunId),
    /// Wait until this run ends, then call [`TicketTable::begin`] again.
    Wait(RunId),
    /// Return the recorded outcome.
    Replay(Replay),
    /// Refuse: the request may have run, so it is never run again.
    Unknown,
    /// Refuse: the ticket has expired and its outcome may have been removed, so it is never run again.
    Expired,
    /// Refuse: another incarnation issued the ticket, so its outcome is unknown here.
    WrongIncarnation,
    /// Refuse: the ticket does not match the request, which was not run.
    Mismatch(Mismatch),
}

impl BeginDecision {
    /// The result code of a refusal. `None` for the other decisions.
    pub const fn code(&self) -> Option<ResultCode> {
        match self {
            Self::Run(_) | Self::Wait(_) | Self::Replay(_) => None,
            Self::Unknown | Self::WrongIncarnation => Some(ResultCode::OutcomeUnknown),
            Self::Expired => Some(ResultCode::TicketExpired),
            Self::Mismatch(Mismatch::Owner) => Some(ResultCode::TicketMismatch),
            Self::Mismatch(Mismatch::Request) => Some(ResultCode::RequestMismatch),
        }
    }
}

/// Why no ticket was issued.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum IssueError {
    /// The table is full. Tickets are never evicted before they expire.
    #[snafu(display("the ticket table is full; retry after tickets have expired"))]
    Full,
    /// The organisation has reached its maximum number of tickets.
    #[snafu(display("the organisation has reached its limit of {limit} tickets"))]
    OrganisationFull {
        /// Maximum number of tickets of one organisation.
        limit: usize,
    },
}

impl IssueError {
    /// The result code for the caller.
    pub const fn code(&self) -> ResultCode {
        ResultCode::QueueFull
    }
}

/// The reported run is not the ticket's current run. Nothing may be written to a target for it.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the run is not the current run of its ticket"))]
pub struct StaleRun;

/// State of the ticket after a run that ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailOutcome {
    /// Nothing was written to a target, so the ticket can be begun again.
    NotRun,
    /// Bytes may have reached a target, so the outcome is unknown and the ticket cannot be begun again.
    Unknown,
}

#[derive(Debug)]
enum State {
    Unused { issued: Timestamp },
    Running { number: u64, written: bool },
    Finished { replay: Replay, at: Timestamp },
    Unknown { at: Timestamp },
}

#[derive(Debug)]
struct Entry {
    organisation: OrganisationId,
    service: ServiceId,
    issued: Timestamp,
    digest: Option<RequestDigest>,
    state: State,
}

/// Tickets issued by one dispatch incarnation, with their outcomes. A ticket without an entry never runs, so it is
/// always safe to remove an entry.
#[derive(Debug)]
pub struct TicketTable {
    member: MemberId,
    incarnation: Incarnation,
    options: TicketTableOptions,
    next_serial: u64,
    next_run: u64,
    entries: IndexMap<u64, Entry>,
    organisation_entries: IndexMap<OrganisationId, usize>,
    bytes: u64,
}

impl TicketTable {
    /// Creates an empty table for a new incarnation.
    pub fn new(member: MemberId, incarnation: Incarnation, options: TicketTableOptions) -> Self {
        Self {
            member,
            incarnation,
            options,
            next_serial: 1,
            next_run: 1,
            entries: IndexMap::new(),
            organisation_entries: IndexMap::new(),
            bytes: 0,
        }
    }

    /// Number of tickets in the table, in any state.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table contains no ticket.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Size that is accounted for all entries and stored answers.
    pub const fn bytes(&self) -> ByteSize {
        ByteSize::new(self.bytes)
    }

    /// Issues a ticket. When the table is full, it returns an error instead of evicting an older ticket.
    pub fn issue(
        &mut self,
        organisation: OrganisationId,
        service: ServiceId,
        now: Timestamp,
    ) -> Result<Ticket, IssueError> {
        self.check_capacity(&organisation)?;
        let serial = self.next_serial;
        self.next_serial += 1;
        self.bytes += ENTRY_BYTES;
        *self.organisation_entries.entry(organisation.clone()).or_default() += 1;
        let entry = Entry {
            organisation: organisation.clone(),
            service: service.clone(),
            issued: now,
            digest: None,
            state: State::Unused { issued: now },
        };
        self.entries.insert(serial, entry);
        Ok(Ticket {
            member: self.member.clone(),
            incarnation: self.incarnation,
            organisation,
            service,
            serial,
            issued: now,
        })
    }

    fn check_capacity(&self, organisation: &OrganisationId) -> Result<(), IssueError> {
        let limit = self.options.max_organisation_entries;
        let full = self.entries.len() >= self.options.max_entries
            || self.bytes + ENTRY_BYTES > self.options.max_bytes.get();
        let held = self
            .organisation_entries
            .get(organisation)
            .copied()
            .unwrap_or_default();
        if full {
            FullSnafu.fail()
        } else if held >= limit {
            OrganisationFullSnafu { limit }.fail()
        } else {
            Ok(())
        }
    }

    /// Decides what to do with a request that carries a verified ticket.
    pub fn begin(&mut self, ticket: &Ticket, request: &TicketRequest, now: Timestamp) -> BeginDecision {
        if ticket.organisation != request.organisation || ticket.service != request.service {
            return BeginDecision::Mismatch(Mismatch::Owner);
        }
        if ticket.member != self.member || ticket.incarnation != self.incarnation {
            return BeginDecision::WrongIncarnation;
        }
        let Some(entry) = self.entries.get_mut(&ticket.serial) else {
            return BeginDecision::Expired;
        };
        if entry.organisation != ticket.organisation || entry.service != ticket.service {
            return BeginDecision::Mismatch(Mismatch::Owner);
        }
        if is_expired(&entry.state, &self.options, now) {
            return BeginDecision::Expired;
        }
        // The first request binds the ticket, even if it fails before any byte was written.
        if *entry.digest.get_or_insert(request.digest) != request.digest {
            return BeginDecision::Mismatch(Mismatch::Request);
        }
        begin_entry(entry, ticket.serial, &mut self.next_run)
    }

    /// Records that bytes of the request may have reached a target. Call this at the latest before
    /// [`TicketTable::fail`], which otherwise allows the ticket to be begun again.
    pub fn mark_written(&mut self, run: RunId) -> Result<(), StaleRun> {
        let entry = self.running(run)?;
        entry.state = State::Running {
            number: run.number,
            written: true,
        };
        Ok(())
    }

    /// Records the complete answer of a run.
    pub fn complete(&mut self, run: RunId, answer: Arc<Answer>, now: Timestamp) -> Result<(), StaleRun> {
        self.running(run)?;
        let replay = self.store(answer);
        let entry = self.running(run)?;
        entry.state = State::Finished { replay, at: now };
        Ok(())
    }

    fn store(&mut self, answer: Arc<Answer>) -> Replay {
        let bytes = answer.bytes().get();
        let fits = bytes <= self.options.max_answer_bytes.get()
            && self.bytes.saturating_add(bytes) <= self.options.max_bytes.get();
        if fits {
            self.bytes += bytes;
            Replay::Answer(answer)
        } else {
            Replay::AnswerNotStored
        }
    }

    /// Records that a run ended without a complete answer.
    pub fn fail(&mut self, run: RunId, now: Timestamp) -> Result<FailOutcome, StaleRun> {
        let entry = self.running(run)?;
        if matches!(entry.state, State::Running { written: true, .. }) {
            entry.state = State::Unknown { at: now };
            Ok(FailOutcome::Unknown)
        } else {
            entry.state = State::Unused { issued: entry.issued };
            Ok(FailOutcome::NotRun)
        }
    }

    fn running(&mut self, run: RunId) -> Result<&mut Entry, StaleRun> {
        let entry = self.entries.get_mut(&run.serial).ok_or(StaleRun)?;
        match entry.state {
            State::Running { number, .. } if number == run.number => Ok(entry),
            _ => Err(StaleRun),
        }
    }

    /// Removes expired tickets and returns their number. A running ticket is kept until its run ends.
    pub fn expire(&mut self, now: Timestamp) -> usize {
        let before = self.entries.len();
        let (options, counts, bytes) = (&self.options, &mut self.organisation_entries, &mut self.bytes);
        self.entries.retain(|_, entry| {
            let expired = is_expired(&entry.state, options, now);
            if expired {
                *bytes -= ENTRY_BYTES + stored_bytes(&entry.state);
                decrement_count(counts, &entry.organisation);
            }
            !expired
        });
        before - self.entries.len()
    }
}

fn begin_entry(entry: &mut Entry, serial: u64, next_run: &mut u64) -> BeginDecision {
    match &entry.state {
        State::Unused { .. } => {
            let number = *next_run;
            *next_run += 1;
            entry.state = State::Running {
                number,
                written: false,
            };
            BeginDecision::Run(RunId { serial, number })
        }
        State::Running { number, .. } => BeginDecision::Wait(RunId {
            serial,
            number: *number,
        }),
        State::Finished { replay, .. } => BeginDecision::Replay(replay.clone()),
        State::Unknown { .. } => BeginDecision::Unknown,
    }
}

fn is_expired(state: &State, options: &TicketTableOptions, now: Timestamp) -> bool {
    match state {
        State::Unused { issued } => now >= issued.after(options.unused_lifetime),
        State::Running { .. } => false,
        State::Finished { at, .. } | State::Unknown { at } => now >= at.after(options.outcome_lifetime),
    }
}

fn stored_bytes(state: &State) -> u64 {
    match state {
        State::Finished {
            replay: Replay::Answer(answer),
            ..
        } => answer.bytes().get(),
        _ => 0,
    }
}

fn decrement_count(counts: &mut IndexMap<OrganisationId, usize>, organisation: &OrganisationId) {
    if let Some(count) = counts.get_mut(organisation) {
        *count -= 1;
        if *count == 0 {
            counts.swap_remove(organisation);
        }
    }
}
