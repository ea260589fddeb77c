//! Orders and releases that bring a service to the desired numbers of targets.

use std::collections::BTreeSet;

use jm_plan::Tier;
use jm_platform::{OrderError, OrderedTarget, TargetOrder};
use jm_types::{DurationMs, LogEvent, ServiceId, TargetId, ZoneId};

use super::{
    DRAIN_START_DELAY_MS, TargetsWork,
    plan::{TargetCounts, platform_kind, target_count, tier_of},
};
use crate::{duty::DutyContext, error::DutyError, guarded::Term};

/// Time added to the request timeout of a service before a target is released. Within this time the dispatch daemons
/// observe that the target gets no new work.
const DRAIN_MARGIN_MS: DurationMs = DurationMs::new(5_000);

/// Request timeout assumed for a service that was removed from the configuration.
const REMOVED_SERVICE_TIMEOUT_MS: DurationMs = DurationMs::new(60_000);

/// Maximum number of targets of one group that a plan orders, so that a round ends within the term of the lease.
const MAX_ORDERS_PER_GROUP: u32 = 64;

/// Service, zone and kind of a group of targets.
struct TargetGroup<'a> {
    service: &'a ServiceId,
    zone: &'a ZoneId,
    tier: Tier,
}

impl TargetGroup<'_> {
    fn contains(&self, target: &OrderedTarget) -> bool {
        target.service == *self.service && target.zone == *self.zone && tier_of(target.kind) == self.tier
    }

    /// Returns the order id of a slot. The ids of services and zones contain no slash, so order ids are unique.
    fn order_id(&self, slot: u32) -> String {
        let tier = match self.tier {
            Tier::Regular => "regular",
            Tier::Cheap => "cheap",
        };
        format!("{}/{}/{tier}/{slot}", self.service, self.zone)
    }
}

impl TargetsWork {
    /// Orders missing targets and starts to drain surplus ones.
    pub(super) async fn adjust_targets(
        &mut self,
        context: &DutyContext,
        term: &Term,
        service: &ServiceId,
        desired: &TargetCounts,
        current: &TargetCounts,
    ) -> Result<(), DutyError> {
        let groups: BTreeSet<_> = desired.keys().chain(current.keys()).collect();
        for (zone, tier) in groups {
            let (desired, current) = (
                target_count(desired, zone, *tier),
                target_count(current, zone, *tier),
            );
            let group = TargetGroup {
                service,
                zone,
                tier: *tier,
            };
            if desired > current {
                self.add(context, term, &group, desired - current).await?;
            } else if context.node.now().since(self.term_started) >= DRAIN_START_DELAY_MS {
                self.begin_draining(&group, current - desired);
            }
        }
        Ok(())
    }

    async fn add(
        &mut self,
        context: &DutyContext,
        term: &Term,
        group: &TargetGroup<'_>,
        count: u32,
    ) -> Result<(), DutyError> {
        for _ in self.cancel_draining(group, count)..count.min(MAX_ORDERS_PER_GROUP) {
            let Some(target) = self.order_target(context, term, group).await? else {
                break;
            };
            self.listed.push(target);
        }
        Ok(())
    }

    /// Stops draining up to `count` targets of a group, and returns their number.
    fn cancel_draining(&mut self, group: &TargetGroup<'_>, count: u32) -> u32 {
        let own = self.listed.iter().filter(|target| group.contains(target));
        let draining = own.filter(|target| self.draining.contains_key(&target.id));
        let kept: Vec<TargetId> = draining
            .take(count as usize)
            .map(|target| target.id.clone())
            .collect();
        for id in &kept {
            self.draining.swap_remove(id);
        }
        kept.len() as u32
    }

    /// Orders a target for the first free slot. Returns `None` if the zone has no capacity now.
    async fn order_target(
        &mut self,
        context: &DutyContext,
        term: &Term,
        group: &TargetGroup<'_>,
    ) -> Result<Option<OrderedTarget>, DutyError> {
        let is_free = |order_id: &String| !self.listed.iter().any(|target| target.order_id == *order_id);
        let order_id = (0..).map(|slot| group.order_id(slot)).find(is_free);
        let order = TargetOrder {
            order_id: order_id.expect("there are more slot numbers than targets"),
            service: group.service.clone(),
            zone: group.zone.clone(),
            kind: platform_kind(group.tier),
            fencing: term.guard.fencing(),
        };
        match term.run(context.node.platform.targets.order(&order)).await? {
            Ok(target) => Ok(Some(target)),
            Err(OrderError::NoCapacity) => {
                let zone = group.zone.clone();
                self.no_capacity_since
                    .insert((zone, group.tier), context.node.now());
                LogEvent::OrderFailed.write(format_args!("order {}: no capacity", order.order_id));
                Ok(None)
            }
            Err(error) => Err(order_error(error)),
        }
    }

    /// Marks the targets with the highest slot numbers as draining, which keeps the used numbers contiguous.
    fn begin_draining(&mut self, group: &TargetGroup<'_>, count: u32) {
        let own = self.serving().filter(|target| group.contains(target));
        let mut ids: Vec<(usize, String, TargetId)> = own
            .map(|target| (target.order_id.len(), target.order_id.clone(), target.id.clone()))
            .collect();
        // Within a group, longer order ids have larger slot numbers.
        ids.sort_unstable();
        for (_, _, id) in ids.into_iter().rev().take(count as usize) {
            self.draining.insert(id, None);
        }
    }

    /// Releases targets that have received no new work for longer than the request timeout.
    pub(super) async fn release_drained(
        &mut self,
        context: &DutyContext,
        term: &Term,
    ) -> Result<(), DutyError> {
        for id in self.drained(context) {
            let release = context.node.platform.targets.release(&id, term.guard.fencing());
            match term.run(release).await? {
                Ok(()) | Err(OrderError::UnknownTarget) => {
                    self.draining.swap_remove(&id);
                }
                Err(error) => return Err(order_error(error)),
            }
        }
        Ok(())
    }

    fn drained(&self, context: &DutyContext) -> Vec<TargetId> {
        let now = context.node.now();
        let config = context.node.config.active();
        let timeout = |service: &ServiceId| {
            let service = config.service(service);
            service.map_or(REMOVED_SERVICE_TIMEOUT_MS, |service| service.timeout_ms)
        };
        let is_drained = |target: &&OrderedTarget| {
            let since = self.draining.get(&target.id).copied().flatten();
            let wait = timeout(&target.service).saturating_add(DRAIN_MARGIN_MS);
            since.is_some_and(|since| now.since(since) >= wait)
        };
        let drained = self.listed.iter().filter(is_drained);
        drained.map(|target| target.id.clone()).collect()
    }
}

fn order_error(error: OrderError) -> DutyError {
    match error {
        // Another daemon has ordered with a newer fencing number, so this daemon no longer holds the lease.
        OrderError::StaleFencing { .. } => DutyError::LeaseExpired,
        error => error.into(),
    }
}
