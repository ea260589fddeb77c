//! Time and allocations of single decisions. The results depend on the machine, so no test checks them.

use std::{hint::black_box, time::Instant};

use jm_route::{
    Class, DispatcherQuery, DispatcherTable, Member, Outcome, QueuedRequest, Scheduler, SchedulerOptions,
    ServiceSummary, TargetKind, TargetSpec, WindowBounds, choose_dispatcher, owner_of,
};
use jm_types::{Rate, RequestId, Timestamp, TokenCount};
use rand::{SeedableRng, rngs::StdRng};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region};

use crate::{
    Bound, Row,
    decisions::Size,
    sim::{member, organisation, service, target, zone},
};

/// Decisions per timed batch; batching makes the cost of reading the clock negligible.
const BATCH: usize = 64;

/// Returns the median nanoseconds and the mean number of allocations per call.
fn measure(batches: usize, mut call: impl FnMut()) -> (f64, f64) {
    (0..BATCH * 10).for_each(|_| call());
    let mut times = Vec::with_capacity(batches);
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    for _ in 0..batches {
        let start = Instant::now();
        (0..BATCH).for_each(|_| call());
        times.push(start.elapsed().as_nanos() as u64);
    }
    let allocations = region.change().allocations as f64 / (batches * BATCH) as f64;
    times.sort_unstable();
    (times[batches / 2] as f64 / BATCH as f64, allocations)
}

fn request(id: u64, organisations: usize, class: Class) -> QueuedRequest {
    QueuedRequest {
        id: RequestId::new(id),
        organisation: organisation(id as usize % organisations),
        service: service(),
        class,
        prompt_tokens: TokenCount::new(200),
        max_tokens: TokenCount::new(200),
        prefix_hashes: vec![id % 64, 1_000 + id % 512],
        deadline: Timestamp::new(1_000_000_000),
        avoid: Vec::new(),
    }
}

fn scheduler(engines: usize, organisations: usize, queued: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions {
        organisation_queue_limit: usize::MAX,
        service_queue_limit: usize::MAX,
        ..SchedulerOptions::default()
    });
    let window = WindowBounds {
        min: 3_200,
        initial: 25_600,
        max: 25_600,
        time_limit_us: 60_000,
    };
    let spec = |number| TargetSpec {
        id: target(number),
        zone: zone(number % 3),
        service: service(),
        kind: TargetKind::Engine,
        window,
        leaving: false,
    };
    scheduler.set_targets((0..engines).map(spec).collect(), Timestamp::new(0));
    let request_count = engines * 80 + queued;
    for id in 0..request_count as u64 {
        let _ = scheduler.submit(request(id, organisations, Class::Training), Timestamp::new(0));
    }
    while scheduler.next(Timestamp::new(0)).is_some() {}
    scheduler
}

/// Measures one live request through `submit`, `next`, a first token and `finish`, in a daemon whose engines are
/// saturated by training. Building the request is excluded.
fn live_request(size: Size, engines: usize, organisations: usize, queued: usize) -> (f64, f64) {
    let batches = size.select(20, 400) as usize;
    let mut scheduler = scheduler(engines, organisations, queued);
    let first = 10_000_000_u64;
    let mut requests: Vec<QueuedRequest> = (0..((batches + 10) * BATCH) as u64)
        .map(|id| request(first + id, organisations, Class::Live))
        .collect();
    measure(batches, move || {
        let Some(request) = requests.pop() else { return };
        let (id, now) = (request.id, Timestamp::new(1));
        let _ = black_box(scheduler.submit(request, now));
        let assigned = black_box(scheduler.next(now));
        if assigned.is_some_and(|assignment| assignment.request == id) {
            scheduler.progress(id, TokenCount::new(1), now);
            scheduler.finish(id, Outcome::Finished(TokenCount::new(200)), now);
        }
    })
}

fn members(count: usize) -> Vec<Member> {
    (0..count)
        .map(|number| Member {
            id: member(number),
            zone: zone(number % 11),
            live: true,
        })
        .collect()
}

fn table(daemons: usize) -> DispatcherTable {
    let mut table = DispatcherTable::default();
    for number in 0..daemons {
        let summary = ServiceSummary {
            zone: zone(number % 11),
            service: service(),
            targets: 34,
            queued_live: TokenCount::new(0),
            queued_training: TokenCount::new(0),
            free_window: TokenCount::new(10_000 + number as u64),
            free_training_window: TokenCount::new(0),
            window: TokenCount::new(870_000),
            served_rate: Rate::new(16_000.0),
            live_fair_rate: Rate::new(100.0),
            training_fair_rate: Rate::new(100.0),
        };
        table.update(&member(number), summary, Timestamp::new(0));
    }
    table
}

fn dispatcher_choice(size: Size, daemons: usize) -> (f64, f64) {
    let table = table(daemons);
    let (service, own_zone) = (service(), zone(3));
    let mut random = StdRng::seed_from_u64(1);
    let mut key = 0;
    measure(size.select(20, 400) as usize, move || {
        key += 1;
        let query = DispatcherQuery {
            service: &service,
            class: Class::Live,
            prefix_hash: Some(key),
            own_zone: &own_zone,
            spread_index: key,
            avoid: &[],
        };
        black_box(choose_dispatcher(query, &table, Timestamp::new(500), &mut random));
    })
}

fn owner_lookup(size: Size, daemons: usize) -> (f64, f64) {
    let (members, id, own_zone) = (members(daemons), target(7), zone(3));
    measure(size.select(20, 400) as usize, move || {
        black_box(owner_of(black_box(&id), &own_zone, &members));
    })
}

/// Measures the cost of single decisions and how it grows with engines, organisations, queues and daemons.
pub fn cost(_seed: u64, size: Size) -> Vec<Row> {
    let limit = Bound::AtMost(2_000.0);
    let cycles = [
        ("34 engines, 8 organisations, no queue", (34, 8, 0), limit),
        ("8 engines", (8, 8, 0), Bound::None),
        ("128 engines", (128, 8, 0), Bound::None),
        (
            "34 engines, 100 organisations, 1,000 queued",
            (34, 100, 1_000),
            limit,
        ),
        (
            "34 engines, 1,000 organisations, 100,000 queued",
            (34, 1_000, 100_000),
            Bound::None,
        ),
    ];
    let mut rows = Vec::new();
    for (name, (engines, organisations, queued), bound) in cycles {
        push_rows(
            &mut rows,
            &format!("live request, {name}"),
            live_request(size, engines, organisations, queued),
            bound,
        );
    }
    for daemons in [9, 350] {
        push_rows(
            &mut rows,
            &format!("choice among {daemons} daemons in 11 zones"),
            dispatcher_choice(size, daemons),
            limit,
        );
        push_rows(
            &mut rows,
            &format!("owner_of, {daemons} members (not on the request path)"),
            owner_lookup(size, daemons),
            Bound::None,
        );
    }
    rows
}

fn push_rows(rows: &mut Vec<Row>, name: &str, (time_ns, allocations): (f64, f64), bound: Bound) {
    let row = |measure, ours, bound| Row {
        group: "cost",
        measure,
        naive: None,
        ours,
        bound,
    };
    rows.push(row(format!("{name}: median ns"), time_ns, bound));
    rows.push(row(format!("{name}: allocations"), allocations, Bound::None));
}
