//! Serves requests of trainers and copy messages of other owners.

use std::sync::{Arc, PoisonError};

use async_std::task;
use futures::{FutureExt, select};
use jm_link::{HeaderLine, PeerReply, ReplySender, StepOperation};
use jm_node::{decode, encode};
use jm_step::{CopyMessage, OwnershipDecision, Sample, StepAssembly, StepCopy, StepOptions, StepSpec, Term};
use jm_types::{DurationMs, LogEvent, ResultCode, Sequence, WeightVersion};

use super::{
    copies::OwnerMessage,
    owner::OwnedStep,
    registry::{HeldCopy, StepKey},
};
use crate::{call::SharedDispatch, sink::Failure};

/// Maximum number of samples in one chunk.
const READ_LIMIT: usize = 64;

/// Maximum time that a read waits for a notification before it checks the step again.
const READ_INTERVAL_MS: DurationMs = DurationMs::new(1_000);

/// Serves one request of a trainer.
pub(crate) async fn serve_step(
    dispatch: &SharedDispatch,
    key: StepKey,
    operation: StepOperation,
    replies: &ReplySender,
) -> Result<(), Failure> {
    let step = match &operation {
        StepOperation::Create { spec } => create(dispatch, key, spec)?,
        _ => find_or_take_over(dispatch, &key)?,
    };
    step.record_access(dispatch.node.now());
    match operation {
        StepOperation::Create { .. } => send(replies, accepted(dispatch)).await,
        StepOperation::Read { after, term, version } => {
            check_term(&step, term)?;
            if let Some(version) = version {
                name_version(dispatch, &step, version, after);
            }
            read(dispatch, &step, after, replies).await
        }
        StepOperation::Acknowledge { through } => {
            let effects = step.assembly().acknowledge(through);
            let effects = effects.map_err(|error| Failure::new(error.code(), error.to_string()))?;
            step.apply_effects(dispatch, effects);
            step.notify();
            send(replies, accepted(dispatch)).await
        }
        StepOperation::NameVersion { version, received } => {
            name_version(dispatch, &step, version, received);
            send(replies, accepted(dispatch)).await
        }
        StepOperation::Delete => {
            step.end();
            dispatch.steps.owned().swap_remove(&step.key);
            send(replies, accepted(dispatch)).await
        }
    }
}

fn name_version(
    dispatch: &SharedDispatch,
    step: &Arc<OwnedStep>,
    version: WeightVersion,
    received: Sequence,
) {
    let effects = step.assembly().on_version_named(version, received);
    step.apply_effects(dispatch, effects);
    step.notify();
}

fn accepted(dispatch: &SharedDispatch) -> PeerReply {
    PeerReply::Accepted {
        revision: dispatch.node.config.revision(),
    }
}

async fn send(replies: &ReplySender, reply: PeerReply) -> Result<(), Failure> {
    replies
        .send(reply)
        .await
        .map_err(|_| Failure::caller_disconnected())
}

/// Options for steps that this process owns. The owner number distinguishes the terms of different processes.
fn options(dispatch: &SharedDispatch) -> StepOptions {
    let owner = format!("{}-{}", dispatch.node.peers.own_id(), dispatch.node.incarnation);
    StepOptions {
        owner: jm_route::stable_hash(owner.as_bytes()),
        ..StepOptions::default()
    }
}

fn create(dispatch: &SharedDispatch, key: StepKey, spec: &[u8]) -> Result<Arc<OwnedStep>, Failure> {
    let spec: StepSpec = serde_json::from_slice(spec).map_err(|error| {
        Failure::new(
            ResultCode::MalformedRequest,
            format!("invalid step specification: {error}"),
        )
    })?;
    if let Ok(step) = find_or_take_over(dispatch, &key) {
        let same = StepSpec {
            held: Vec::new(),
            ..step.assembly().spec().clone()
        } == StepSpec {
            held: Vec::new(),
            ..spec
        };
        if same {
            return Ok(step);
        }
        let message = format!("step {} exists with another specification", key.step);
        return Err(Failure::new(ResultCode::StepConflict, message));
    }
    let assembly = StepAssembly::new(spec, options(dispatch));
    let assembly = assembly.map_err(|error| Failure::new(error.code(), error.to_string()))?;
    LogEvent::StepCreated.write(format_args!("step {} of {}", key.step, key.organisation));
    Ok(start_step(dispatch, key, assembly))
}

