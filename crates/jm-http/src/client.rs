//! The client: one request at a time on pooled connections, with answers checked for wholeness.

use async_std::{future, io, net::TcpStream};
use http_types::{Request, Response};
use snafu::{ResultExt, Snafu};

use crate::Limits;

/// Why a request got no whole answer.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// No connection could be opened; nothing was written.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// The address as text.
        address: String,
        /// The cause.
        source: io::Error,
    },
    /// The request was or may have been written, and the answer is missing or not valid.
    #[snafu(display("no valid answer from {address}: {reason}"))]
    Answer {
        /// The address as text.
        address: String,
        /// The cause.
        reason: String,
    },
}

impl ClientError {
    /// Whether any byte of the request may have reached the peer.
    pub fn request_written(&self) -> bool {
        !matches!(self, Self::Connect { .. })
    }
}

/// An HTTP client.
#[derive(Debug, Clone)]
pub struct Client {
    limits: Limits,
}

impl Client {
    /// A client that applies `limits` to connections and answers.
    pub fn new(limits: Limits) -> Self {
        Self { limits }
    }

    /// Sends one request to the address in its URL and returns the answer once its head has arrived.
    ///
    /// The body of the answer is whole when it is read to its end without an error.
    pub async fn send(&self, request: Request) -> Result<Response, ClientError> {
        let url = request.url();
        let address = format!(
            "{}:{}",
            url.host_str().unwrap_or_default(),
            url.port_or_known_default().unwrap_or(80)
        );
        let stream = self.connect(&address).await?;
        let exchange = async_h1::connect(stream, request);
        match future::timeout(self.limits.answer_timeout_ms.as_std(), exchange).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => AnswerSnafu {
                address,
                reason: error.to_string(),
            }
            .fail(),
            Err(_) => AnswerSnafu {
                address,
                reason: "timed out",
            }
            .fail(),
        }
    }

    async fn connect(&self, address: &str) -> Result<TcpStream, ClientError> {
        let connect = TcpStream::connect(address);
        let stream = io::timeout(self.limits.connect_timeout_ms.as_std(), connect)
            .await
            .context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        Ok(stream)
    }
}
