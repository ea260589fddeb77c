//! Where the answer of a target goes.

use async_std::sync::Mutex;
use async_trait::async_trait;
use jm_link::{HeaderLine, PeerReply, ReplySender};
use jm_types::ResultCode;
use snafu::Snafu;

/// A request that did not get a whole answer.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("{code}: {message}"))]
pub(crate) struct Failure {
    /// The numbered code; its execution says whether the request may have run.
    pub(crate) code: ResultCode,
    /// Text for the caller.
    pub(crate) message: String,
}

impl Failure {
    pub(crate) fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    /// The failure of a caller that went away.
    pub(crate) fn caller_gone() -> Self {
        Self::new(ResultCode::OutcomeUnknown, "the caller is gone")
    }
}

/// Takes an answer piece by piece.
#[async_trait]
pub(crate) trait AnswerSink: Send + Sync {
    /// Takes the head.
    async fn head(&self, status: u16, headers: Vec<HeaderLine>) -> Result<(), Failure>;

    /// Takes a piece of the body.
    async fn chunk(&self, bytes: Vec<u8>) -> Result<(), Failure>;
}

/// Sends the answer to the calling daemon.
pub(crate) struct LinkSink<'a>(pub(crate) &'a ReplySender);

#[async_trait]
impl AnswerSink for LinkSink<'_> {
    async fn head(&self, status: u16, headers: Vec<HeaderLine>) -> Result<(), Failure> {
        let sent = self.0.send(PeerReply::Head { status, headers }).await;
        sent.map_err(|_| Failure::caller_gone())
    }

    async fn chunk(&self, bytes: Vec<u8>) -> Result<(), Failure> {
        let sent = self.0.send(PeerReply::Chunk(bytes.into())).await;
        sent.map_err(|_| Failure::caller_gone())
    }
}

/// A whole answer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Collected {
    pub(crate) status: u16,
    pub(crate) headers: Vec<HeaderLine>,
    pub(crate) body: Vec<u8>,
}

/// Collects the answer, for orders whose outcome is kept.
#[derive(Default)]
pub(crate) struct CollectSink(Mutex<Collected>);

impl CollectSink {
    pub(crate) fn into_answer(self) -> Collected {
        self.0.into_inner()
    }
}

#[async_trait]
impl AnswerSink for CollectSink {
    async fn head(&self, status: u16, headers: Vec<HeaderLine>) -> Result<(), Failure> {
        let mut collected = self.0.lock().await;
        collected.status = status;
        collected.headers = headers;
        Ok(())
    }

    async fn chunk(&self, bytes: Vec<u8>) -> Result<(), Failure> {
        self.0.lock().await.body.extend_from_slice(&bytes);
        Ok(())
    }
}
