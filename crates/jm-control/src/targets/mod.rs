//! Ordering and releasing targets, and publishing them to the dispatch daemons.
//!
//! An order id consists of service, zone, kind and a slot number. An order that is repeated, by this or by another
//! daemon, therefore yields the same target. The platform rejects orders with an older fencing number. The object
//! `targets/ordered` is replaced under a version condition, and only by a holder whose fencing number is not older.

mod demand;
mod orders;
mod plan;
mod publish;

use std::collections::{BTreeMap, BTreeSet};

use async_trait::async_trait;
use indexmap::IndexMap;
use jm_config::{Capacity, Document, TargetState as ConfiguredState};
use jm_node::OrderedTargets;
use jm_plan::{PlanState, ServiceDemand, Tier};
use jm_platform::{Host, OrderedTarget, TargetKind, TargetState, Version};
use jm_types::{DurationMs, LogEvent, ServiceId, TargetId, Timestamp, ZoneId};

use crate::{
    duty::{DutyContext, DutyWork},
    error::DutyError,
    guarded::Term,
};
use demand::service_demand;
use plan::{ServicePlan, TargetCounts, tier_of};

/// Interval between two capacity plans.
const PLAN_INTERVAL_MS: DurationMs = DurationMs::new(10_000);

/// Time for which no targets of a kind are ordered in a zone that had no capacity for the kind.
const NO_CAPACITY_BACKOFF_MS: DurationMs = DurationMs::new(60_000);

/// Time after the start of a term before the holder starts to drain targets, because it has no record of the demand
/// before its term.
const DRAIN_START_DELAY_MS: DurationMs = DurationMs::new(600_000);

/// State of the holder: ordered targets and capacity plans.
pub(crate) struct TargetsWork {
    term_started: Timestamp,
    state: IndexMap<ServiceId, PlanState>,
    /// The published object and its version, `None` if it does not exist.
    published: Option<(OrderedTargets, Version)>,
    hosts: Vec<Host>,
    listed: Vec<OrderedTarget>,
    /// Targets that get no new work before they are released, with the time since which they have been published as
    /// draining.
    draining: IndexMap<TargetId, Option<Timestamp>>,
    /// Time at which a zone last had no capacity for a kind.
    no_capacity_since: BTreeMap<(ZoneId, Tier), Timestamp>,
    next_plan: Timestamp,
    short_services: BTreeSet<ServiceId>,
}

#[async_trait]
impl DutyWork for TargetsWork {
    async fn start_term(context: &DutyContext, term: &Term) -> Result<Self, DutyError> {
        let published = publish::read(context, term).await?;
        let draining = published
            .iter()
            .flat_map(|(ordered, _)| publish::draining(ordered));
        let now = context.node.now();
        Ok(Self {
            term_started: now,
            state: IndexMap::new(),
            draining: draining.map(|id| (id, None)).collect(),
            published,
            hosts: Vec::new(),
            listed: Vec::new(),
            no_capacity_since: BTreeMap::new(),
            next_plan: now,
            short_services: BTreeSet::new(),
        })
    }

    async fn round(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError> {
        self.read_platform(context).await?;
        self.publish(context, term).await?;
        self.release_drained(context, term).await?;
        if context.node.now() < self.next_plan || !context.node.config.is_loaded() {
            return Ok(());
        }
        self.apply_plans(context, term).await?;
        self.next_plan = context.node.now().after(PLAN_INTERVAL_MS);
        self.listed = context.node.platform.targets.targets().await?;
        self.publish(context, term).await
    }
}

impl TargetsWork {
    /// Reads the targets and the hosts. If the host list cannot be read, the last one is kept.
    async fn read_platform(&mut self, context: &DutyContext) -> Result<(), DutyError> {
        let platform = &context.node.platform;
        let (listed, hosts) = futures::join!(platform.targets.targets(), platform.hosts.hosts());
        if let Ok(hosts) = hosts {
            self.hosts = hosts;
        }
        self.listed = listed?;
        let listed = &self.listed;
        self.draining
            .retain(|id, _| listed.iter().any(|target| target.id == *id));
        let now = context.node.now();
        // The platform reclaims all cheap targets of a zone at once, and has no cheap capacity there for some time.
        let is_reclaimed = |target: &&OrderedTarget| {
            target.state == TargetState::Leaving && target.kind == TargetKind::Cheap
        };
        for target in self.listed.iter().filter(is_reclaimed) {
            self.no_capacity_since
                .insert((target.zone.clone(), Tier::Cheap), now);
        }
        self.no_capacity_since
            .retain(|_, since| now.since(*since) < NO_CAPACITY_BACKOFF_MS);
        Ok(())
    }

