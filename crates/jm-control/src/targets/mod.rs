//! Ordering and releasing targets, and publishing them to the dispatch daemons.
//!
//! An order id names a place: service, zone, kind and a number. An order that is repeated, by this or by another
//! daemon, therefore yields the same target. The platform refuses orders with an older fencing number, and
//! `targets/ordered` is replaced on condition of its version only by a holder whose number is not older.

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
use plan::{Numbers, ServicePlan, tier_of};

/// Time between two plans.
const PLAN_INTERVAL_MS: DurationMs = DurationMs::new(10_000);

/// Time for which no targets of a kind are ordered in a zone that had none.
const CLOSED_MS: DurationMs = DurationMs::new(60_000);

/// Time for which a new holder gives nothing back, because it does not know the demand before its term.
const SETTLING_MS: DurationMs = DurationMs::new(600_000);

/// What the holder knows of the ordered targets.
pub(crate) struct TargetsWork {
    began: Timestamp,
    state: IndexMap<ServiceId, PlanState>,
    /// The published object; none when it does not exist.
    published: Option<(OrderedTargets, Version)>,
    hosts: Vec<Host>,
    listed: Vec<OrderedTarget>,
    /// Targets that get no new work before they are given back, and since when the published object says so.
    draining: IndexMap<TargetId, Option<Timestamp>>,
    /// Zones that had no target of a kind at this time.
    closed: BTreeMap<(ZoneId, Tier), Timestamp>,
    next_plan: Timestamp,
    short_services: BTreeSet<ServiceId>,
}

#[async_trait]
impl DutyWork for TargetsWork {
    async fn begin(context: &DutyContext, term: &Term) -> Result<Self, DutyError> {
        let published = publish::read(context, term).await?;
        let draining = published
            .iter()
            .flat_map(|(ordered, _)| publish::draining(ordered));
        let now = context.node.now();
        Ok(Self {
            began: now,
            state: IndexMap::new(),
            draining: draining.map(|id| (id, None)).collect(),
            published,
            hosts: Vec::new(),
            listed: Vec::new(),
            closed: BTreeMap::new(),
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
        self.carry_out_plan(context, term).await?;
        self.next_plan = context.node.now().after(PLAN_INTERVAL_MS);
        self.listed = context.node.platform.targets.targets().await?;
        self.publish(context, term).await
    }
}

impl TargetsWork {
    /// Reads targets and hosts. Without the host list the hosts as last read count.
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
        // The platform reclaims a whole zone of cheap targets at once, so it has none there for a while.
        let is_reclaimed = |target: &&OrderedTarget| {
            target.state == TargetState::Leaving && target.kind == TargetKind::Cheap
        };
        for target in self.listed.iter().filter(is_reclaimed) {
            self.closed.insert((target.zone.clone(), Tier::Cheap), now);
        }
        self.closed.retain(|_, since| now.since(*since) < CLOSED_MS);
        Ok(())
    }

    /// Ordered targets that get new work.
    fn serving(&self) -> impl Iterator<Item = &OrderedTarget> {
        let leaving_hosts = publish::leaving_hosts(&self.hosts);
        self.listed.iter().filter(move |target| {
            target.state == TargetState::Live
                && !leaving_hosts.contains(&target.address.ip())
                && !self.draining.contains_key(&target.id)
        })
    }

    async fn carry_out_plan(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError> {
        let config = context.node.config.active();
        let document = config.document();
        let summaries = context.node.live_summaries();
        for capacity in document.capacities.values() {
            let demand = service_demand(document, &capacity.service, &summaries);
            let (wanted, current) = self.plan(context, document, capacity, demand);
            self.approach(context, term, &capacity.service, &wanted, &current)
                .await?;
        }
        Ok(())
    }

    /// The wanted and the current numbers of one service.
    fn plan(
        &mut self,
        context: &DutyContext,
        document: &Document,
        capacity: &Capacity,
        demand: ServiceDemand,
    ) -> (Numbers, Numbers) {
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
            is_open: &|zone, tier| !self.closed.contains_key(&(zone.clone(), tier)),
            now: context.node.now(),
        };
        let (wanted, missing) = plan.wanted(&mut state);
        self.state.insert(service.clone(), state);
        self.note_shortage(service, missing);
        (wanted, current)
    }

    /// Targets of the configuration that take new work.
    fn configured(&self, document: &Document, service: &ServiceId) -> Numbers {
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

    fn current(&self, service: &ServiceId, configured: &Numbers) -> Numbers {
        let ordered = self.serving().filter(|target| target.service == *service);
        let mut numbers = count(ordered.map(|target| (target.zone.clone(), tier_of(target.kind))));
        for (place, configured) in configured {
            *numbers.entry(place.clone()).or_default() += configured;
        }
        numbers
    }

    /// Logs a shortage once, when it begins.
    fn note_shortage(&mut self, service: &ServiceId, missing: u32) {
        if missing == 0 {
            self.short_services.remove(service);
        } else if self.short_services.insert(service.clone()) {
            LogEvent::CapacityShort.write(format_args!("service {service} lacks {missing} targets"));
        }
    }
}

fn count(places: impl Iterator<Item = (ZoneId, Tier)>) -> Numbers {
    let mut numbers = Numbers::new();
    for place in places {
        *numbers.entry(place).or_default() += 1;
    }
    numbers
}
