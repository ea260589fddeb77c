//! The dispatch daemon.

#![deny(missing_docs, unsafe_code)]
