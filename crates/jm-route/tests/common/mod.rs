//! Helpers shared by the tests of the scheduler.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use jm_route::{
    Assignment, Class, QueuedRequest, Scheduler, SchedulerOptions, TargetKind, TargetSpec, WindowBounds,
};
use jm_types::{OrganisationId, RequestId, ServiceId, TargetId, Timestamp, TokenCount, ZoneId};
use quickcheck::{Gen, QuickCheck};

pub(crate) const FAR_DEADLINE_MS: u64 = 1_000_000_000;

pub(crate) fn quick() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(64, 1))
}

pub(crate) fn at(ms: u64) -> Timestamp {
    Timestamp::new(ms)
}

pub(crate) fn service() -> ServiceId {
    ServiceId::new("drafts").unwrap()
}

pub(crate) fn target(number: u64) -> TargetId {
    TargetId::new(format!("engine-{number}")).unwrap()
}

pub(crate) fn organisation(number: u64) -> OrganisationId {
    OrganisationId::new(format!("org-{number}")).unwrap()
}

pub(crate) fn zone(number: u64) -> ZoneId {
    ZoneId::new(format!("zone-{number}")).unwrap()
}

pub(crate) fn engine(number: u64, window: u64) -> TargetSpec {
    TargetSpec {
        id: target(number),
        zone: zone(number % 3),
        service: service(),
        kind: TargetKind::Engine,
        window: WindowBounds {
            min: window,
            initial: window,
            max: window,
            time_limit_us: 50_000,
        },
        leaving: false,
    }
}

pub(crate) fn engines(count: u64, window: u64) -> Scheduler {
    engines_with(count, window, SchedulerOptions::default())
}

pub(crate) fn engines_with(count: u64, window: u64, options: SchedulerOptions) -> Scheduler {
    let mut scheduler = Scheduler::new(options);
    scheduler.set_targets((0..count).map(|number| engine(number, window)).collect(), at(0));
    scheduler
}

/// Starts all requests that can start within `steps` steps of 25 ms, because the scheduler spaces training starts on a
/// nearly full engine. A started request generates its first token at the beginning of the next step.
pub(crate) fn start_all(scheduler: &mut Scheduler, steps: u64) -> Vec<Assignment> {
    let mut started: Vec<Assignment> = Vec::new();
    for step in 0..steps {
        let now = at(step * 25);
        started
            .iter()
            .for_each(|assignment| scheduler.progress(assignment.request, TokenCount::new(1), now));
        started.extend(std::iter::from_fn(|| scheduler.next(now)));
    }
    started
}

pub(crate) fn request(id: u64, organisation_number: u64, class: Class, tokens: u64) -> QueuedRequest {
    QueuedRequest {
        id: RequestId::new(id),
        organisation: organisation(organisation_number),
        service: service(),
        class,
        prompt_tokens: TokenCount::new(tokens),
        max_tokens: TokenCount::new(0),
        prefix_hashes: Vec::new(),
        deadline: at(FAR_DEADLINE_MS),
        avoid: Vec::new(),
    }
}
