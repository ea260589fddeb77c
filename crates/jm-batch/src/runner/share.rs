//! Division of the engines between the hosts that use them.

use std::sync::Arc;

use indexmap::IndexMap;
use jm_forward::{Catalog, RoutingTable, Target};
use jm_types::{BatchId, ModelId};

use crate::{BatchSpec, RemoteWork, engine_load::ItemRequirements, owned::OwnedBatch};

/// Work of this host and of other hosts, which determines this host's share of each engine.
pub(super) struct Shares {
    own: IndexMap<Option<ModelId>, u64>,
    remote_work: Arc<Vec<RemoteWork>>,
}

impl Shares {
    pub(super) fn new(owned: &IndexMap<BatchId, OwnedBatch>, remote_work: Arc<Vec<RemoteWork>>) -> Self {
        let mut own: IndexMap<Option<ModelId>, u64> = IndexMap::new();
        for owned in owned
            .values()
            .filter(|owned| !owned.is_ended && !owned.is_finished())
        {
            *own.entry(owned.spec.model.clone()).or_default() += owned.spec.work_tokens();
        }
        Self { own, remote_work }
    }

    /// Shares under the assumption that no other host has work.
    pub(super) fn without_remote_work() -> Self {
        Self {
            own: IndexMap::new(),
            remote_work: Arc::default(),
        }
    }

    pub(super) fn remote_work(&self) -> &[RemoteWork] {
        &self.remote_work
    }

    pub(super) fn own_work(&self) -> u64 {
        self.own.values().sum()
    }
}

pub(super) fn item_requirements<'a>(
    spec: &'a BatchSpec,
    item: usize,
    routing: &RoutingTable,
    shares: &'a Shares,
) -> ItemRequirements<'a> {
    let item = &spec.items[item];
    let route = routing.route(&spec.host, &item.path);
    let service = route.and_then(|route| routing.service(route.service_for(&item.id)?));
    let engine = service.and_then(|service| service.engine.as_ref());
    ItemRequirements {
        model: spec.model.as_ref(),
        min_version: spec.min_version,
        own_work: shares.own_work(),
        remote_work: &shares.remote_work,
        tokens: item.work_tokens(),
        memory_tokens: engine.and_then(|engine| engine.memory_tokens),
    }
}

pub(super) fn service_targets<'a>(
    owned: &OwnedBatch,
    item: usize,
    routing: &'a RoutingTable,
    catalog: &'a Catalog,
) -> Option<impl Iterator<Item = &'a Target>> {
    let item = &owned.spec.items[item];
    let route = routing.route(&owned.spec.host, &item.path)?;
    let service = route.service_for(&item.id)?;
    Some(catalog.serving(service))
}
