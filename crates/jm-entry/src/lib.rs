//! The entry daemon.

#![deny(missing_docs, unsafe_code)]

mod forward;
mod key_search;

pub use forward::{CallerHead, ForwardError, ForwardedHead, Place, check_body, forward_head};
