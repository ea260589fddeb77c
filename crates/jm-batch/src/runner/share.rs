//! Division of the engines between the hosts that use them.

use std::sync::Arc;

use indexmap::IndexMap;
use jm_forward::{Catalog, RoutingTable, Target};
use jm_types::{BatchId, ServiceId};

use crate::{AllowedSoftware, BatchSpec, ItemRequirements, RemoteWork, owned::OwnedBatch};

/// Work of this host and of other hosts, which determines this host's share of each engine.
pub(super) struct Shares {
    own_work: u64,
    remote_work: Arc<Vec<RemoteWork>>,
}

impl Shares {
    pub(super) fn new(owned: &IndexMap<BatchId, OwnedBatch>, remote_work: Arc<Vec<RemoteWork>>) -> Self {
        let open = owned
            .values()
            .filter(|owned| !owned.is_ended && !owned.is_finished());
        Self {
            own_work: open.map(|owned| owned.work_tokens).sum(),
            remote_work,
        }
    }

    /// Shares under the assumption that no other host has work.
    pub(super) fn without_remote_work() -> Self {
        Self {
            own_work: 0,
            remote_work: Arc::default(),
        }
    }

    pub(super) fn remote_work(&self) -> &[RemoteWork] {
        &self.remote_work
    }

    pub(super) fn own_work(&self) -> u64 {
        self.own_work
    }
}

/// Requirements of an item without a text.
pub(super) fn item_requirements<'a>(
    spec: &'a BatchSpec,
    item: usize,
    routing: &RoutingTable,
    shares: &'a Shares,
) -> ItemRequirements<'a> {
    let service = item_service(spec, item, routing).and_then(|service| routing.service(service));
    let engine = service.and_then(|service| service.engine.as_ref());
    ItemRequirements {
        model: spec.model.as_ref(),
        min_version: spec.min_version,
        own_work: shares.own_work(),
        remote_work: &shares.remote_work,
        tokens: spec.items[item].work_tokens(),
        memory_tokens: engine.and_then(|engine| engine.memory_tokens),
        prompt_tokens: spec.items[item].prompt_tokens,
        prompt_parts: &spec.items[item].prompt_parts,
        events_done: 0,
        software: AllowedSoftware::Any,
    }
}

/// The service whose engines generate the text of an item. `None` if it has no route.
pub(super) fn item_service<'a>(
    spec: &BatchSpec,
    item: usize,
    routing: &'a RoutingTable,
) -> Option<&'a ServiceId> {
    let item = &spec.items[item];
    let route = routing.route(&spec.host, &item.path)?;
    route.service_for(&item.id)
}

pub(super) fn service_targets<'a>(
    spec: &BatchSpec,
    item: usize,
    routing: &'a RoutingTable,
    catalog: &'a Catalog,
) -> Option<impl Iterator<Item = &'a Target>> {
    let service = item_service(spec, item, routing)?;
    Some(catalog.serving(service))
}