fn start_step(dispatch: &SharedDispatch, key: StepKey, assembly: StepAssembly) -> Arc<OwnedStep> {
    let step = OwnedStep::new(key.clone(), assembly, dispatch.node.now());
    dispatch.steps.copies().swap_remove(&key);
    dispatch.steps.owned().insert(key, Arc::clone(&step));
    task::spawn(Arc::clone(&step).run(Arc::clone(dispatch)));
    step
}

/// Returns the step if this daemon owns it, or takes it over when its owner is leaving or no longer live.
fn find_or_take_over(dispatch: &SharedDispatch, key: &StepKey) -> Result<Arc<OwnedStep>, Failure> {
    if let Some(step) = dispatch.steps.get(key).filter(|step| !step.is_ended()) {
        return match dispatch.node.stop.is_leaving() && has_copy_holder(&step) {
            true => Err(step_moving(key, "its owner is stopping")),
            false => Ok(step),
        };
    }
    let copy = take_over_copy(dispatch, key)?;
    let assembly = StepAssembly::restore(copy, options(dispatch)).map_err(|_| unknown_step(key))?;
    LogEvent::StepTakenOver.write(format_args!(
        "step {}: taken over because its owner is leaving or no longer live",
        key.step
    ));
    Ok(start_step(dispatch, key.clone(), assembly))
}

/// Removes the copy of a step from the registry for a takeover. While the owner may still be live, the error asks the
/// caller to retry. The error for an unknown step would make the trainer create the step again.
fn take_over_copy(dispatch: &SharedDispatch, key: &StepKey) -> Result<StepCopy, Failure> {
    let mut copies = dispatch.steps.copies();
    let held = copies.get(key).ok_or_else(|| unknown_step(key))?;
    let owner = dispatch.node.peers.get(&held.owner, dispatch.node.now());
    let live_owner = owner.filter(|peer| peer.live && peer.record.incarnation == held.incarnation);
    match live_owner {
        Some(peer) if !peer.record.leaving => return Err(step_moving(key, "its owner is presumed live")),
        Some(_) if !held.copy.is_complete() => return Err(step_moving(key, "its copy is not complete yet")),
        None if !held.copy.is_complete() => return Err(unknown_step(key)),
        _ => {}
    }
    let held = copies.swap_remove(key).ok_or_else(|| unknown_step(key))?;
    Ok(held.copy)
}

fn unknown_step(key: &StepKey) -> Failure {
    let message = format!("step {} is unknown to this daemon", key.step);
    Failure::new(ResultCode::UnknownStep, message)
}

fn step_moving(key: &StepKey, reason: &str) -> Failure {
    let message = format!("step {} is moving to another owner: {reason}", key.step);
    Failure::new(ResultCode::StepMoving, message)
}

/// Whether another daemon holds a copy of an owned step and can continue it.
fn has_copy_holder(step: &OwnedStep) -> bool {
    let holder = step.copy_holder.lock().unwrap_or_else(PoisonError::into_inner);
    holder.is_some()
}

