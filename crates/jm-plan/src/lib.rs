//! Capacity plan and weight roll-out plan.

#![deny(missing_docs, unsafe_code)]
