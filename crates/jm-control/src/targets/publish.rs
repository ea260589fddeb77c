//! The object through which the ordered targets are published to the dispatch daemons.

use std::{collections::BTreeMap, net::IpAddr};

use jm_node::{ORDERED_KEY, OrderedEntry, OrderedGroup, OrderedState, OrderedTargets, decode, encode};
use jm_platform::{Condition, Host, HostState, ObjectError, OrderedTarget, TargetKind, TargetState, Version};
use jm_types::{FencingNumber, LogEvent, ServiceId, TargetId, ZoneId};

use super::TargetsWork;
use crate::{duty::DutyContext, error::DutyError, guarded::Term};

/// Reads the object. Returns an error if a newer holder published it.
pub(super) async fn read(
    context: &DutyContext,
    term: &Term,
) -> Result<Option<(OrderedTargets, Version)>, DutyError> {
    let Some(object) = context.node.platform.objects.get(ORDERED_KEY).await? else {
        return Ok(None);
    };
    let ordered: OrderedTargets = decode(&object.value).map_err(|error| DutyError::Unreadable {
        key: ORDERED_KEY.to_owned(),
        reason: error.to_string(),
    })?;
    if ordered.fencing > term.guard.fencing() {
        return Err(DutyError::LeaseExpired);
    }
    Ok(Some((ordered, object.version)))
}

/// Returns the addresses of leaving hosts in ascending order.
pub(super) fn leaving_hosts(hosts: &[Host]) -> Vec<IpAddr> {
    let leaving = hosts.iter().filter(|host| host.state == HostState::Leaving);
    let mut addresses: Vec<IpAddr> = leaving.map(|host| host.address.ip()).collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

/// Returns the targets that were published as draining.
pub(super) fn draining(ordered: &OrderedTargets) -> Vec<TargetId> {
    let entries = ordered.groups.iter().flat_map(|group| &group.targets);
    entries
        .filter(|entry| entry.state == OrderedState::Draining)
        .map(|entry| entry.id.clone())
        .collect()
}

impl TargetsWork {
    /// Publishes the listed targets if the object would change.
    pub(super) async fn publish(&mut self, context: &DutyContext, term: &Term) -> Result<(), DutyError> {
        let next = self.build_ordered_targets(term.guard.fencing());
        if self
            .published
            .as_ref()
            .is_none_or(|(published, _)| *published != next)
        {
            self.replace(context, term, next).await?;
        }
        let now = context.node.now();
        for since in self.draining.values_mut() {
            since.get_or_insert(now);
        }
        Ok(())
    }

    async fn replace(
        &mut self,
        context: &DutyContext,
        term: &Term,
        next: OrderedTargets,
    ) -> Result<(), DutyError> {
        let condition = match &self.published {
            Some((_, version)) => Condition::Version(*version),
            None => Condition::Absent,
        };
        let objects = &context.node.platform.objects;
        let put = objects.put(ORDERED_KEY, encode(&next), condition);
        match term.run(put).await? {
            Ok(version) => {
                self.log_leaving(&next);
                self.published = Some((next, version));
                Ok(())
            }
            // The next round compares with the object that is now stored.
            Err(error @ (ObjectError::Conflict { .. } | ObjectError::AnswerLost { .. })) => {
                self.published = read(context, term).await?;
                Err(error.into())
            }
            Err(error) => Err(error.into()),
        }
    }

    fn build_ordered_targets(&self, fencing: FencingNumber) -> OrderedTargets {
        let leaving_hosts = leaving_hosts(&self.hosts);
        let mut groups: BTreeMap<(ServiceId, ZoneId, bool), Vec<OrderedEntry>> = BTreeMap::new();
        for target in &self.listed {
            let cheap = target.kind == TargetKind::Cheap;
            let group = (target.service.clone(), target.zone.clone(), cheap);
            groups.entry(group).or_default().push(OrderedEntry {
                id: target.id.clone(),
                address: target.address,
                state: self.state(target, &leaving_hosts),
            });
        }
        let groups = groups.into_iter();
        OrderedTargets {
            fencing,
            groups: groups
                .map(|((service, zone, cheap), targets)| OrderedGroup {
                    service,
                    zone,
                    cheap,
                    targets,
                })
                .collect(),
            leaving_hosts,
        }
    }

    fn state(&self, target: &OrderedTarget, leaving_hosts: &[IpAddr]) -> OrderedState {
        if target.state == TargetState::Leaving || leaving_hosts.contains(&target.address.ip()) {
            OrderedState::Leaving
        } else if self.draining.contains_key(&target.id) {
            OrderedState::Draining
        } else {
            OrderedState::Serving
        }
    }

    fn log_leaving(&self, next: &OrderedTargets) {
        let before = self
            .published
            .iter()
            .flat_map(|(published, _)| leaving(published));
        let before: Vec<&TargetId> = before.collect();
        for id in leaving(next).filter(|id| !before.contains(id)) {
            LogEvent::TargetLeaving.write(format_args!("target {id}"));
        }
    }
}

fn leaving(ordered: &OrderedTargets) -> impl Iterator<Item = &TargetId> {
    let entries = ordered.groups.iter().flat_map(|group| &group.targets);
    entries
        .filter(|entry| entry.state == OrderedState::Leaving)
        .map(|entry| &entry.id)
}
