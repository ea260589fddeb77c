//! Handler of calls from other daemons.

use std::sync::Arc;

use async_trait::async_trait;
use jm_link::{ExecuteRequest, LinkHandler, PeerReply, PeerRequest, ReplySender};
use jm_node::{OwnedLoad, answer_hello, answer_read_config};
use serde::Serialize;

use crate::{
    Dispatch,
    order::{answer_replies, issue_ticket, run_order},
    sink::{Failure, LinkSink},
    step::{StepKey, hold_copy, serve_step},
};

/// Serves calls from other daemons with the state of one dispatch daemon.
pub(crate) struct DispatchHandler {
    dispatch: Arc<Dispatch>,
}

impl DispatchHandler {
    pub(crate) fn new(dispatch: Arc<Dispatch>) -> Self {
        Self { dispatch }
    }

    async fn answer(&self, request: PeerRequest, replies: &ReplySender) -> Result<(), Failure> {
        let dispatch = &self.dispatch;
        match request {
            PeerRequest::Hello { member, revision, .. } => {
                let owned: OwnedLoad = dispatch.owned_load();
                send_all(replies, answer_hello(&dispatch.node, &member, revision, owned)).await
            }
            PeerRequest::Execute(request) => self.execute(*request, replies).await,
            PeerRequest::IssueTicket {
                organisation,
                service,
            } => send_all(replies, [issue_ticket(dispatch, organisation, service)]).await,
            PeerRequest::Step {
                organisation,
                step,
                operation,
            } => serve_step(dispatch, StepKey { organisation, step }, operation, replies).await,
            PeerRequest::StoreStepCopy {
                organisation,
                step,
                message,
            } => {
                send_all(
                    replies,
                    [hold_copy(dispatch, StepKey { organisation, step }, &message)],
                )
                .await
            }
            PeerRequest::ReadConfig { after } => {
                send_all(replies, answer_read_config(&dispatch.node, after)).await
            }
            PeerRequest::Status => send_all(replies, [PeerReply::Message(self.status().into())]).await,
        }
    }

    async fn execute(&self, request: ExecuteRequest, replies: &ReplySender) -> Result<(), Failure> {
        let _open = self.dispatch.open_calls.enter();
        if let Some(ticket) = request.ticket.clone() {
            let answer = run_order(&self.dispatch, request, &ticket).await?;
            return send_all(replies, answer_replies(&answer)).await;
        }
        self.dispatch.run_request(&request, &LinkSink(replies)).await?;
        send_all(replies, [PeerReply::Done]).await
    }

    fn status(&self) -> Vec<u8> {
        let scheduler = self.dispatch.queue.scheduler();
        let targets = scheduler.targets().into_iter().map(|target| TargetLine {
            id: target.id.to_string(),
            health: format!("{:?}", target.health).to_lowercase(),
            window: target.window,
            in_flight: target.in_flight,
        });
        let status = StatusPage {
            member: self.dispatch.node.peers.own_id().to_string(),
            targets: targets.collect(),
            services: scheduler.summary(),
            steps: self.dispatch.steps.running(),
            step_copies: self.dispatch.steps.copies().len(),
        };
        serde_json::to_vec(&status).expect("the status has only text and numbers")
    }
}

#[derive(Serialize)]
struct StatusPage {
    member: String,
    targets: Vec<TargetLine>,
    services: Vec<jm_route::ServiceSummary>,
    steps: usize,
    step_copies: usize,
}

#[derive(Serialize)]
struct TargetLine {
    id: String,
    health: String,
    window: u64,
    in_flight: u64,
}

async fn send_all(
    replies: &ReplySender,
    messages: impl IntoIterator<Item = PeerReply>,
) -> Result<(), Failure> {
    for message in messages {
        replies
            .send(message)
            .await
            .map_err(|_| Failure::caller_disconnected())?;
    }
    Ok(())
}

#[async_trait]
impl LinkHandler for DispatchHandler {
    async fn call(&self, request: PeerRequest, replies: ReplySender) {
        if let Err(failure) = self.answer(request, &replies).await {
            self.dispatch.node.metrics.count_refusal(failure.code);
            // A disconnected caller needs no refusal.
            let _ = replies
                .send(PeerReply::refused(failure.code, failure.message))
                .await;
        }
    }
}
