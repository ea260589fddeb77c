//! Strict HTTP/1.1 over `async-h1`. Section 7 of `docs/design.md` lists what the library lets through and what this
//! crate does about each case.
//!
//! Heads are read with `httparse` and bodies with a decoder of this crate, because `async-h1` accepts contradicting
//! lengths and cut bodies. Heads and bodies are written with the encoders of `async-h1`.

#![deny(missing_docs, unsafe_code)]

mod answer;
mod answer_body;
mod body;
mod buffered;
mod chunk;
mod client;
mod connection;
mod exchange;
mod framing;
mod guard;
mod head;
mod limits;
mod listen;
mod pool;
mod read_body;
mod server;
mod stream;

pub use answer::error_response;
pub use body::{BodySender, channel_body};
pub use buffered::poll_read_buffered;
pub use client::{Client, ClientError, Reuse};
pub use head::RequestTarget;
pub use http_types::{Body, Method, Request, Response, StatusCode, Url, headers};
pub use limits::{Limits, SharedLimits};
pub use listen::listen;
pub use read_body::read_body_to_end;
pub use server::{Connection, Handler, Server};
