//! Copies of a step's state at a second dispatch daemon, in another zone where there is one.

use std::sync::{Arc, PoisonError};

use futures::future::join_all;
use jm_config::Role;
use jm_link::{PeerReply, PeerRequest};
use jm_node::{decode, encode};
use jm_step::{CopyMessage, CopyReceipt};
use jm_types::{DurationMs, Incarnation, LogEvent, MemberId, ResultCode};
use serde::{Deserialize, Serialize};

use super::owner::OwnedStep;
use crate::call::SharedDispatch;

/// Time after which a copy message is given up; it is sent again by the next review.
const COPY_TIMEOUT_MS: DurationMs = DurationMs::new(1_000);

/// A copy message with the daemon that sends it.
#[derive(Serialize, Deserialize)]
pub(crate) struct OwnerMessage {
    pub(crate) owner: MemberId,
    /// The owner's run, because a restarted daemon has lost its steps.
    pub(crate) incarnation: Incarnation,
    pub(crate) message: CopyMessage,
}

/// Sends everything that the copy holder has not confirmed.
pub(crate) async fn send_copies(dispatch: &SharedDispatch, step: &Arc<OwnedStep>) {
    let Some(holder) = choose_holder(dispatch, step) else {
        return;
    };
    let pending = step.assembly().pending_copies();
    let sent = pending
        .into_iter()
        .map(|message| send_copy(dispatch, step, &holder, message));
    join_all(sent).await;
}

/// Keeps the holder while it lives; otherwise takes the next dispatch daemon by rendezvous order, other zones first.
fn choose_holder(dispatch: &SharedDispatch, step: &OwnedStep) -> Option<MemberId> {
    let node = &dispatch.node;
    let now = node.now();
    let own = node.peers.own_record();
    let others: Vec<_> = node
        .step_candidates(&step.key.step)
        .into_iter()
        .filter(|id| *id != own.id)
        .filter_map(|id| node.peers.get(&id, now))
        .filter(|peer| peer.live && !peer.record.leaving && peer.record.has_role(Role::Dispatch))
        .collect();
    let mut holder = step.copy_holder.lock().unwrap_or_else(PoisonError::into_inner);
    if holder
        .as_ref()
        .is_some_and(|id| others.iter().any(|peer| peer.record.id == *id))
    {
        return holder.clone();
    }
    let other_zone = others.iter().find(|peer| peer.record.zone != own.zone);
    let next = other_zone.or(others.first()).map(|peer| peer.record.id.clone());
    // A daemon that is cut off, or was frozen, sees no other one either; only a fresh view tells that there is none. Until
    // then the holder stays: it may have taken over, and it is the one that says so.
    if next.is_none() && !node.is_fresh() {
        return holder.clone();
    }
    if next.is_none() && !step.assembly().status().degraded {
        LogEvent::BindingDegraded.write(format_args!(
            "step {}: no other dispatch daemon is live",
            step.key.step
        ));
        step.assembly().on_copy_holder_lost();
        step.changed();
    } else if holder.is_some() || (next.is_some() && step.assembly().status().degraded) {
        step.assembly().on_copy_holder_changed();
    }
    holder.clone_from(&next);
    next
}

async fn send_copy(
    dispatch: &SharedDispatch,
    step: &Arc<OwnedStep>,
    holder: &MemberId,
    message: CopyMessage,
) {
    let owner = dispatch.node.peers.own_id().clone();
    let incarnation = dispatch.node.incarnation;
    let request = PeerRequest::HoldBinding {
        organisation: step.key.organisation.clone(),
        step: step.key.step.clone(),
        message: encode(&OwnerMessage {
            owner,
            incarnation,
            message,
        })
        .into(),
    };
    let Ok(mut replies) = dispatch.node.call_member(holder, request).await else {
        return;
    };
    match replies.next_within(COPY_TIMEOUT_MS).await {
        Ok(Some(PeerReply::Message(receipt))) => {
            if let Ok(receipt) = decode::<CopyReceipt>(&receipt) {
                step.assembly().on_copy_receipt(receipt);
                step.changed();
            }
        }
        Ok(Some(PeerReply::Refused {
            code: ResultCode::StepConflict,
            message,
        })) => {
            LogEvent::StepTakenOver.write(format_args!("step {}: {message}", step.key.step));
            step.end();
        }
        _ => {}
    }
}
