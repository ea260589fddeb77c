//! The border to the platform: what a host needs of it, in the product's own types.

use std::sync::Arc;

use async_trait::async_trait;
use indexmap::IndexMap;
use jm_batch::Generator;
use jm_forward::{RoutingTable, Target, TargetClient};
use jm_lease::LeaseGuard;
use jm_plan::DesiredTargets;
use jm_platform::ObjectStore;
use jm_types::{ModelId, OrganisationId, WeightVersion};
use jm_usage::WindowId;
use snafu::Snafu;

/// An object of the platform cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct DecodeError {
    /// What is wrong with it.
    pub reason: String,
}

/// Reads the objects that the platform's operators, trainers and targets write.
pub trait PlatformObjects: Send + Sync {
    /// Key of the configuration.
    fn routing_key(&self) -> &'static str;

    /// Prefix of the keys of targets.
    fn targets_prefix(&self) -> &'static str;

    /// Prefix of the keys of weight versions.
    fn versions_prefix(&self) -> &'static str;

    /// Prefix of the keys of requests to empty a host.
    fn retirements_prefix(&self) -> &'static str;

    /// The configuration.
    ///
    /// # Errors
    ///
    /// Fails when the object is not a configuration.
    fn routing(&self, value: &[u8]) -> Result<RoutingTable, DecodeError>;

    /// The target that an entry describes.
    ///
    /// # Errors
    ///
    /// Fails when the entry describes none, because another writer made it.
    fn target(&self, key: &str, value: &[u8]) -> Result<Target, DecodeError>;

    /// The newest version of a model.
    ///
    /// # Errors
    ///
    /// Fails when the object names none.
    fn version(&self, value: &[u8]) -> Result<(ModelId, WeightVersion), DecodeError>;
}

/// What an engine says of itself at this moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Weights by model.
    pub models: IndexMap<ModelId, WeightVersion>,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Orders that it has accepted since its start.
    pub accepted_orders: u64,
}

/// An order to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: WeightVersion,
    /// Orders that the engine must have accepted before; it refuses this one otherwise.
    pub accepted_orders: u64,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The engine carries it out.
    Accepted,
    /// The engine has these weights.
    AlreadyLoaded,
    /// The engine refused it.
    Refused {
        /// Status or cause.
        reason: String,
    },
    /// Nothing was sent.
    NotSent {
        /// The cause.
        reason: String,
    },
    /// No answer came; it may be carried out later.
    Unknown {
        /// The cause.
        reason: String,
    },
}

/// What became of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum DutyCallError {
    /// Nothing was sent, or the platform did nothing.
    #[snafu(display("not done: {reason}"))]
    NotApplied {
        /// The cause.
        reason: String,
    },
    /// No answer came; it may have been done.
    #[snafu(display("outcome unknown: {reason}"))]
    Unknown {
        /// The cause.
        reason: String,
    },
}

/// Calls that only the holder of the lease makes. Each checks the lease right before it writes.
#[async_trait]
pub trait DutyCalls: Send + Sync {
    /// Asks an engine for its weights and orders. Anybody may ask.
    async fn engine_report(&self, target: &Target) -> Option<EngineReport>;

    /// Orders an engine to load weights.
    async fn load_weights(&self, target: &Target, order: &LoadOrder, guard: &LeaseGuard) -> LoadOutcome;

    /// Reports one usage window; the bytes are those that were sealed.
    async fn report_usage(
        &self,
        window: WindowId,
        sealed: &[u8],
        guard: &LeaseGuard,
    ) -> Result<(), DutyCallError>;

    /// The bytes of a report.
    fn usage_report(&self, window: WindowId, counts: &IndexMap<OrganisationId, u64>) -> Vec<u8>;

    /// Orders a number of targets of a service in an availability zone.
    async fn order_targets(&self, wanted: &DesiredTargets, guard: &LeaseGuard) -> Result<(), DutyCallError>;

    /// Says that a host is emptied.
    async fn mark_retired(&self, host: &str) -> Result<(), DutyCallError>;
}

/// Everything of the platform that a host uses.
#[derive(Clone)]
pub struct PlatformParts {
    /// Objects of the product.
    pub store: Arc<dyn ObjectStore>,
    /// Objects of the platform.
    pub platform_store: Arc<dyn ObjectStore>,
    /// Reads the platform's objects.
    pub objects: Arc<dyn PlatformObjects>,
    /// Calls of duties.
    pub duties: Arc<dyn DutyCalls>,
    /// Carries requests to targets.
    pub targets: Arc<dyn TargetClient>,
    /// Runs items on engines.
    pub generator: Arc<dyn Generator>,
}
