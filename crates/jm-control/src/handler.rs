//! Handling of calls from other daemons.

use std::sync::Arc;

use async_trait::async_trait;
use jm_link::{LinkHandler, PeerReply, PeerRequest, ReplySender};
use jm_node::{OwnedLoad, answer_hello, answer_read_config};
use jm_types::ResultCode;
use serde::Serialize;

use crate::Control;

/// Answers calls with the state of a control daemon. A control daemon owns no targets.
pub(crate) struct ControlHandler {
    control: Arc<Control>,
}

impl ControlHandler {
    pub(crate) fn new(control: Arc<Control>) -> Self {
        Self { control }
    }

    fn answer(&self, request: PeerRequest) -> Vec<PeerReply> {
        let node = self.control.node();
        match request {
            PeerRequest::Hello { member, revision, .. } => {
                answer_hello(node, &member, revision, OwnedLoad::default()).into()
            }
            PeerRequest::ReadConfig { after } => answer_read_config(node, after),
            PeerRequest::Status => vec![PeerReply::Message(self.status().into())],
            _ => vec![PeerReply::refused(
                ResultCode::NoTarget,
                "a control daemon owns no targets",
            )],
        }
    }

    fn status(&self) -> Vec<u8> {
        let status = StatusPage {
            member: self.control.node().peers.own_id().to_string(),
            leases: self.control.held_leases(),
        };
        serde_json::to_vec(&status).expect("the status has only text")
    }
}

#[derive(Serialize)]
struct StatusPage {
    member: String,
    leases: Vec<String>,
}

#[async_trait]
impl LinkHandler for ControlHandler {
    async fn call(&self, request: PeerRequest, replies: ReplySender) {
        for reply in self.answer(request) {
            if replies.send(reply).await.is_err() {
                return;
            }
        }
    }
}
