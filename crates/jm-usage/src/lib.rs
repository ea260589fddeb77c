//! Usage counters, window sealing and service-level burn.

#![deny(missing_docs, unsafe_code)]
