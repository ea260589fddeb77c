//! Typed calls between daemons. One WebSocket connection per pair of daemons carries many concurrent calls, whose
//! messages are encoded as CBOR.
//!
//! Section 5 of `docs/design.md` describes the messages.

#![deny(missing_docs, unsafe_code)]

mod connection;
mod envelope;
mod message;
mod pool;
mod secret;
mod server;

pub use connection::{LinkError, ReplyStream};
pub use message::{
    ExecuteRequest, HeaderLine, PeerReply, PeerRequest, RequestHead, StepOperation, TrafficClass,
};
pub use pool::{LinkOptions, LinkPool};
pub use secret::FleetSecret;
pub use server::{CallCancelled, LinkHandler, LinkServer, ReplySender};
