//! Stand-ins for the systems around jacinthmoor, with fault injection.

#![deny(missing_docs, unsafe_code)]
