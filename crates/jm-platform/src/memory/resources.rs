//! Hosts, target orders and usage reports.

use std::{collections::BTreeMap, net::SocketAddr};

use async_trait::async_trait;
use indexmap::IndexMap;
use jm_types::{FencingNumber, TargetId, ZoneId};
use snafu::{OptionExt, ensure};

use super::MemoryPlatform;
use crate::{
    Host, HostList, MAX_VALUE_BYTES, OrderError, OrderedTarget, ReadError, ReportError, TargetKind,
    TargetOrder, TargetOrders, TargetState, UsageReporter, is_valid_key,
    target::{NoCapacitySnafu, OrderIdReusedSnafu, StaleFencingSnafu, UnknownTargetSnafu},
    usage::{ConflictingReportSnafu, InvalidWindowSnafu, ReportTooLargeSnafu},
};

/// A free target that can be ordered.
#[derive(Debug, Clone)]
pub struct SpareTarget {
    /// The target id.
    pub id: TargetId,
    /// The availability zone of the target.
    pub zone: ZoneId,
    /// Class of the target.
    pub kind: TargetKind,
    /// Address on which the target listens.
    pub address: SocketAddr,
}

#[derive(Default)]
pub(super) struct ResourceState {
    hosts: BTreeMap<String, Host>,
    spare: IndexMap<TargetId, SpareTarget>,
    ordered: BTreeMap<TargetId, OrderedTarget>,
    newest_fencing: FencingNumber,
    orders_received: u64,
    reports: IndexMap<String, Vec<u8>>,
    reports_received: Vec<String>,
}

impl ResourceState {
    fn check_fencing(&mut self, fencing: FencingNumber, refuse: bool) -> Result<(), OrderError> {
        self.orders_received += 1;
        let newest = self.newest_fencing;
        ensure!(!refuse || fencing >= newest, StaleFencingSnafu { newest });
        self.newest_fencing = newest.max(fencing);
        Ok(())
    }

    fn order(&mut self, order: &TargetOrder) -> Result<OrderedTarget, OrderError> {
        let mut ordered = self.ordered.values();
        if let Some(known) = ordered.find(|target| target.order_id == order.order_id) {
            let same = (&known.service, &known.zone, known.kind) == (&order.service, &order.zone, order.kind);
            ensure!(same, OrderIdReusedSnafu);
            return Ok(known.clone());
        }
        let fits = |spare: &&SpareTarget| spare.zone == order.zone && spare.kind == order.kind;
        let spare = self.spare.values().find(fits).cloned();
        let spare = spare.context(NoCapacitySnafu)?;
        self.spare.shift_remove(&spare.id);
        let target = ordered_target(spare, order);
        self.ordered.insert(target.id.clone(), target.clone());
        Ok(target)
    }

    fn release(&mut self, id: &TargetId) -> Result<(), OrderError> {
        let target = self.ordered.remove(id).context(UnknownTargetSnafu)?;
        if target.state == TargetState::Live {
            let spare = SpareTarget {
                id: target.id.clone(),
                zone: target.zone,
                kind: target.kind,
                address: target.address,
            };
            self.spare.insert(target.id, spare);
        }
        Ok(())
    }
}

fn ordered_target(spare: SpareTarget, order: &TargetOrder) -> OrderedTarget {
    OrderedTarget {
        id: spare.id,
        order_id: order.order_id.clone(),
        service: order.service.clone(),
        zone: spare.zone,
        kind: spare.kind,
        address: spare.address,
        state: TargetState::Live,
    }
}

impl MemoryPlatform {
    /// Adds a host to the list or replaces the host with the same id.
    pub fn set_host(&self, host: Host) {
        self.resources().hosts.insert(host.id.clone(), host);
    }

    /// Removes a host from the list. An unknown id is ignored.
    pub fn remove_host(&self, id: &str) {
        self.resources().hosts.remove(id);
    }

    /// Adds a free target that later orders can receive.
    pub fn add_spare(&self, spare: SpareTarget) {
        self.resources().spare.insert(spare.id.clone(), spare);
    }

    /// Reclaims all targets of a kind in a zone: ordered targets become leaving and free targets are removed. Returns
    /// the ids of the leaving targets.
    pub fn reclaim(&self, zone: &ZoneId, kind: TargetKind) -> Vec<TargetId> {
        let mut resources = self.resources();
        resources
            .spare
            .retain(|_, spare| spare.zone != *zone || spare.kind != kind);
        let ordered = resources.ordered.values_mut();
        let reclaimed = ordered.filter(|target| target.zone == *zone && target.kind == kind);
        reclaimed
            .map(|target| {
                target.state = TargetState::Leaving;
                target.id.clone()
            })
            .collect()
    }

    /// Removes all leaving targets, as the platform does at the end of their notice period.
    pub fn remove_leaving(&self) {
        let mut resources = self.resources();
        resources
            .ordered
            .retain(|_, target| target.state != TargetState::Leaving);
    }

    /// Returns the number of received orders and releases, including refused ones.
    pub fn orders_received(&self) -> u64 {
        self.resources().orders_received
    }

    /// Returns the recorded window ids and reports in the order of arrival.
    pub fn reports(&self) -> Vec<(String, Vec<u8>)> {
        let resources = self.resources();
        let reports = resources.reports.iter();
        reports
            .map(|(window, body)| (window.clone(), body.clone()))
            .collect()
    }

    /// Returns the window id of every received report, including repeated and refused ones.
    pub fn reports_received(&self) -> Vec<String> {
        self.resources().reports_received.clone()
    }
}

#[async_trait]
impl HostList for MemoryPlatform {
    async fn hosts(&self) -> Result<Vec<Host>, ReadError> {
        Ok(self.resources().hosts.values().cloned().collect())
    }
}

#[async_trait]
impl TargetOrders for MemoryPlatform {
    async fn order(&self, order: &TargetOrder) -> Result<OrderedTarget, OrderError> {
        let mut resources = self.resources();
        resources.check_fencing(order.fencing, self.shared.options.check_fencing)?;
        resources.order(order)
    }

    async fn release(&self, target: &TargetId, fencing: FencingNumber) -> Result<(), OrderError> {
        let mut resources = self.resources();
        resources.check_fencing(fencing, self.shared.options.check_fencing)?;
        resources.release(target)
    }

    async fn targets(&self) -> Result<Vec<OrderedTarget>, ReadError> {
        Ok(self.resources().ordered.values().cloned().collect())
    }
}

#[async_trait]
impl UsageReporter for MemoryPlatform {
    async fn report(&self, window: &str, body: &[u8]) -> Result<(), ReportError> {
        ensure!(is_valid_key(window), InvalidWindowSnafu { window });
        let bytes = body.len();
        ensure!(bytes <= MAX_VALUE_BYTES, ReportTooLargeSnafu { bytes });
        let mut resources = self.resources();
        resources.reports_received.push(window.to_owned());
        let recorded = resources.reports.entry(window.to_owned());
        let recorded = recorded.or_insert_with(|| body.to_vec());
        ensure!(recorded == body, ConflictingReportSnafu { window });
        Ok(())
    }
}
