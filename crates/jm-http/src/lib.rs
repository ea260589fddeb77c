//! Strict HTTP/1.1 over `async-h1`. Section 7 of `docs/design.md` lists what the library lets through and what this
//! crate does about each case.

#![deny(missing_docs, unsafe_code)]

mod body;
mod client;
mod limits;
mod server;

pub use body::{BodySender, channel_body};
pub use client::{Client, ClientError};
pub use http_types::{Body, Method, Request, Response, StatusCode, Url, headers};
pub use limits::Limits;
pub use server::{Connection, Handler, Server, error_response};
