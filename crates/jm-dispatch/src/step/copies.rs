//! Replicates the state of a step to a second dispatch daemon, in another zone if possible.

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

/// Timeout for a copy message; the next review sends the message again.
const COPY_TIMEOUT_MS: DurationMs = DurationMs::new(1_000);

/// A copy message with the identity of its sender.
#[derive(Serialize, Deserialize)]
pub(crate) struct OwnerMessage {
    pub(crate) owner: MemberId,
    /// Incarnation of the owner, because a restarted daemon has lost its steps.
    pub(crate) incarnation: Incarnation,
    pub(crate) message: CopyMessage,
}

/// Sends all copy messages that the copy holder has not confirmed.
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

/// Keeps the current copy holder while it is live. Otherwise chooses the next dispatch daemon in rendezvous order and
/// prefers other zones.
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
    // A partitioned or previously suspended daemon observes no other daemon either, so only a fresh view proves that
    // there is none. Until then the holder is unchanged: it may have taken over the step, and it would report that.
    if next.is_none() && !node.is_fresh() {
        return holder.clone();
    }
    if next.is_none() && !step.assembly().status().degraded {
        LogEvent::BindingDegraded.write(format_args!(
            "step {}: no other live dispatch daemon can hold a copy",
            step.key.step
        ));
        step.assembly().on_copy_holder_lost();
        step.notify();
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
    let request = PeerRequest::StoreStepCopy {
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
                step.notify();
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
