//! The entry daemon: serves callers, trainers and operators over HTTP. Section 3.1 of `docs/design.md` lists its
//! endpoints.
//!
//! An entry daemon keeps no state about a request after its end. It authenticates and authorizes callers, and forwards
//! requests to dispatch daemons over links.

#![deny(missing_docs, unsafe_code)]

mod access;
mod addresses;
mod admin;
mod burn;
mod call;
mod caller;
mod completions;
mod driven_body;
mod entry;
mod execution;
mod forward;
mod input;
mod key_search;
mod keyed_requests;
mod order_store;
mod orders;
mod refusal;
mod services;
mod status;
mod steps;
mod tickets;

pub use entry::{Entry, EntryOptions};
pub use forward::{CallerHead, ForwardError, ForwardedHead, RequestPart, check_body_for_key, forward_head};
