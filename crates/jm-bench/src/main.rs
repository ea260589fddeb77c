//! `jm-bench`: runs the decision benchmarks and prints their results.

#![deny(missing_docs, unsafe_code)]

use std::alloc::System;

use bpaf::Bpaf;
use jm_bench::{
    decisions::{self, Size},
    print_table,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts allocations, which the group "cost" reports.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Benchmarks of routing and planning decisions.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Compares the decisions with a naive version and with their bounds.
    #[bpaf(command)]
    Decisions {
        /// Seed of all random numbers.
        #[bpaf(argument("NUMBER"), fallback(1))]
        seed: u64,
        /// Run at the small size that the tests use.
        small: bool,
        /// Run only the groups whose name contains this text.
        #[bpaf(argument("TEXT"), optional)]
        group: Option<String>,
    },
}

fn main() {
    let Command::Decisions { seed, small, group } = command().run();
    let size = if small { Size::Small } else { Size::Full };
    let is_selected = |name: &str| group.as_ref().is_none_or(|text| name.contains(text.as_str()));
    let mut rows = Vec::new();
    for (name, measure) in decisions::ALL {
        if is_selected(name) {
            rows.extend(measure(seed, size));
        }
    }
    println!("seed {seed}, {size:?} size\n");
    let missed = print_table(&rows);
    println!("\n{missed} bounds missed");
}
