//! Requests that must run at most once. Their run does not depend on the caller's connection.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::{
    channel::{Receiver, bounded},
    task,
};
use indexmap::IndexMap;
use jm_link::{ExecuteRequest, HeaderLine, PeerReply};
use jm_order::{
    Answer, BeginDecision, FailOutcome, Mismatch, Replay, RequestDigest, RunId, SignedTicket, TicketRequest,
    TicketTable, TicketTableOptions,
};
use jm_types::{DurationMs, Execution, MemberId, OrganisationId, ResultCode, ServiceId};

use crate::{
    Dispatch,
    call::SharedDispatch,
    sink::{CollectSink, Failure},
};

/// Interval at which expired tickets are removed.
const EXPIRE_INTERVAL_MS: DurationMs = DurationMs::new(5_000);

/// The tickets of this run of the daemon.
pub(crate) struct Orders {
    table: Mutex<TicketTable>,
    running: Mutex<IndexMap<u64, Running>>,
}

/// A run that is under way. Everyone who asked for the order waits on it.
#[derive(Clone)]
struct Running {
    finished: Receiver<()>,
    /// Why the order was not run; such an outcome is not kept in the table, because the ticket may be used again.
    not_run: Arc<Mutex<Option<Failure>>>,
}

impl Running {
    /// Waits for the end of the run; an error means that the order was not run.
    async fn ended(&self) -> Result<(), Failure> {
        // The channel only closes; nothing is ever sent.
        let _ = self.finished.recv().await;
        match self
            .not_run
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
        {
            Some(failure) => Err(failure),
            None => Ok(()),
        }
    }
}

impl Orders {
    pub(crate) fn new(member: MemberId, incarnation: jm_types::Incarnation) -> Self {
        let table = TicketTable::new(member, incarnation, TicketTableOptions::default());
        Self {
            table: Mutex::new(table),
            running: Mutex::default(),
        }
    }

    fn table(&self) -> MutexGuard<'_, TicketTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn running(&self) -> MutexGuard<'_, IndexMap<u64, Running>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Issues a ticket in its signed form.
pub(crate) fn issue_ticket(
    dispatch: &SharedDispatch,
    organisation: Option<OrganisationId>,
    service: ServiceId,
) -> PeerReply {
    let organisation = organisation.unwrap_or_else(|| dispatch.open_organisation.clone());
    match dispatch
        .orders
        .table()
        .issue(organisation, service, dispatch.node.now())
    {
        Ok(ticket) => PeerReply::Ticket(dispatch.node.tickets.sign(ticket).to_string()),
        Err(error) => PeerReply::refused(error.code(), error.to_string()),
    }
}

/// Runs or replays the order of a ticket, and gives its whole answer.
pub(crate) async fn run_order(
    dispatch: &SharedDispatch,
    request: ExecuteRequest,
    ticket: &str,
) -> Result<Arc<Answer>, Failure> {
    let signed: SignedTicket = ticket
        .parse()
        .map_err(|error: jm_order::TicketError| Failure::new(error.code(), error.to_string()))?;
    let ticket = signed.verify(&dispatch.node.tickets);
    let ticket = ticket.map_err(|error| Failure::new(error.code(), error.to_string()))?;
    let usage = TicketRequest {
        organisation: request
            .organisation
            .clone()
            .unwrap_or_else(|| dispatch.open_organisation.clone()),
        service: request.service.clone(),
        digest: RequestDigest::of(&request.head.method, &request.head.path, &request.body),
    };
    loop {
        let begin = dispatch.orders.table().begin(ticket, &usage, dispatch.node.now());
        match begin {
            BeginDecision::Run(run) => start_run(dispatch, run, request.clone()).ended().await?,
            BeginDecision::Wait(run) => {
                let running = dispatch.orders.running().get(&run.serial()).cloned();
                if let Some(running) = running {
                    running.ended().await?;
                }
            }
            BeginDecision::Replay(Replay::Answer(answer)) => return Ok(answer),
            refused => return Err(refusal(&refused)),
        }
    }
}

fn refusal(begin: &BeginDecision) -> Failure {
    let code = begin.code().unwrap_or(ResultCode::Internal);
    let message = match begin {
        BeginDecision::Replay(Replay::AnswerNotStored) => "the order ran; its answer was too large to keep",
        BeginDecision::Unknown => "the order may have run; it is never run again",
        BeginDecision::Expired => "the ticket is too old for its outcome to be known",
        BeginDecision::WrongIncarnation => {
            "the daemon that issued the ticket has restarted; the order may have run"
        }
        BeginDecision::Mismatch(Mismatch::Owner) => {
            "the ticket was issued for another organisation or service"
        }
        BeginDecision::Mismatch(Mismatch::Request) => "the ticket was used with another request",
        _ => "the ticket cannot be used",
    };
    Failure::new(code, message)
}

/// Runs the order in a task of its own, so that it goes on when the caller's connection is lost.
fn start_run(dispatch: &SharedDispatch, run: RunId, request: ExecuteRequest) -> Running {
    let (ended, finished) = bounded::<()>(1);
    let running = Running {
        finished,
        not_run: Arc::default(),
    };
    dispatch.orders.running().insert(run.serial(), running.clone());
    let not_run = Arc::clone(&running.not_run);
    let dispatch = Arc::clone(dispatch);
    task::spawn(async move {
        let sink = CollectSink::default();
        let result = dispatch.run_request(&request, &sink).await;
        if let Err(failure) = record_end(&dispatch, run, result.map(|()| sink)) {
            *not_run.lock().unwrap_or_else(PoisonError::into_inner) = Some(failure);
        }
        dispatch.orders.running().swap_remove(&run.serial());
        ended.close();
    });
    running
}

/// Records the outcome in the table; gives the failure back when the order was not run.
fn record_end(dispatch: &Dispatch, run: RunId, result: Result<CollectSink, Failure>) -> Result<(), Failure> {
    let now = dispatch.node.now();
    let mut table = dispatch.orders.table();
    // Only the run's own task reports about it, so the run is never stale here.
    match result {
        Ok(sink) => {
            let _ = table.complete(run, Arc::new(stored_answer(sink)), now);
            Ok(())
        }
        Err(failure) => {
            if failure.code.execution() != Execution::NotRun {
                let _ = table.mark_written(run);
            }
            match table.fail(run, now) {
                Ok(FailOutcome::NotRun) => Err(failure),
                _ => Ok(()),
            }
        }
    }
}

fn stored_answer(sink: CollectSink) -> Answer {
    let collected = sink.into_answer();
    let headers = collected
        .headers
        .into_iter()
        .map(|line| (line.name, line.value))
        .collect();
    Answer {
        status: collected.status,
        headers,
        body: collected.body,
    }
}

/// Removes expired tickets until the process ends.
pub(crate) async fn expire_tickets(dispatch: SharedDispatch) {
    loop {
        task::sleep(EXPIRE_INTERVAL_MS.as_std()).await;
        let now = dispatch.node.now();
        dispatch.orders.table().expire(now);
    }
}

/// The replies that carry a whole answer.
pub(crate) fn answer_replies(answer: &Answer) -> Vec<PeerReply> {
    let line = |(name, value): &(String, String)| HeaderLine {
        name: name.clone(),
        value: value.clone(),
    };
    let head = PeerReply::Head {
        status: answer.status,
        headers: answer.headers.iter().map(line).collect(),
    };
    vec![
        head,
        PeerReply::Chunk(answer.body.clone().into()),
        PeerReply::Done,
    ]
}
