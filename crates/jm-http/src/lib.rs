//! Strict HTTP/1.1 client and server on top of `async-h1`. Section 7 of `docs/design.md` lists the invalid messages
//! that `async-h1` accepts and how this crate handles each of them.
//!
//! This crate parses heads with `httparse` and bodies with its own decoder, because `async-h1` accepts contradictory
//! lengths and truncated bodies. The encoders of `async-h1` write heads and bodies.

#![deny(missing_docs, unsafe_code)]

mod body;
mod buffer_budget;
mod buffered;
mod chunk;
mod client;
mod connection;
mod exchange;
mod framing;
mod head;
mod limits;
mod listen;
mod pool;
mod read_body;
mod rejection;
mod response;
mod response_body;
mod server;
mod shared_bytes;
mod status;
mod stream;
mod validate;
mod whole_response;

pub use body::{BodySender, channel_body};
pub use buffer_budget::{BufferBudget, BufferShare, RejectionReason};
pub use buffered::poll_read_buffered;
pub use client::{Client, ClientError, Reuse};
pub use head::RequestTarget;
pub use http_types::{Body, Method, Request, Response, StatusCode, Url, headers};
pub use limits::{Limits, SharedLimits};
pub use listen::listen;
pub use read_body::read_body_to_end;
pub use response::error_response;
pub use server::{Connection, Handler, Server};
pub use shared_bytes::SharedBytes;
pub use status::SentStatus;
pub use whole_response::read_whole_response;
