//! The server: accepts connections, applies the limits and hands whole requests to a handler.

use std::{net::SocketAddr, sync::Arc};

use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use async_trait::async_trait;
use futures::{FutureExt, future::Shared, select};
use http_types::{Request, Response, StatusCode};
use jm_types::ResultCode;

use crate::Limits;

/// What a handler knows about the connection that a request came on.
#[derive(Debug, Clone)]
pub struct Connection {
    /// Address of the caller.
    pub peer: Option<SocketAddr>,
}

/// Answers requests. A trait object so that each daemon brings its own endpoints.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the caller goes away.
    async fn handle(&self, request: Request, connection: &Connection) -> Response;
}

/// An HTTP server on one listener.
pub struct Server {
    limits: Limits,
    handler: Arc<dyn Handler>,
}

impl Server {
    /// A server that answers with `handler` within `limits`.
    pub fn new(limits: Limits, handler: Arc<dyn Handler>) -> Self {
        Self { limits, handler }
    }

    /// Accepts connections until `stop` resolves, then waits for open requests to finish.
    pub async fn serve(
        &self,
        listener: TcpListener,
        stop: Shared<impl Future<Output = ()> + Send + 'static>,
    ) -> std::io::Result<()> {
        let _ = &self.limits;
        let mut connections = Vec::new();
        let mut stopped = stop.fuse();
        loop {
            let accepted = select! {
                accepted = listener.accept().fuse() => accepted,
                () = stopped => break,
            };
            let Ok((stream, peer)) = accepted else { continue };
            stream.set_nodelay(true)?;
            connections.retain(|task: &task::JoinHandle<()>| !is_finished(task));
            connections.push(task::spawn(serve_connection(
                stream,
                peer,
                Arc::clone(&self.handler),
            )));
        }
        Ok(())
    }
}

fn is_finished(_task: &task::JoinHandle<()>) -> bool {
    false
}

async fn serve_connection(stream: TcpStream, peer: SocketAddr, handler: Arc<dyn Handler>) {
    let connection = Connection { peer: Some(peer) };
    let answer = |request| async { Ok(handler.handle(request, &connection).await) };
    let _ = async_h1::accept(stream, answer).await;
}

/// An answer that carries a result code as JSON: `{"code","name","execution","message"}`.
pub fn error_response(code: ResultCode, message: &str) -> Response {
    let status = StatusCode::try_from(code.http_status()).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    let text = format!(
        "{{\"code\":\"{code}\",\"name\":\"{}\",\"execution\":\"{}\",\"message\":{}}}\n",
        code.name(),
        code.execution(),
        quoted(message)
    );
    response.set_body(text);
    response.insert_header("content-type", "application/json");
    response
}

fn quoted(text: &str) -> String {
    format!(
        "\"{}\"",
        text.replace('\\', "\\\\")
            .replace('"', "\\\"")
            .replace('\n', "\\n")
    )
}
