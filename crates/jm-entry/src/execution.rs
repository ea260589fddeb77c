//! Execution of one request across all its attempts.

use std::sync::Arc;

use jm_link::{ExecuteRequest, PeerRequest};
use jm_route::Class;
use jm_types::{Execution as RunStatus, LogEvent, MemberId, ResultCode, TargetId, Timestamp};

use crate::{
    Entry,
    access::Admission,
    call::{AnswerHead, Call, Failure, Part},
    keyed_requests::KeyWatch,
    refusal::Refusal,
};

/// Maximum number of attempts for one request. The retry budget limits the retries of all requests together.
const MAX_ATTEMPTS: usize = 3;

/// A request of a caller with the results of its earlier attempts.
pub(crate) struct Execution {
    pub(crate) entry: Arc<Entry>,
    pub(crate) request: ExecuteRequest,
    pub(crate) prefix_hash: Option<u64>,
    watch: Arc<KeyWatch>,
    deadline: Timestamp,
    avoided_members: Vec<MemberId>,
    attempts: usize,
    member: Option<MemberId>,
    /// The target of the current attempt. `None` until its head arrives.
    target: Option<TargetId>,
    /// The refusal of an earlier attempt that may have run.
    earlier_refusal: Option<Refusal>,
}

/// An answer whose head has arrived.
pub(crate) struct Answer {
    pub(crate) call: Call,
    pub(crate) head: AnswerHead,
    /// The first chunk of the body. `None` when the body is empty.
    pub(crate) first: Option<Vec<u8>>,
}

impl Execution {
    pub(crate) fn new(entry: &Arc<Entry>, admission: &Admission, request: ExecuteRequest) -> Self {
        let deadline = entry.node.now().after(admission.service.timeout_ms);
        Self {
            entry: Arc::clone(entry),
            request,
            prefix_hash: None,
            watch: Arc::new(entry.keyed_requests.register(admission.caller.as_ref())),
            deadline,
            avoided_members: Vec::new(),
            attempts: 0,
            member: None,
            target: None,
            earlier_refusal: None,
        }
    }

    /// The watch that aborts the request when the caller's key becomes invalid.
    pub(crate) fn watch(&self) -> Arc<KeyWatch> {
        Arc::clone(&self.watch)
    }

    /// Selects a dispatch daemon and sends the request to it.
    pub(crate) async fn start(&mut self) -> Result<Call, Failure> {
        let choose = |avoid: &[MemberId]| {
            let service = &self.request.service;
            self.entry
                .node
                .choose_dispatcher(service, Class::Live, self.prefix_hash, avoid)
        };
        // A daemon whose link broke may still be running, so it is used again when there is no other daemon.
        let member = choose(&self.avoided_members).or_else(|| choose(&[]));
        let Some(member) = member else {
            // Another attempt would have the same result.
            self.attempts = MAX_ATTEMPTS;
            let message = "no live target serves the service";
            return Err(Failure::refused(ResultCode::NoTarget, message));
        };
        self.start_at(&member).await
    }

    /// Sends the request to the dispatch daemon `member`.
    pub(crate) async fn start_at(&mut self, member: &MemberId) -> Result<Call, Failure> {
        self.attempts += 1;
        self.member = Some(member.clone());
        self.target = None;
        let node = &self.entry.node;
        let mut request = self.request.clone();
        request.deadline_ms = self.deadline.since(node.now());
        let request = PeerRequest::Execute(Box::new(request));
        let replies = self.watch.unless_aborted(node.call_member(member, request)).await;
        Ok(Call {
            replies: replies.map_err(Failure::Aborted)??,
            node: Arc::clone(node),
            watch: Arc::clone(&self.watch),
            deadline: self.deadline,
        })
    }

    /// Records the target that answers, so that a retry can exclude it.
    pub(crate) fn record_target(&mut self, head: &AnswerHead) {
        self.target = head.target();
    }

    /// Waits for the first chunk or the end of the body. A failure before that point can still be retried or reported
    /// as a refusal.
    pub(crate) async fn wait_for_first_chunk(&mut self, mut call: Call) -> Result<Answer, Failure> {
        let Part::Head(head) = call.next().await? else {
            let message = "the dispatch daemon sent a body without a response head";
            return Err(Failure::refused(ResultCode::MalformedAnswer, message));
        };
        self.record_target(&head);
        let first = match call.next().await? {
            Part::Chunk(bytes) => Some(bytes),
            Part::Done => None,
            Part::Head(_) => {
                let message = "the dispatch daemon sent two response heads";
                return Err(Failure::refused(ResultCode::MalformedAnswer, message));
            }
        };
        Ok(Answer { call, head, first })
    }

    /// Prepares a retry after a failure. Returns the refusal for the caller when the request must not be retried.
    pub(crate) fn retry_after(&mut self, failure: Failure) -> Result<(), Refusal> {
        let node = &self.entry.node;
        let may_attempt_again = self.attempts < MAX_ATTEMPTS && node.now() < self.deadline;
        let may_retry = failure.is_repeatable() && may_attempt_again && node.router.withdraw_retry();
        self.exclude_failed(&failure);
        let refusal = failure.into_refusal();
        if !may_retry {
            return Err(self.combine_refusals(refusal));
        }
        let node = &self.entry.node;
        node.metrics.retries.with_label_values(&["entry"]).inc();
        LogEvent::RequestRetried.write(format_args!("request {}: {}", self.request.request, refusal.code));
        if refusal.code.execution() != RunStatus::NotRun {
            self.earlier_refusal = Some(refusal);
        }
        Ok(())
    }

    fn exclude_failed(&mut self, failure: &Failure) {
        if failure.is_dispatcher_failure() {
            self.avoided_members.extend(self.member.take());
        }
        self.request.avoid.extend(self.target.take());
    }

    /// The refusal that holds for all attempts together. When an earlier attempt may have run, its refusal replaces a
    /// last refusal that says "not run".
    fn combine_refusals(&self, refusal: Refusal) -> Refusal {
        match &self.earlier_refusal {
            Some(earlier) if refusal.code.execution() == RunStatus::NotRun => earlier.clone(),
            _ => refusal,
        }
    }
}
