//! Consumers of a target's response.

use async_std::sync::Mutex;
use async_trait::async_trait;
use jm_link::{HeaderLine, PeerReply, ReplySender};
use jm_types::ResultCode;
use snafu::Snafu;

/// The failure of a request without a complete response.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("{code}: {message}"))]
pub(crate) struct Failure {
    /// Result code; [`ResultCode::execution`] says whether the request may have run.
    pub(crate) code: ResultCode,
    /// Message for the caller.
    pub(crate) message: String,
}

impl Failure {
    pub(crate) fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    /// The failure when the caller's connection is lost.
    pub(crate) fn caller_disconnected() -> Self {
        Self::new(ResultCode::OutcomeUnknown, "the caller disconnected")
    }
}

/// Receives a response in parts.
#[async_trait]
pub(crate) trait AnswerSink: Send + Sync {
    /// Receives the status and headers, before any part of the body.
    async fn head(&self, status: u16, headers: Vec<HeaderLine>) -> Result<(), Failure>;

    /// Receives a part of the body.
    async fn chunk(&self, bytes: Vec<u8>) -> Result<(), Failure>;
}

/// Forwards a response to the calling daemon.
pub(crate) struct LinkSink<'a>(pub(crate) &'a ReplySender);

#[async_trait]
impl AnswerSink for LinkSink<'_> {
    async fn head(&self, status: u16, headers: Vec<HeaderLine>) -> Result<(), Failure> {
        let sent = self.0.send(PeerReply::Head { status, headers }).await;
        sent.map_err(|_| Failure::caller_disconnected())
    }

    async fn chunk(&self, bytes: Vec<u8>) -> Result<(), Failure> {
        let sent = self.0.send(PeerReply::Chunk(bytes.into())).await;
        sent.map_err(|_| Failure::caller_disconnected())
    }
}

/// A response that is collected in memory as a whole.
#[derive(Debug, Clone, Default)]
pub(crate) struct Collected {
    pub(crate) status: u16,
    pub(crate) headers: Vec<HeaderLine>,
    pub(crate) body: Vec<u8>,
}

/// Buffers a complete response, for orders whose outcome is stored.
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
