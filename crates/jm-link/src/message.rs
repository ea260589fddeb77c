//! Requests and replies between daemons. Content that belongs to a single crate is carried as bytes that only that
//! crate decodes.

use jm_types::{
    DurationMs, Incarnation, KeyId, MemberId, OrganisationId, ResultCode, Revision, Sequence, ServiceId,
    StepId, TargetId, WeightVersion,
};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Priority class of a request, depending on whether a live client or a trainer waits for the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrafficClass {
    /// A request of a live client. Live requests have priority over training requests.
    Live,
    /// A draft that belongs to a training step.
    Training,
}

/// One HTTP header that is forwarded between caller and target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderLine {
    /// Header name in lower case.
    pub name: String,
    /// Header value as received.
    pub value: String,
}

/// The part of a request head that is forwarded to the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHead {
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query as received.
    pub path: String,
    /// The headers that are on the allow-list.
    pub headers: Vec<HeaderLine>,
}

/// One request for a target of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecuteRequest {
    /// Request id assigned by the entry daemon. It is used in logs and for cancelling the request on the target.
    pub request: String,
    /// The organisation that owns the API key. `None` on a public route.
    pub organisation: Option<OrganisationId>,
    /// Id of the API key. Withdrawing the key cancels the request.
    pub key: Option<KeyId>,
    /// Id of the service that the caller addressed.
    pub service: ServiceId,
    /// Priority class of the request.
    pub class: TrafficClass,
    /// Time left until the deadline of the caller. It is relative because the clocks of the hosts differ.
    pub deadline_ms: DurationMs,
    /// Whether the request may be retried on another target after bytes of it have been sent to a target.
    pub repeatable: bool,
    /// Ticket of a non-idempotent request. `None` for an idempotent request.
    pub ticket: Option<String>,
    /// Targets to exclude, because earlier attempts of this request failed on them.
    pub avoid: Vec<TargetId>,
    /// Number of tokens that the caller has already received. Generation resumes after them.
    pub resume_tokens: u64,
    /// Minimum weight version. Engines that report an older version are not selected. `None` allows every version.
    pub minimum_version: Option<WeightVersion>,
    /// Head of the request; the body is in `body`.
    pub head: RequestHead,
    /// The complete request body.
    pub body: ByteBuf,
}

/// Operation of a trainer on a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StepOperation {
    /// Creates the step. Succeeds if the step already exists with the same specification.
    Create {
        /// The specification as JSON.
        spec: ByteBuf,
    },
    /// Streams samples in the order of delivery.
    Read {
        /// The last sequence number that the trainer has received.
        after: Sequence,
        /// The term of the last reply that the trainer received, if any.
        term: Option<String>,
        /// The weight version of the trainer. If it is newer than the step's named version, the read also names it, as
        /// [`StepOperation::NameVersion`] does.
        #[serde(default)]
        version: Option<WeightVersion>,
    },
    /// Names a newer weight version, against which staleness is measured from then on.
    NameVersion {
        /// The new weight version.
        version: WeightVersion,
        /// The trainer has received every sample up to this sequence number.
        received: Sequence,
    },
    /// Acknowledges received samples.
    Acknowledge {
        /// The last sequence number that is acknowledged.
        through: Sequence,
    },
    /// Ends the step and cancels its drafts.
    Delete,
}

/// A request from one daemon to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Identifies the calling daemon and exchanges configuration revisions.
    Hello {
        /// Id of the calling daemon, which is stable across restarts.
        member: MemberId,
        /// Incarnation of the calling daemon. It changes with each start of the process.
        incarnation: Incarnation,
        /// Newest configuration revision that the calling daemon has applied.
        revision: Revision,
    },
    /// Runs one request on a target.
    Execute(Box<ExecuteRequest>),
    /// Issues a ticket for a non-idempotent request.
    IssueTicket {
        /// The organisation that may use the ticket. `None` on a public route.
        organisation: Option<OrganisationId>,
        /// The service for which the ticket is valid.
        service: ServiceId,
    },
    /// Performs an operation on a training step.
    Step {
        /// The organisation that owns the step.
        organisation: OrganisationId,
        /// Id of the step that the operation applies to.
        step: StepId,
        /// What to do with the step.
        operation: StepOperation,
    },
    /// Replicates step state from the owner of the step to this daemon. The message is defined by `jm-step`.
    #[serde(rename = "HoldBinding")]
    StoreStepCopy {
        /// The organisation that owns the step.
        organisation: OrganisationId,
        /// Id of the step whose state is replicated.
        step: StepId,
        /// Message in the encoding of `jm-step`.
        message: ByteBuf,
    },
    /// Reads configuration changes on behalf of a daemon that cannot reach the store.
    ReadConfig {
        /// The newest revision that the caller has.
        after: Revision,
    },
    /// Reads the status of the daemon as JSON.
    Status,
}

/// A reply of a call. A call has one or more replies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The call was accepted. Reports the state of the replying daemon.
    Accepted {
        /// Newest configuration revision that the replying daemon has applied.
        revision: Revision,
    },
    /// Text of the signed ticket.
    Ticket(String),
    /// Head of a response of the target.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers that are forwarded to the caller.
        headers: Vec<HeaderLine>,
    },
    /// A part of a response body.
    Chunk(ByteBuf),
    /// The response body is complete.
    Done,
    /// A message that is decoded by the crate that handles the request.
    Message(ByteBuf),
    /// The request was refused or failed. [`ResultCode::execution`] states whether it ran.
    Refused {
        /// Why the request was refused or failed, as a code.
        code: ResultCode,
        /// Description of the error for the caller.
        message: String,
    },
}

impl PeerReply {
    /// Creates a [`PeerReply::Refused`].
    pub fn refused(code: ResultCode, message: impl Into<String>) -> Self {
        Self::Refused {
            code,
            message: message.into(),
        }
    }

    /// Number of bytes that count towards the flow-control window of a call.
    pub(crate) fn window_bytes(&self) -> usize {
        match self {
            Self::Chunk(bytes) | Self::Message(bytes) => bytes.len(),
            _ => 0,
        }
    }
}
