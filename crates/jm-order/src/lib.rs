//! Tickets and outcomes of requests that must not be repeated.

#![deny(missing_docs, unsafe_code)]
