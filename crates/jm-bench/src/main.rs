//! `jm-bench`: prints the measurements of the decision modules.

#![deny(missing_docs, unsafe_code)]

use std::alloc::System;

use bpaf::Bpaf;
use jm_bench::{
    decisions::{self, Size},
    print_table,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts allocations for the group "cost".
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measures the decision modules.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Compares every decision with a naive version and with its bound.
    #[bpaf(command)]
    Decisions {
        /// Seed of all random numbers.
        #[bpaf(argument("NUMBER"), fallback(1))]
        seed: u64,
        /// Simulate as little as the tests do.
        small: bool,
        /// Only groups whose name contains this text.
        #[bpaf(argument("TEXT"), optional)]
        group: Option<String>,
    },
}

fn main() {
    let Command::Decisions { seed, small, group } = command().run();
    let size = if small { Size::Small } else { Size::Full };
    let wanted = |name: &str| group.as_ref().is_none_or(|text| name.contains(text.as_str()));
    let mut rows = Vec::new();
    for (name, measure) in decisions::ALL {
        if wanted(name) {
            rows.extend(measure(seed, size));
        }
    }
    println!("seed {seed}, {size:?} size\n");
    let missed = print_table(&rows);
    println!("\n{missed} bounds missed");
}
