//! Rollout service.
fn main() {}
