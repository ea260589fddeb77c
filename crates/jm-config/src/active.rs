//! The configuration in force, compiled for lookups on the request path.

use std::{collections::HashMap, sync::Arc};

use jm_http::Method;
use jm_types::{OrganisationId, Revision, ServiceId, TargetId};

use crate::{
    document::Document,
    entity::{Key, MethodFilter, Route, Service, Sharing, Target, Training},
    path::decoded_segments,
    secret::KeyHash,
};

/// An immutable configuration, shared by all requests that started under it.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    revision: Revision,
    document: Arc<Document>,
    /// Positions in the keys of the document.
    keys: HashMap<KeyHash, usize>,
    /// Positions in the targets of the document.
    targets: HashMap<ServiceId, Vec<usize>>,
    /// Routes of each service, those with the longest path first and those for one method before those for any.
    routes: HashMap<ServiceId, Vec<Route>>,
    sharings: HashMap<ServiceId, Vec<Sharing>>,
    trainings: HashMap<(OrganisationId, ServiceId), Training>,
}

impl ActiveConfig {
    /// Compiles the document of one revision.
    pub fn compile(revision: Revision, document: impl Into<Arc<Document>>) -> Arc<Self> {
        let document = document.into();
        let mut config = Self {
            revision,
            ..Self::default()
        };
        for (position, key) in document.keys.values().enumerate() {
            config.keys.insert(key.sha256, position);
        }
        config.targets = positions_by_service(&document);
        for sharing in document.sharings.values() {
            let sharings = config.sharings.entry(sharing.service.clone()).or_default();
            sharings.push(sharing.clone());
        }
        for training in document.trainings.values() {
            let pair = (training.organisation.clone(), training.service.clone());
            config.trainings.insert(pair, training.clone());
        }
        config.routes = sorted_routes(&document);
        config.document = document;
        Arc::new(config)
    }

    /// The revision that was compiled.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The document that was compiled.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The key whose secret has this hash. The cost does not depend on the number of keys.
    pub fn key(&self, hash: &KeyHash) -> Option<&Key> {
        let position = self.keys.get(hash)?;
        self.document.keys.get_index(*position).map(|(_, key)| key)
    }

    /// A service.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.document.services.get(id)
    }

    /// A target.
    pub fn target(&self, id: &TargetId) -> Option<&Target> {
        self.document.targets.get(id)
    }

    /// The targets of a service in the order of the document, leaving ones included.
    pub fn targets_of(&self, service: &ServiceId) -> impl Iterator<Item = &Target> {
        let positions = self.targets.get(service).into_iter().flatten();
        positions.filter_map(|position| {
            self.document
                .targets
                .get_index(*position)
                .map(|(_, target)| target)
        })
    }

    /// The route with the longest path that covers a call; `path` is what follows the service in the request path, with
    /// its leading `/` and without the query.
    ///
    /// A call that no route covers is not allowed. Neither is a path that targets could read in different ways; see
    /// [`crate::PathPrefix`].
    pub fn route(&self, service: &ServiceId, method: Method, path: &str) -> Option<&Route> {
        let segments = decoded_segments(path)?;
        let mut routes = self.routes.get(service)?.iter();
        routes.find(|route| covers_method(route.method, method) && route.path.covers(&segments))
    }

    /// The shares of a service. Organisations without one share with weight 1.
    pub fn sharings_of(&self, service: &ServiceId) -> &[Sharing] {
        self.sharings.get(service).map_or(&[], Vec::as_slice)
    }

    /// The bounds on an organisation's training with a service; without them it may not train there.
    pub fn training(&self, organisation: &OrganisationId, service: &ServiceId) -> Option<&Training> {
        self.trainings.get(&(organisation.clone(), service.clone()))
    }
}

fn positions_by_service(document: &Document) -> HashMap<ServiceId, Vec<usize>> {
    let mut positions: HashMap<ServiceId, Vec<usize>> = HashMap::new();
    for (position, target) in document.targets.values().enumerate() {
        match positions.get_mut(&target.service) {
            Some(of_service) => of_service.push(position),
            None => {
                positions.insert(target.service.clone(), vec![position]);
            }
        }
    }
    positions
}

fn covers_method(filter: MethodFilter, method: Method) -> bool {
    match filter {
        MethodFilter::Any => true,
        MethodFilter::Only(only) => only == method,
    }
}

fn sorted_routes(document: &Document) -> HashMap<ServiceId, Vec<Route>> {
    let mut routes: HashMap<ServiceId, Vec<Route>> = HashMap::new();
    for route in document.routes.values() {
        let of_service = routes.entry(route.service.clone()).or_default();
        of_service.push(route.clone());
    }
    for of_service in routes.values_mut() {
        of_service.sort_by_key(|route| {
            let any_method = route.method == MethodFilter::Any;
            (std::cmp::Reverse(route.path.depth()), any_method)
        });
    }
    routes
}
