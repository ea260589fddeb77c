//! Failure detection, member view and freshness.

#![deny(missing_docs, unsafe_code)]
