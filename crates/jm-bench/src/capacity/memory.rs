//! Memory of queued requests, tickets and detectors.

use std::{error::Error, fs};

use jm_order::{TicketTable, TicketTableOptions};
use jm_route::{Class, QueuedRequest, Scheduler, SchedulerOptions, TargetKind, TargetSpec, WindowBounds};
use jm_types::{ByteSize, Incarnation, RequestId, Timestamp, TokenCount};

use super::{fit::Line, fleet::Fleet};

const PAGE_BYTES: u64 = 4_096;

/// Numbers of entries at which memory is measured.
const COUNTS: [usize; 4] = [20_000, 50_000, 100_000, 200_000];

/// Resident memory of this process in bytes. The second field of `statm` counts pages.
pub fn resident_bytes() -> Result<u64, Box<dyn Error>> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = text
        .split(' ')
        .nth(1)
        .ok_or("/proc/self/statm has no field for resident memory")?
        .parse()?;
    Ok(pages * PAGE_BYTES)
}

/// Prints the resident memory per detector, ticket and queued request. `jm-bench-steps` measures step slots.
pub fn print_memory() -> Result<(), Box<dyn Error>> {
    let mut points = Vec::new();
    // All fleets stay allocated until the end, so that the allocator cannot reuse freed memory.
    let mut fleets = Vec::new();
    for daemons in [25, 50, 100, 350] {
        let before = resident_bytes()?;
        let mut fleet = Fleet::new(daemons, 11, 1);
        fleet.run(10_000);
        let bytes = resident_bytes()?.saturating_sub(before);
        points.push((daemons as f64, bytes as f64 / daemons as f64));
        fleets.push(fleet);
    }
    print_line("detector, resident bytes by daemons", &points);
    print_entry_memory("ticket", tickets)?;
    print_entry_memory("queued request", queued)
}

fn print_entry_memory<T>(
    name: &str,
    fill: fn(usize) -> Result<T, Box<dyn Error>>,
) -> Result<(), Box<dyn Error>> {
    let mut points = Vec::new();
    let mut retained = Vec::new();
    for count in COUNTS {
        let before = resident_bytes()?;
        retained.push(fill(count)?);
        points.push((count as f64, resident_bytes()?.saturating_sub(before) as f64));
    }
    print_line(&format!("{name}, resident bytes"), &points);
    Ok(())
}

fn print_line(name: &str, points: &[(f64, f64)]) {
    if let Some(line) = Line::fit(points) {
        println!("{name}: {line}");
    }
}

fn tickets(count: usize) -> Result<TicketTable, Box<dyn Error>> {
    let options = TicketTableOptions {
        max_entries: count,
        max_organisation_entries: count,
        max_bytes: ByteSize::new(u64::MAX / 2),
        ..TicketTableOptions::default()
    };
    let mut table = TicketTable::new("dispatch-1".parse()?, Incarnation::new(1), options);
    for _ in 0..count {
        table.issue("parish-office".parse()?, "order-desk".parse()?, Timestamp::new(0))?;
    }
    Ok(table)
}

fn queued(count: usize) -> Result<Scheduler, Box<dyn Error>> {
    let options = SchedulerOptions {
        organisation_queue_limit: count,
        service_queue_limit: count,
        ..SchedulerOptions::default()
    };
    let mut scheduler = Scheduler::new(options);
    let target = TargetSpec {
        id: "engine-1".parse()?,
        zone: "riga-a".parse()?,
        service: "drafts".parse()?,
        kind: TargetKind::Engine,
        window: WindowBounds {
            min: 1_000,
            initial: 10_000,
            max: 100_000,
            time_limit_us: 50_000,
        },
        leaving: false,
    };
    scheduler.set_targets(vec![target], Timestamp::new(0));
    for id in 0..count {
        let request = QueuedRequest {
            id: RequestId::new(id as u64),
            organisation: "parish-office".parse()?,
            service: "drafts".parse()?,
            class: Class::Live,
            prompt_tokens: TokenCount::new(500),
            max_tokens: TokenCount::new(500),
            prefix_hashes: vec![1; 8],
            deadline: Timestamp::new(60_000),
            avoid: Vec::new(),
        };
        scheduler.submit(request, Timestamp::new(0))?;
    }
    Ok(scheduler)
}
