//! The entry daemon.

#![deny(missing_docs, unsafe_code)]
