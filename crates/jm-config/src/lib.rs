//! Daemon settings, the operators document and its change log.

#![deny(missing_docs, unsafe_code)]
