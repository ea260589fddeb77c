//! One request of a caller over all its attempts.

use std::sync::Arc;

use jm_link::{ExecuteRequest, PeerRequest};
use jm_route::Class;
use jm_types::{Execution as Run, LogEvent, MemberId, ResultCode, TargetId, Timestamp};

use crate::{
    Entry,
    access::Admission,
    call::{AnswerHead, Call, Failure, Part},
    open_streams::StreamWatch,
    refusal::Refusal,
};

/// Most times that a request is sent. The retry budget bounds the sum over all requests, this bounds a single one.
const MAX_ATTEMPTS: usize = 3;

/// A request of a caller with what its earlier attempts showed.
pub(crate) struct Execution {
    pub(crate) entry: Arc<Entry>,
    pub(crate) request: ExecuteRequest,
    pub(crate) prefix_hash: Option<u64>,
    watch: Arc<StreamWatch>,
    deadline: Timestamp,
    avoid: Vec<MemberId>,
    attempts: usize,
    member: Option<MemberId>,
    /// The target of the current attempt, once it is known.
    target: Option<TargetId>,
    /// How an earlier attempt failed that may have run.
    earlier: Option<Refusal>,
}

/// An answer that has begun.
pub(crate) struct Answer {
    pub(crate) call: Call,
    pub(crate) head: AnswerHead,
    /// The first piece of the body; none when the body is empty.
    pub(crate) first: Option<Vec<u8>>,
}

impl Execution {
    pub(crate) fn new(entry: &Arc<Entry>, admission: &Admission, request: ExecuteRequest) -> Self {
        let deadline = entry.node.now().after(admission.service.timeout_ms);
        Self {
            entry: Arc::clone(entry),
            request,
            prefix_hash: None,
            watch: Arc::new(entry.streams.watch(admission.caller.as_ref())),
            deadline,
            avoid: Vec::new(),
            attempts: 0,
            member: None,
            target: None,
            earlier: None,
        }
    }

    /// The watch over the caller's key.
    pub(crate) fn watch(&self) -> Arc<StreamWatch> {
        Arc::clone(&self.watch)
    }

    /// Sends the request to a dispatch daemon that suits it.
    pub(crate) async fn start(&mut self) -> Result<Call, Failure> {
        let choose = |avoid: &[MemberId]| {
            let service = &self.request.service;
            self.entry
                .node
                .choose_dispatcher(service, Class::Live, self.prefix_hash, avoid)
        };
        // A daemon whose link broke may still be there; it is asked again when there is no other.
        let member = choose(&self.avoid).or_else(|| choose(&[]));
        let Some(member) = member else {
            // Another attempt would find the same.
            self.attempts = MAX_ATTEMPTS;
            let message = "no live target serves the service";
            return Err(Failure::refused(ResultCode::NoTarget, message));
        };
        self.start_at(&member).await
    }

    /// Sends the request to one dispatch daemon.
    pub(crate) async fn start_at(&mut self, member: &MemberId) -> Result<Call, Failure> {
        self.attempts += 1;
        self.member = Some(member.clone());
        self.target = None;
        let node = &self.entry.node;
        let mut request = self.request.clone();
        request.deadline_ms = self.deadline.since(node.now());
        let request = PeerRequest::Execute(Box::new(request));
        let called = self.watch.unless_cut(node.call_member(member, request)).await;
        Ok(Call {
            replies: called.map_err(Failure::Cut)??,
            node: Arc::clone(node),
            watch: Arc::clone(&self.watch),
            deadline: self.deadline,
        })
    }

    /// Notes which target answers.
    pub(crate) fn note_target(&mut self, head: &AnswerHead) {
        self.target = head.target();
    }

    /// Waits until the first piece of the body or its end is there, so that a failure before it can still be answered
    /// with another attempt or a plain refusal.
    pub(crate) async fn first_part(&mut self, mut call: Call) -> Result<Answer, Failure> {
        let Part::Head(head) = call.next().await? else {
            let message = "the dispatch daemon sent a body without a head";
            return Err(Failure::refused(ResultCode::MalformedAnswer, message));
        };
        self.note_target(&head);
        let first = match call.next().await? {
            Part::Chunk(bytes) => Some(bytes),
            Part::Done => None,
            Part::Head(_) => {
                let message = "the dispatch daemon sent two heads";
                return Err(Failure::refused(ResultCode::MalformedAnswer, message));
            }
        };
        Ok(Answer { call, head, first })
    }

    /// Prepares another attempt after a failure; gives the refusal for the caller when there is none.
    pub(crate) fn retry_after(&mut self, failure: Failure) -> Result<(), Refusal> {
        let node = &self.entry.node;
        let is_due = self.attempts < MAX_ATTEMPTS && node.now() < self.deadline;
        let may_retry = failure.is_repeatable() && is_due && node.router.withdraw_retry();
        self.avoid_after(&failure);
        let refusal = failure.into_refusal();
        if !may_retry {
            return Err(self.settle(refusal));
        }
        let node = &self.entry.node;
        node.metrics.retries.with_label_values(&["entry"]).inc();
        LogEvent::RequestRetried.write(format_args!("request {}: {}", self.request.request, refusal.code));
        if refusal.code.execution() != Run::NotRun {
            self.earlier = Some(refusal);
        }
        Ok(())
    }

    fn avoid_after(&mut self, failure: &Failure) {
        if failure.is_of_daemon() {
            self.avoid.extend(self.member.take());
        }
        self.request.avoid.extend(self.target.take());
    }

    /// The refusal that is true for all attempts together: when an earlier attempt may have run, the last one must not
    /// say "not run".
    fn settle(&self, refusal: Refusal) -> Refusal {
        match &self.earlier {
            Some(earlier) if refusal.code.execution() == Run::NotRun => earlier.clone(),
            _ => refusal,
        }
    }
}
