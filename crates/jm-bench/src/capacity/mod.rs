//! Measurements of what each daemon and the store have to carry, for `docs/CAPACITY.md`.

pub mod daemons;
pub mod fit;
pub mod fleet;
pub mod members;
pub mod memory;
pub mod objects;
pub mod sockets;
pub mod storms;
