//! The control daemon.

#![deny(missing_docs, unsafe_code)]
