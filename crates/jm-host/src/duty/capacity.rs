//! Orders replacements for lost targets while this host holds the lease.
//!
//! The desired numbers of targets are saved in the store, so that a new holder can determine how many were lost.

use std::sync::Arc;

use async_std::task;
use indexmap::IndexMap;
use jm_batch::RoutingSource;
use jm_forward::RoutingTable;
use jm_lease::LeaseGuard;
use jm_plan::{DesiredTargets, ObservedTargets, Replacement, ReplacementOptions, ServiceZone};
use jm_platform::{Condition, ObjectStore};
use jm_types::{Clock, DurationMs, LogEvent, ServiceId, ZoneId};
use log::kv::ToValue;

use super::LeaseView;
use crate::{cluster_state::ClusterState, platform::DutyCalls};

/// Key of the desired numbers of targets.
const DESIRED_TARGETS_KEY: &str = "capacity/wanted";

/// Interval at which the serving targets are compared with the desired numbers.
const RECONCILE_INTERVAL_MS: DurationMs = DurationMs::new(1_000);

/// Maintains the number of targets of services for which the configuration allows orders.
pub(crate) struct CapacityDuty {
    pub(crate) cluster: Arc<ClusterState>,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) duties: Arc<dyn DutyCalls>,
    pub(crate) lease: Arc<LeaseView>,
    pub(crate) clock: Arc<dyn Clock>,
}

/// State of the holder during one term.
struct Term {
    replacement: Replacement,
    saved: Vec<DesiredTargets>,
}

impl CapacityDuty {
    /// Runs until the future is dropped.
    pub(crate) async fn run(&self) {
        let mut term = None;
        loop {
            task::sleep(RECONCILE_INTERVAL_MS.as_std()).await;
            let Some(guard) = self.lease.guard(&*self.clock) else {
                term = None;
                continue;
            };
            if term.is_none() {
                term = self.load_term().await;
            }
            if let Some(term) = &mut term {
                self.reconcile(term, &guard).await;
            }
        }
    }

    /// Loads the numbers that an earlier holder saved; `None` when the store does not answer.
    async fn load_term(&self) -> Option<Term> {
        let saved = match self.store.get(DESIRED_TARGETS_KEY).await {
            Ok(Some(object)) => match serde_json::from_slice(&object.value) {
                Ok(saved) => saved,
                Err(error) => {
                    LogEvent::ConfigUnreadable.write(format_args!(
                        "{DESIRED_TARGETS_KEY} cannot be decoded and is reset: {error}"
                    ));
                    Vec::new()
                }
            },
            Ok(None) => Vec::new(),
            Err(error) => {
                LogEvent::StoreUnavailable
                    .write(format_args!("{DESIRED_TARGETS_KEY} cannot be read: {error}"));
                return None;
            }
        };
        let replacement = Replacement::new(ReplacementOptions::default(), saved.clone());
        Some(Term { replacement, saved })
    }

    async fn reconcile(&self, term: &mut Term, guard: &LeaseGuard) {
        if !self.cluster.is_complete() {
            // Targets that are not listed yet are not lost.
            return;
        }
        let observed = self.serving_by_service_zone(&term.replacement.desired());
        let orders = term.replacement.next_orders(&observed, self.clock.now());
        for order in orders {
            self.order(&order, guard).await;
        }
        let desired = term.replacement.desired();
        if desired != term.saved && self.save(&desired).await {
            term.saved = desired;
        }
    }

    /// Counts the serving targets by service and availability zone, for services for which orders are allowed.
    /// Includes services and zones that have no listed target left. In an evacuated zone, the desired numbers count as
    /// serving: its targets accept no work or are being shut down, and a replacement there could not be used.
    fn serving_by_service_zone(&self, desired: &[DesiredTargets]) -> IndexMap<ServiceZone, ObservedTargets> {
        let mut observed = IndexMap::new();
        let Some(routing) = self.cluster.routing() else {
            return observed;
        };
        let evacuated: Vec<ZoneId> = self
            .cluster
            .evacuated_zones()
            .into_iter()
            .map(|(zone, _)| zone)
            .collect();
        for desired in desired {
            let serving = match evacuated.contains(&desired.zone) {
                true => desired.count,
                false => 0,
            };
            add_serving(&mut observed, &routing, &desired.service, &desired.zone, serving);
        }
        let catalog = self.cluster.catalog();
        for target in catalog.iter().filter(|target| !evacuated.contains(&target.zone)) {
            let serving = usize::from(target.is_serving());
            add_serving(&mut observed, &routing, &target.service, &target.zone, serving);
        }
        observed
    }

    async fn order(&self, order: &DesiredTargets, guard: &LeaseGuard) {
        let ordered = self.duties.order_targets(order, guard).await;
        let (service, zone) = (order.service.as_str(), order.zone.as_str());
        let fields: [(&str, &dyn ToValue); 3] =
            [("service", &service), ("zone", &zone), ("count", &order.count)];
        match ordered {
            Ok(()) => {
                LogEvent::TargetsOrdered.write_fields("replacements for lost targets were ordered", &fields)
            }
            Err(error) => LogEvent::OrderFailed.write_fields(error, &fields),
        }
    }

    async fn save(&self, desired: &[DesiredTargets]) -> bool {
        let value = serde_json::to_vec(desired).expect("numbers and names can be encoded");
        match self.store.put(DESIRED_TARGETS_KEY, value, Condition::Any).await {
            Ok(_) => true,
            Err(error) => {
                LogEvent::StoreUnavailable
                    .write(format_args!("{DESIRED_TARGETS_KEY} cannot be saved: {error}"));
                false
            }
        }
    }
}

/// Adds to the count of a service and zone, if the configuration allows orders for the service.
fn add_serving(
    observed: &mut IndexMap<ServiceZone, ObservedTargets>,
    routing: &RoutingTable,
    service: &ServiceId,
    zone: &ZoneId,
    serving: usize,
) {
    let Some(limits) = routing.service(service).and_then(|service| service.capacity) else {
        return;
    };
    let service_zone = ServiceZone {
        service: service.clone(),
        zone: zone.clone(),
    };
    let entry = observed.entry(service_zone).or_insert(ObservedTargets {
        serving: 0,
        max: limits.max_per_zone,
        start_ms: limits.start_ms,
    });
    entry.serving += serving;
}
