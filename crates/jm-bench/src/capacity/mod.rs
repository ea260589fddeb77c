//! Measurements of the load on each daemon and on the store, for `docs/CAPACITY.md`.

pub mod daemons;
pub mod fit;
pub mod fleet;
pub mod members;
pub mod memory;
pub mod objects;
pub mod peak_traffic;
pub mod sockets;
