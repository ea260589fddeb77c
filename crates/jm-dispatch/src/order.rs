//! Orders: requests that run at most once. A run continues when the caller's connection is lost.

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

/// The tickets that this process has issued and the orders that are running.
pub(crate) struct Orders {
    table: Mutex<TicketTable>,
    running: Mutex<IndexMap<u64, Running>>,
}

/// A running order. Every caller of the order waits for its end.
#[derive(Clone)]
struct Running {
    finished: Receiver<()>,
    /// The reason when the order was not run. The table does not record it, because the ticket may be used again.
    not_run: Arc<Mutex<Option<Failure>>>,
}

impl Running {
    /// Waits until the run ends; an error means that the order was not run.
    async fn wait(&self) -> Result<(), Failure> {
        // Nothing is sent on the channel; closing it signals the end.
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

/// Issues a signed ticket.
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
        Ok(ticket) => PeerReply::Ticket(dispatch.node.ticket_secret.sign(ticket).to_string()),
        Err(error) => PeerReply::refused(error.code(), error.to_string()),
    }
}

/// Runs the order of a ticket or replays its recorded outcome, and returns the complete response.
pub(crate) async fn run_order(
    dispatch: &SharedDispatch,
    request: ExecuteRequest,
    ticket: &str,
) -> Result<Arc<Answer>, Failure> {
    let signed: SignedTicket = ticket
        .parse()
        .map_err(|error: jm_order::TicketError| Failure::new(error.code(), error.to_string()))?;
    let ticket = signed.verify(&dispatch.node.ticket_secret);
    let ticket = ticket.map_err(|error| Failure::new(error.code(), error.to_string()))?;
    let ticket_request = TicketRequest {
        organisation: request
            .organisation
            .clone()
            .unwrap_or_else(|| dispatch.open_organisation.clone()),
        service: request.service.clone(),
        digest: RequestDigest::of(&request.head.method, &request.head.path, &request.body),
    };
    loop {
        let decision = dispatch
            .orders
            .table()
            .begin(ticket, &ticket_request, dispatch.node.now());
        match decision {
            BeginDecision::Run(run) => start_run(dispatch, run, request.clone()).wait().await?,
            BeginDecision::Wait(run) => {
                let running = dispatch.orders.running().get(&run.serial()).cloned();
                if let Some(running) = running {
                    running.wait().await?;
                }
            }
            BeginDecision::Replay(Replay::Answer(answer)) => return Ok(answer),
            refused => return Err(refusal(&refused)),
        }
    }
}

fn refusal(decision: &BeginDecision) -> Failure {
    let code = decision.code().unwrap_or(ResultCode::Internal);
    let message = match decision {
        BeginDecision::Replay(Replay::AnswerNotStored) => {
            "the order ran; its response was too large to store"
        }
        BeginDecision::Unknown => "the order may have run and is not run again",
        BeginDecision::Expired => "the ticket has expired and its outcome is no longer stored",
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

/// Runs the order in a separate task, so that it continues when the caller's connection is lost.
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
        if let Err(failure) = record_outcome(&dispatch, run, result.map(|()| sink)) {
            *not_run.lock().unwrap_or_else(PoisonError::into_inner) = Some(failure);
        }
        dispatch.orders.running().swap_remove(&run.serial());
        ended.close();
    });
    running
}

/// Records the outcome in the table; returns the failure when the order was not run.
fn record_outcome(
    dispatch: &Dispatch,
    run: RunId,
    result: Result<CollectSink, Failure>,
) -> Result<(), Failure> {
    let now = dispatch.node.now();
    let mut table = dispatch.orders.table();
    // Only the task of the run records its outcome, so the run cannot be stale here.
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

/// Converts a complete response to replies.
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
