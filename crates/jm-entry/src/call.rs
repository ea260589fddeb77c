//! One call to a dispatch daemon, which executes a request.

use std::sync::Arc;

use jm_link::{HeaderLine, LinkError, PeerReply, ReplyStream};
use jm_node::{Node, RouteError};
use jm_types::{DurationMs, ResultCode, TargetId, Timestamp};

use crate::{keyed_requests::KeyWatch, refusal::Refusal};

/// Header in which a dispatch daemon reports the target.
pub(crate) const TARGET_HEADER: &str = "jm-target";

/// How long to wait for a reply after the deadline, so that the dispatch daemon's own report of the missed deadline
/// still arrives.
const DEADLINE_GRACE_MS: DurationMs = DurationMs::new(500);

/// Why a call did not return a complete answer.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The dispatch daemon refused the request or reported a failure. The code says whether the request ran.
    Refused(Refusal),
    /// The link to the dispatch daemon failed.
    Link {
        /// Whether the request may have reached the dispatch daemon.
        written: bool,
        /// The description of the link error.
        reason: String,
    },
    /// The deadline passed after the request was written.
    Timeout,
    /// The request was aborted because its key is no longer valid or can no longer be verified.
    Aborted(Refusal),
}

impl Failure {
    pub(crate) fn refused(code: ResultCode, message: impl Into<String>) -> Self {
        Self::Refused(Refusal::new(code, message))
    }

    /// Whether a retry on another target or dispatch daemon may succeed.
    pub(crate) fn is_repeatable(&self) -> bool {
        match self {
            Self::Link { .. } => true,
            Self::Timeout | Self::Aborted(_) => false,
            Self::Refused(refusal) => matches!(
                refusal.code,
                ResultCode::NoTarget
                    | ResultCode::NotFresh
                    | ResultCode::Stopping
                    | ResultCode::DispatchUnreachable
                    | ResultCode::OutcomeUnknown
                    | ResultCode::TargetFailed
                    | ResultCode::AnswerCut
                    | ResultCode::MalformedAnswer
            ),
        }
    }

    /// Whether a retry should exclude the dispatch daemon instead of a target.
    pub(crate) fn is_dispatcher_failure(&self) -> bool {
        match self {
            Self::Link { .. } => true,
            Self::Refused(refusal) => {
                matches!(
                    refusal.code,
                    ResultCode::NoTarget | ResultCode::NotFresh | ResultCode::Stopping
                )
            }
            Self::Timeout | Self::Aborted(_) => false,
        }
    }

    /// Converts the failure to the refusal that is returned to the caller.
    pub(crate) fn into_refusal(self) -> Refusal {
        match self {
            Self::Refused(refusal) | Self::Aborted(refusal) => refusal,
            Self::Link {
                written: true,
                reason,
            } => Refusal::new(ResultCode::OutcomeUnknown, reason),
            Self::Link {
                written: false,
                reason,
            } => Refusal::new(ResultCode::DispatchUnreachable, reason),
            Self::Timeout => Refusal::new(
                ResultCode::AnswerTimeout,
                "no answer within the service's timeout",
            ),
        }
    }
}

impl From<RouteError> for Failure {
    fn from(error: RouteError) -> Self {
        match error {
            RouteError::Link { source, .. } => source.into(),
            RouteError::NoDispatcher { .. } => Self::Refused(error.into()),
        }
    }
}

impl From<LinkError> for Failure {
    fn from(error: LinkError) -> Self {
        match error {
            LinkError::Timeout { .. } => Self::Timeout,
            LinkError::Connect { .. } | LinkError::Closed { .. } => Self::Link {
                written: error.request_written(),
                reason: error.to_string(),
            },
        }
    }
}

/// A part of a target's answer.
#[derive(Debug)]
pub(crate) enum Part {
    /// Status and headers.
    Head(AnswerHead),
    /// A piece of the body.
    Chunk(Vec<u8>),
    /// The body is complete.
    Done,
}

/// Status and headers of a target's answer.
#[derive(Debug, Clone)]
pub(crate) struct AnswerHead {
    pub(crate) status: u16,
    pub(crate) headers: Vec<HeaderLine>,
}

impl AnswerHead {
    /// The target that answered. `None` when the header is missing or invalid.
    pub(crate) fn target(&self) -> Option<TargetId> {
        let line = self.headers.iter().find(|line| line.name == TARGET_HEADER)?;
        line.value.parse().ok()
    }
}

/// A call in progress. Dropping it cancels the request.
pub(crate) struct Call {
    pub(crate) node: Arc<Node>,
    pub(crate) replies: ReplyStream,
    pub(crate) watch: Arc<KeyWatch>,
    pub(crate) deadline: Timestamp,
}

impl Call {
    /// Waits for the next part of the answer.
    pub(crate) async fn next(&mut self) -> Result<Part, Failure> {
        loop {
            let left = self.deadline.since(self.node.now());
            let limit = left.saturating_add(DEADLINE_GRACE_MS);
            let reply = self.watch.unless_aborted(self.replies.next_within(limit)).await;
            match reply.map_err(Failure::Aborted)?? {
                Some(PeerReply::Head { status, headers }) => {
                    return Ok(Part::Head(AnswerHead { status, headers }));
                }
                Some(PeerReply::Chunk(bytes)) => return Ok(Part::Chunk(bytes.into_vec())),
                Some(PeerReply::Done) => return Ok(Part::Done),
                Some(PeerReply::Refused { code, message }) => return Err(Failure::refused(code, message)),
                Some(PeerReply::Accepted { .. } | PeerReply::Message(_) | PeerReply::Ticket(_)) => {}
                None => {
                    let message = "the dispatch daemon closed the call before the end of the answer";
                    return Err(Failure::refused(ResultCode::OutcomeUnknown, message));
                }
            }
        }
    }
}
