//! The messages of a link. Parts that belong to one duty travel as bytes that only that duty's crate decodes.

use jm_types::{
    DurationMs, Incarnation, KeyId, MemberId, OrganisationId, ResultCode, Revision, Sequence, ServiceId,
    StepId, TargetId, WeightVersion,
};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Whether a person or a trainer waits for the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrafficClass {
    /// A live caller; served first.
    Live,
    /// A draft of a training step.
    Training,
}

/// One header line that is forwarded to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderLine {
    /// Name in lower case.
    pub name: String,
    /// Value as received.
    pub value: String,
}

/// What a target sees of a request's head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHead {
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers of the allow-list.
    pub headers: Vec<HeaderLine>,
}

/// One request for a target of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecuteRequest {
    /// Identifier given by the entry daemon, for logs and for cancelling on the target.
    pub request: String,
    /// The organisation that the key belongs to; none on a route open to everyone.
    pub organisation: Option<OrganisationId>,
    /// Name of the key, so that its withdrawal ends the request here as well.
    pub key: Option<KeyId>,
    /// The service that is called.
    pub service: ServiceId,
    /// Priority class.
    pub class: TrafficClass,
    /// Time left until the caller gives up; relative, since clocks of hosts differ.
    pub deadline_ms: DurationMs,
    /// Whether the request may be sent to a second target after bytes went to a first one.
    pub repeatable: bool,
    /// Ticket of a non-idempotent request.
    pub ticket: Option<String>,
    /// Targets that failed this request before.
    pub avoid: Vec<TargetId>,
    /// Tokens that the caller already holds; generation goes on after them.
    pub resume_tokens: u64,
    /// Engines that report an older weight version get no part of this request.
    pub minimum_version: Option<WeightVersion>,
    /// Head for the target.
    pub head: RequestHead,
    /// Whole body for the target.
    pub body: ByteBuf,
}

/// What a trainer asks of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StepOperation {
    /// Creates the step, or finds it when it exists with the same specification.
    Create {
        /// The specification as JSON.
        spec: ByteBuf,
    },
    /// Streams samples in order of delivery.
    Read {
        /// The last sequence number that the trainer holds.
        after: Sequence,
        /// The term of the last reply that the trainer took.
        term: Option<String>,
        /// The trainer's weight version; one that is newer than the named one is named by the read.
        #[serde(default)]
        version: Option<WeightVersion>,
    },
    /// Names a newer weight version, from which staleness is counted from now on.
    NameVersion {
        /// The version.
        version: WeightVersion,
        /// The trainer holds every sample up to this one.
        received: Sequence,
    },
    /// Confirms that samples arrived.
    Acknowledge {
        /// The last sequence number that arrived.
        through: Sequence,
    },
    /// Ends the step and cancels its drafts.
    Delete,
}

/// A request from one daemon to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Names the caller and exchanges configuration revisions.
    Hello {
        /// The calling daemon.
        member: MemberId,
        /// The run of the calling daemon.
        incarnation: Incarnation,
        /// Newest configuration revision in force there.
        revision: Revision,
    },
    /// Runs one request on a target.
    Execute(Box<ExecuteRequest>),
    /// Issues a ticket for a non-idempotent request.
    IssueTicket {
        /// The organisation that may use the ticket.
        organisation: Option<OrganisationId>,
        /// The service that it is for.
        service: ServiceId,
    },
    /// Works on a training step.
    Step {
        /// The organisation that owns the step.
        organisation: OrganisationId,
        /// The step.
        step: StepId,
        /// What to do.
        operation: StepOperation,
    },
    /// Keeps a copy of step state for its owner; the body is a message of `jm-step`.
    #[serde(rename = "HoldBinding")]
    StoreStepCopy {
        /// The organisation that owns the step.
        organisation: OrganisationId,
        /// The step.
        step: StepId,
        /// Encoded message.
        message: ByteBuf,
    },
    /// Asks for configuration changes, for a daemon that cannot reach the store.
    ReadConfig {
        /// The newest revision that the caller holds.
        after: Revision,
    },
    /// Asks for a status page as JSON.
    Status,
}

/// A reply. A call is answered by one or more of these.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The call was taken; carries what the answering daemon knows of its own state.
    Accepted {
        /// Newest configuration revision in force there.
        revision: Revision,
    },
    /// A ticket.
    Ticket(String),
    /// Head of a target's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers for the caller.
        headers: Vec<HeaderLine>,
    },
    /// A piece of a body.
    Chunk(ByteBuf),
    /// The body is whole.
    Done,
    /// A message of one duty, decoded by its crate.
    Message(ByteBuf),
    /// The request was refused or failed; [`ResultCode::execution`] says whether it ran.
    Refused {
        /// The numbered code.
        code: ResultCode,
        /// Text for the caller.
        message: String,
    },
}

impl PeerReply {
    /// A refusal.
    pub fn refused(code: ResultCode, message: impl Into<String>) -> Self {
        Self::Refused {
            code,
            message: message.into(),
        }
    }

    /// Bytes that count against the window of a call.
    pub(crate) fn window_bytes(&self) -> usize {
        match self {
            Self::Chunk(bytes) | Self::Message(bytes) => bytes.len(),
            _ => 0,
        }
    }
}
