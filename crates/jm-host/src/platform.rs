//! Interface to the platform, expressed in the product's own types.

use std::sync::Arc;

use async_trait::async_trait;
use indexmap::IndexMap;
use jm_batch::{Generator, RewardClient};
use jm_forward::{RoutingTable, Target, TargetClient, TargetNotices};
use jm_http::BufferBudget;
use jm_lease::LeaseGuard;
use jm_plan::DesiredTargets;
use jm_platform::{ListingCounts, ObjectStore};
use jm_types::{ModelId, OrganisationId, WeightVersion, ZoneId};
use jm_usage::WindowId;
use snafu::Snafu;

/// An object written by the platform cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{reason}"))]
pub struct DecodeError {
    /// Why decoding failed.
    pub reason: String,
}

/// Decodes the objects that the platform's operators, trainers and targets write.
pub trait PlatformObjects: Send + Sync {
    /// Key of the configuration object.
    fn routing_key(&self) -> &'static str;

    /// Prefix of the keys of target entries.
    fn targets_prefix(&self) -> &'static str;

    /// Prefix of the keys of weight versions.
    fn versions_prefix(&self) -> &'static str;

    /// Prefix of the keys of requests to retire a host.
    fn retirements_prefix(&self) -> &'static str;

    /// Prefix of the keys of evacuations.
    fn evacuations_prefix(&self) -> &'static str;

    /// Decodes the availability zone of an evacuation, whose value has no meaning.
    ///
    /// # Errors
    ///
    /// Fails when the key does not name a zone.
    fn evacuated_zone(&self, key: &str) -> Result<ZoneId, DecodeError>;

    /// Decodes the configuration object.
    ///
    /// # Errors
    ///
    /// Fails when the object is not a configuration.
    fn routing(&self, value: &[u8]) -> Result<RoutingTable, DecodeError>;

    /// Decodes a target entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry is not a valid target, for example because another program wrote it.
    fn target(&self, key: &str, value: &[u8]) -> Result<Target, DecodeError>;

    /// Decodes the newest weight version of a model.
    ///
    /// # Errors
    ///
    /// Fails when the object contains no model with a version.
    fn version(&self, value: &[u8]) -> Result<(ModelId, WeightVersion), DecodeError>;
}

/// Current state of an engine, as it reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Loaded weight version of each model.
    pub models: IndexMap<ModelId, WeightVersion>,
    /// Whether the engine is executing an order.
    pub is_busy: bool,
    /// Number of orders accepted since the engine started.
    pub accepted_orders: u64,
}

/// An order to an engine to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// Model whose weights to load.
    pub model: ModelId,
    /// Version to load.
    pub version: WeightVersion,
    /// Number of orders that the engine must have accepted before. The engine refuses the order when its own number
    /// differs.
    pub accepted_orders: u64,
}

/// Outcome of a load order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The engine accepted the order and executes it.
    Accepted,
    /// The engine already has these weights.
    AlreadyLoaded,
    /// The engine refused the order.
    Refused {
        /// HTTP status or reason of the refusal.
        reason: String,
    },
    /// The order was not sent.
    NotSent {
        /// Why it was not sent.
        reason: String,
    },
    /// No answer was received; the engine may still execute the order.
    Unknown {
        /// Why no answer was received.
        reason: String,
    },
}

/// Error of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum DutyCallError {
    /// The call was not sent, or the platform rejected it without any effect.
    #[snafu(display("not applied: {reason}"))]
    NotApplied {
        /// Why the call had no effect.
        reason: String,
    },
    /// No answer was received; the call may have taken effect.
    #[snafu(display("outcome unknown: {reason}"))]
    Unknown {
        /// Why no answer was received.
        reason: String,
    },
}

/// Calls to the platform for the shared duties. Calls that take a guard are reserved to the holder of the lease and
/// check the lease immediately before sending.
#[async_trait]
pub trait DutyCalls: Send + Sync {
    /// Reads the weights and orders of an engine; `None` when the engine does not answer. Any host may call this.
    async fn engine_report(&self, target: &Target) -> Option<EngineReport>;

    /// Orders an engine to load weights; the engine executes the order asynchronously.
    async fn load_weights(&self, target: &Target, order: &LoadOrder, guard: &LeaseGuard) -> LoadOutcome;

    /// Reports one usage window. `sealed` contains the encoded report exactly as it was sealed in the store.
    async fn report_usage(
        &self,
        window: WindowId,
        sealed: &[u8],
        guard: &LeaseGuard,
    ) -> Result<(), DutyCallError>;

    /// Encodes the report of a usage window.
    fn usage_report(&self, window: WindowId, counts: &IndexMap<OrganisationId, u64>) -> Vec<u8>;

    /// Orders the platform to run a number of targets of a service in an availability zone.
    async fn order_targets(&self, desired: &DesiredTargets, guard: &LeaseGuard) -> Result<(), DutyCallError>;

    /// Reports to the platform that a host is empty and can be retired.
    async fn mark_retired(&self, host: &str) -> Result<(), DutyCallError>;
}

/// Connections to the platform that a host uses.
#[derive(Clone)]
pub struct PlatformParts {
    /// Store for the product's own objects.
    pub store: Arc<dyn ObjectStore>,
    /// Store that contains the platform's objects.
    pub platform_store: Arc<dyn ObjectStore>,
    /// Decodes the platform's objects.
    pub objects: Arc<dyn PlatformObjects>,
    /// Makes the calls of the shared duties.
    pub duties: Arc<dyn DutyCalls>,
    /// What targets report about themselves in their answers.
    pub notices: Arc<dyn TargetNotices>,
    /// Sends requests to targets.
    pub targets: Arc<dyn TargetClient>,
    /// Runs batch items on engines.
    pub generator: Arc<dyn Generator>,
    /// Sends the calls that score complete texts.
    pub rewards: Arc<dyn RewardClient>,
    /// Memory budget that the connections to the platform share with the servers of the host.
    pub buffers: BufferBudget,
    /// Counts of the listings that the clients of both stores read.
    pub listings: Arc<ListingCounts>,
}
