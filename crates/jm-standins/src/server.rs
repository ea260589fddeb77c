//! HTTP server behind a relay, shared by the HTTP stand-ins.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use async_std::{io, task};
use futures::{FutureExt, channel::oneshot};
use jm_http::{Handler, Limits, Request, Response, Server, StatusCode, error_response};
use jm_types::{ByteSize, DurationMs, ResultCode};
use serde::{Serialize, de::DeserializeOwned};

use crate::relay::{Relay, RelayControl};

/// Default limit of the bytes that a stand-in records.
pub(crate) const DEFAULT_RECORDED_BYTES: usize = 16 * 1024 * 1024;

/// Tests delay responses on purpose, so the server's own timeouts have to be longer than any such delay.
const TIMEOUT_MS: DurationMs = DurationMs::new(600_000);

const BODY_BYTES: ByteSize = ByteSize::new(64_000_000);

/// Loopback address with port 0, for which the system chooses a free port.
pub(crate) fn any_loopback_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// A running server. Dropping it closes the listener and all connections.
pub(crate) struct RelayedServer {
    relay: Relay,
    _stop: oneshot::Sender<()>,
}

impl RelayedServer {
    pub(crate) async fn start<H: Handler>(
        listen: SocketAddr,
        max_recorded_bytes: usize,
        handler: impl FnOnce(RelayControl) -> Arc<H>,
    ) -> io::Result<Self> {
        let listener = jm_http::listen(any_loopback_port())?;
        let relay = Relay::start(listen, listener.local_addr()?, max_recorded_bytes).await?;
        let (stop, stopped) = oneshot::channel::<()>();
        let server = Server::new(limits(), handler(relay.control()));
        let stopped = stopped.map(drop).shared();
        task::spawn(async move { server.serve(listener, stopped).await });
        Ok(Self { relay, _stop: stop })
    }

    pub(crate) fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Closes the listener and all connections before it returns, so that the address can be bound again.
    pub(crate) async fn stop(self) {
        self.relay.close().await;
    }
}

fn limits() -> Limits {
    Limits {
        body_bytes: BODY_BYTES,
        head_timeout_ms: TIMEOUT_MS,
        body_timeout_ms: TIMEOUT_MS,
        idle_timeout_ms: TIMEOUT_MS,
        answer_timeout_ms: TIMEOUT_MS,
        ..Limits::default()
    }
}

/// Builds a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: &impl Serialize) -> Response {
    match serde_json::to_string(body) {
        Ok(text) => {
            let mut response = Response::new(status);
            response.set_body(text);
            response.insert_header("content-type", "application/json");
            response
        }
        Err(error) => error_response(ResultCode::Internal, &error.to_string()),
    }
}

/// Reads a JSON body; the error is the response to send to the caller.
pub(crate) async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Box<Response>> {
    let malformed = |reason: String| Box::new(error_response(ResultCode::MalformedRequest, &reason));
    let body = request
        .body_bytes()
        .await
        .map_err(|error| malformed(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| malformed(error.to_string()))
}

/// Value of the first query parameter with this name.
pub(crate) fn query_value(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    let (_, value) = pairs.find(|(key, _)| key == name)?;
    Some(value.into_owned())
}
