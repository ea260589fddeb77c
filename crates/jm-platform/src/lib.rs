//! Interfaces of the platform: traits, HTTP clients and an in-memory implementation.

#![deny(missing_docs, unsafe_code)]