async fn read(
    dispatch: &SharedDispatch,
    step: &Arc<OwnedStep>,
    mut after: Sequence,
    replies: &ReplySender,
) -> Result<(), Failure> {
    let changed = step.subscribe();
    let term = step.assembly().term().to_string();
    let header = HeaderLine {
        name: "jm-step-term".to_owned(),
        value: term,
    };
    send(
        replies,
        PeerReply::Head {
            status: 200,
            headers: vec![header],
        },
    )
    .await?;
    loop {
        let (samples, finished) = next_samples(step, after);
        if let Some(last) = samples.last() {
            after = last.sequence;
            send(replies, PeerReply::Chunk(json_lines(&samples).into())).await?;
            continue;
        }
        // A read ends early when the daemon is stopping; the trainer continues at the next owner.
        if finished || dispatch.node.stop.is_leaving() {
            return send(replies, PeerReply::Done).await;
        }
        if step.is_ended() {
            return Err(Failure::new(
                ResultCode::UnknownStep,
                "the step was deleted or taken over by another daemon",
            ));
        }
        step.record_access(dispatch.node.now());
        select! {
            _ = changed.recv().fuse() => {}
            () = task::sleep(READ_INTERVAL_MS.as_std()).fuse() => {}
        }
    }
}

fn check_term(step: &OwnedStep, term: Option<String>) -> Result<(), Failure> {
    let Some(term) = term else { return Ok(()) };
    let parsed = term.parse::<Term>();
    let parsed = parsed.map_err(|error| Failure::new(ResultCode::MalformedRequest, error.to_string()))?;
    if step.assembly().descends_from(parsed) {
        return Ok(());
    }
    Err(Failure::new(
        ResultCode::UnknownStep,
        "the step's state does not include samples that were delivered before",
    ))
}

fn next_samples(step: &OwnedStep, after: Sequence) -> (Vec<Arc<Sample>>, bool) {
    let assembly = step.assembly();
    let samples = assembly.deliver(after, READ_LIMIT);
    let status = assembly.status();
    let produced = status.waiting == 0 && status.running == 0;
    // Samples that are bound but not yet copied are delivered later.
    let last = assembly
        .bindings()
        .iter()
        .map(|bound| bound.sequence)
        .max()
        .unwrap_or_default();
    (samples, produced && last <= after)
}

fn json_lines(samples: &[Arc<Sample>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for sample in samples {
        serde_json::to_writer(&mut bytes, sample.as_ref()).expect("a sample has only text and numbers");
        bytes.push(b'\n');
    }
    bytes
}

/// Stores a copy message from the owner of a step.
pub(crate) fn hold_copy(dispatch: &SharedDispatch, key: StepKey, message: &[u8]) -> PeerReply {
    let Ok(OwnerMessage {
        owner,
        incarnation,
        message,
    }) = decode::<OwnerMessage>(message)
    else {
        return PeerReply::refused(ResultCode::MalformedRequest, "invalid copy message");
    };
    let own = dispatch.steps.get(&key).filter(|step| !step.is_ended());
    if let Some(Err(refusal)) = own.map(|own| resolve_ownership(&own, &message)) {
        return refusal;
    }
    let now = dispatch.node.now();
    let mut copies = dispatch.steps.copies();
    let held = copies.entry(key).or_insert_with(|| HeldCopy {
        copy: StepCopy::default(),
        owner: owner.clone(),
        incarnation,
        last_access: now,
    });
    held.last_access = now;
    match held.copy.accept(&message) {
        Ok(receipt) => {
            held.owner = owner;
            held.incarnation = incarnation;
            PeerReply::Message(encode(&receipt).into())
        }
        Err(error) => PeerReply::refused(ResultCode::StepConflict, error.to_string()),
    }
}

/// Resolves a conflict between this daemon and the sender of a copy message when both own a step. `Ok` when this daemon
/// has ended its step.
fn resolve_ownership(own: &OwnedStep, message: &CopyMessage) -> Result<(), PeerReply> {
    let decision = own.assembly().decide_ownership(message);
    match decision {
        OwnershipDecision::Reject => Err(taken_over()),
        OwnershipDecision::Defer => Err(PeerReply::refused(
            ResultCode::StepMoving,
            "the first message of the term is missing",
        )),
        OwnershipDecision::Yield => {
            LogEvent::StepTakenOver.write(format_args!(
                "step {}: ended here, another owner continues",
                own.key.step
            ));
            own.end();
            Ok(())
        }
    }
}

fn taken_over() -> PeerReply {
    PeerReply::refused(
        ResultCode::StepConflict,
        "the step was taken over by its copy holder",
    )
}
