//! Leases with fencing numbers and guarded writes.

#![deny(missing_docs, unsafe_code)]
