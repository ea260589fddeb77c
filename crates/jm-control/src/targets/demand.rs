//! Demand by service, computed from the load summaries of the dispatch daemons.

use jm_config::{Document, ServiceKind};
use jm_plan::ServiceDemand;
use jm_route::ServiceSummary;
use jm_types::{Rate, ServiceId};

/// Window of one engine, in tokens, assumed until an engine of the service reports one.
const ENGINE_WINDOW: f64 = 32_768.0;

/// Window of one plain target, in requests, assumed until a target of the service reports one.
const PLAIN_WINDOW: f64 = 64.0;

/// Totals over all summaries of a service.
#[derive(Default)]
struct Load {
    in_flight: f64,
    queued_live: f64,
    queued_training: f64,
    window: f64,
    targets: usize,
}

/// Computes the demand of a service. Demand is the in-flight and queued work in units of the windows (tokens, or
/// requests of a plain service), compared with the window of one target. Demand as a rate would need the speed of each
/// target, which is not configured.
pub(super) fn service_demand(
    document: &Document,
    service: &ServiceId,
    summaries: &[ServiceSummary],
) -> ServiceDemand {
    let load = sum(summaries.iter().filter(|summary| summary.service == *service));
    let is_training = document
        .trainings
        .values()
        .any(|training| training.service == *service);
    let queued = load.queued_live + load.queued_training;
    // Summaries do not distinguish live from training requests in flight. If the service has a training configured,
    // they are split in the proportion of the queues. Otherwise all count as live.
    let training_share = match is_training && queued > 0.0 {
        true => load.queued_training / queued,
        false => 0.0,
    };
    ServiceDemand {
        service: service.clone(),
        live: Rate::new(load.queued_live + load.in_flight * (1.0 - training_share)),
        training: Rate::new(load.queued_training + load.in_flight * training_share),
        per_target: Rate::new(window_of_one(document, service, &load)),
    }
}

fn sum<'a>(summaries: impl Iterator<Item = &'a ServiceSummary>) -> Load {
    summaries.fold(Load::default(), |mut load, summary| {
        let free = summary.free_window.get().min(summary.window.get());
        load.in_flight += (summary.window.get() - free) as f64;
        load.queued_live += summary.queued_live.get() as f64;
        load.queued_training += summary.queued_training.get() as f64;
        load.window += summary.window.get() as f64;
        load.targets += summary.targets;
        load
    })
}

fn window_of_one(document: &Document, service: &ServiceId, load: &Load) -> f64 {
    if load.targets > 0 && load.window > 0.0 {
        return load.window / load.targets as f64;
    }
    let is_engine = document
        .services
        .get(service)
        .is_some_and(|service| service.kind == ServiceKind::Engine);
    if is_engine { ENGINE_WINDOW } else { PLAIN_WINDOW }
}
