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
    /// Index of each key in `document.keys`.
    keys: HashMap<KeyHash, usize>,
    /// Indices in `document.targets` of the targets of each service.
    targets: HashMap<ServiceId, Vec<usize>>,
    /// Routes of each service, sorted by path depth in descending order. At equal depth, a route for one method
    /// precedes a route for any method.
    routes: HashMap<ServiceId, Vec<Route>>,
    sharings: HashMap<ServiceId, Vec<Sharing>>,
    trainings: HashMap<(OrganisationId, ServiceId), Training>,
}

impl ActiveConfig {
    /// Builds the lookup tables for the document of `revision`.
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

    /// The revision that this configuration was compiled from.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The document that this configuration was compiled from.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Finds a key by the hash of its secret. The cost does not depend on the number of keys.
    pub fn key(&self, hash: &KeyHash) -> Option<&Key> {
        let position = self.keys.get(hash)?;
        self.document.keys.get_index(*position).map(|(_, key)| key)
    }

    /// Finds a service by its id.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.document.services.get(id)
    }

    /// Finds a configured target by its id. Targets that were ordered from the platform are not included.
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

    /// Finds the route with the longest path prefix that matches a call. `path` is the part of the request path after
    /// the service id, with its leading `/` and without the query.
    ///
    /// `None` means that the call is not allowed: either no route matches it, or `path` is ambiguous, so that targets
    /// could interpret it in different ways. See [`crate::PathPrefix`].
    pub fn route(&self, service: &ServiceId, method: Method, path: &str) -> Option<&Route> {
        let segments = decoded_segments(path)?;
        let mut routes = self.routes.get(service)?.iter();
        routes.find(|route| matches_method(route.method, method) && route.path.matches(&segments))
    }

    /// The configured shares of a service. An organisation without a configured share has weight 1.
    pub fn sharings_of(&self, service: &ServiceId) -> &[Sharing] {
        self.sharings.get(service).map_or(&[], Vec::as_slice)
    }

    /// The bounds on an organisation's training with a service. `None` means that the organisation may not train with
    /// it.
    pub fn training(&self, organisation: &OrganisationId, service: &ServiceId) -> Option<&Training> {
        self.trainings.get(&(organisation.clone(), service.clone()))
    }
}

fn positions_by_service(document: &Document) -> HashMap<ServiceId, Vec<usize>> {
    let mut positions: HashMap<ServiceId, Vec<usize>> = HashMap::new();
    for (position, target) in document.targets.values().enumerate() {
        match positions.get_mut(&target.service) {
            Some(service_positions) => service_positions.push(position),
            None => {
                positions.insert(target.service.clone(), vec![position]);
            }
        }
    }
    positions
}

fn matches_method(filter: MethodFilter, method: Method) -> bool {
    match filter {
        MethodFilter::Any => true,
        MethodFilter::Only(only) => only == method,
    }
}

fn sorted_routes(document: &Document) -> HashMap<ServiceId, Vec<Route>> {
    let mut routes: HashMap<ServiceId, Vec<Route>> = HashMap::new();
    for route in document.routes.values() {
        let service_routes = routes.entry(route.service.clone()).or_default();
        service_routes.push(route.clone());
    }
    for service_routes in routes.values_mut() {
        service_routes.sort_by_key(|route| {
            let any_method = route.method == MethodFilter::Any;
            (std::cmp::Reverse(route.path.depth()), any_method)
        });
    }
    routes
}
