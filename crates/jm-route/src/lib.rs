//! Routing decisions: ownership, target choice, windows, fair queue, retry budget.

#![deny(missing_docs, unsafe_code)]
