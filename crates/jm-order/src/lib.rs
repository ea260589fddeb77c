//! At-most-once execution of non-idempotent requests; see section 4.4 of `docs/design.md`.
//!
//! A ticket names the dispatch incarnation that may run its request. [`TicketTable`] records the outcomes of the
//! tickets of one incarnation. [`OrderKey`] maps a caller's idempotency key to a ticket through an object in the
//! store.

#![deny(missing_docs, unsafe_code)]

mod digest;
mod order_key;
mod table;
mod ticket;

pub use digest::{ParseDigestError, RequestDigest};
pub use order_key::{CreateOutcome, OrderDecision, OrderKey, OrderRecord, ParseRecordError, ReadOutcome};
pub use table::{
    Answer, BeginDecision, FailOutcome, IssueError, Mismatch, Replay, RunId, StaleRun, TicketRequest,
    TicketTable, TicketTableOptions,
};
pub use ticket::{SignedTicket, Ticket, TicketError, TicketSecret};
