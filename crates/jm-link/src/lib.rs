//! Typed calls between daemons over WebSocket and CBOR.

#![deny(missing_docs, unsafe_code)]
