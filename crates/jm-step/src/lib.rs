//! Step assembly for trainers.

#![deny(missing_docs, unsafe_code)]