    /// Iterates over the ordered targets that get new work.
    fn serving(&self) -> impl Iterator<Item = &OrderedTarget> {
        let leaving_hosts = publish::leaving_hosts(&self.hosts);
        self.listed.iter().filter(move |target| {
            target.state == TargetState::Live
                && !leaving_hosts.contains(&target.address.ip())
                && !self.draining.contains_key(&target.id)
        })
    }

    async fn apply_plans(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError> {
        let config = context.node.config.active();
        let document = config.document();
        let summaries = context.node.live_summaries();
        for capacity in document.capacities.values() {
            let demand = service_demand(document, &capacity.service, &summaries);
            let (desired, current) = self.plan(context, document, capacity, demand);
            self.adjust_targets(context, term, &capacity.service, &desired, &current)
                .await?;
        }
        Ok(())
    }

    /// Returns the desired and the current numbers of targets of a service.
    fn plan(
        &mut self,
        context: &DutyContext,
        document: &Document,
        capacity: &Capacity,
        demand: ServiceDemand,
    ) -> (TargetCounts, TargetCounts) {
        let service = &capacity.service;
        let zones: Vec<ZoneId> = document.zones.keys().cloned().collect();
        let configured = self.configured(document, service);
        let current = self.current(service, &configured);
        let mut state = self.state.swap_remove(service).unwrap_or_default();
        let plan = ServicePlan {
            capacity,
            demand,
            zones: &zones,
            current: &current,
            configured: &configured,
            can_order: &|zone, tier| !self.no_capacity_since.contains_key(&(zone.clone(), tier)),
            now: context.node.now(),
        };
        let (desired, missing) = plan.desired(&mut state);
        self.state.insert(service.clone(), state);
        self.log_shortage(service, missing);
        (desired, current)
    }

    /// Counts the targets in the configuration that get new work.
    fn configured(&self, document: &Document, service: &ServiceId) -> TargetCounts {
        let leaving_hosts = publish::leaving_hosts(&self.hosts);
        let targets = document.targets.values().filter(|target| {
            target.service == *service
                && target.state == ConfiguredState::Serving
                && !leaving_hosts.contains(&target.address.ip())
        });
        count(targets.map(|target| {
            let tier = match target.kind {
                jm_config::TargetKind::Regular => Tier::Regular,
                jm_config::TargetKind::Cheap => Tier::Cheap,
            };
            (target.zone.clone(), tier)
        }))
    }

    fn current(&self, service: &ServiceId, configured: &TargetCounts) -> TargetCounts {
        let ordered = self.serving().filter(|target| target.service == *service);
        let mut numbers = count(ordered.map(|target| (target.zone.clone(), tier_of(target.kind))));
        for (group, configured) in configured {
            *numbers.entry(group.clone()).or_default() += configured;
        }
        numbers
    }

    /// Logs the start of a shortage. A continuing shortage is not logged again.
    fn log_shortage(&mut self, service: &ServiceId, missing: u32) {
        if missing == 0 {
            self.short_services.remove(service);
        } else if self.short_services.insert(service.clone()) {
            LogEvent::CapacityShort.write(format_args!("service {service} is short of {missing} targets"));
        }
    }
}

fn count(groups: impl Iterator<Item = (ZoneId, Tier)>) -> TargetCounts {
    let mut numbers = TargetCounts::new();
    for group in groups {
        *numbers.entry(group).or_default() += 1;
    }
    numbers
}
