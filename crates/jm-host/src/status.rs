//! Status of a host for operators: its view of members, targets, batches and the lease.

use std::{net::SocketAddr, time::Duration};

use async_std::future::timeout;
use jm_batch::{BatchPhase, BatchService, RoutingSource};
use jm_http::{Client, Limits, Method, Request, Reuse, StatusCode, Url};
use jm_member::{MemberState, MemberView};
use jm_node::{decode, encode};
use jm_types::{
    BatchId, Incarnation, MemberId, ModelId, Revision, ServiceId, TargetId, WeightVersion, ZoneId,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    cluster_state::ClusterState,
    duty::LeaseView,
    membership::Membership,
    peer::{PEER_PATH, PeerReply, PeerRequest},
};

/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// State of a member in the reporting host's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identifier of the member.
    pub host: MemberId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// `alive`, `leaving`, `suspected` or `failed`.
    pub state: String,
}

/// State of a target in the reporting host's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Identifier of the target.
    pub target: TargetId,
    /// Service that the target is an instance of.
    pub service: ServiceId,
    /// Whether new work is sent to the target.
    pub is_serving: bool,
    /// Weight version of each model, as listed by the platform.
    pub weights: Vec<(ModelId, WeightVersion)>,
}

/// A batch that has not finished.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenBatch {
    /// Identifier of the batch.
    pub batch: BatchId,
    /// Host that runs the batch.
    pub owner: MemberId,
    /// Number of items in the batch.
    pub items: usize,
}

/// Status of one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Identifier of the host.
    pub host: MemberId,
    /// Incarnation, which is new with each start.
    pub incarnation: Incarnation,
    /// Whether the host is about to stop.
    pub is_leaving: bool,
    /// Revision of the active configuration; zero before the first one.
    pub config_revision: Revision,
    /// Holder of the lease of the shared duties, or `None` when unknown.
    pub lease_holder: Option<MemberId>,
    /// Other hosts with their states in the failure detector.
    pub members: Vec<MemberStatus>,
    /// Listed targets, including those that no longer get work.
    pub targets: Vec<TargetStatus>,
    /// Batches that have not finished.
    pub open_batches: Vec<OpenBatch>,
}

impl HostStatus {
    pub(crate) fn collect(
        membership: &Membership,
        cluster: &ClusterState,
        batches: &BatchService,
        lease: &LeaseView,
    ) -> Self {
        Self {
            host: membership.own_id().clone(),
            incarnation: membership.incarnation(),
            is_leaving: membership.is_leaving(),
            config_revision: cluster.revision(),
            lease_holder: lease.holder(),
            members: members(membership.own_id(), &membership.view()),
            targets: targets(cluster),
            open_batches: open_batches(batches),
        }
    }
}

fn members(own: &MemberId, view: &MemberView) -> Vec<MemberStatus> {
    let others = view.iter().filter(|member| member.record.id != *own);
    others
        .map(|member| MemberStatus {
            host: member.record.id.clone(),
            zone: member.record.zone.clone(),
            state: state_name(member.state).to_owned(),
        })
        .collect()
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Leaving => "leaving",
        MemberState::Suspected => "suspected",
        MemberState::Failed => "failed",
    }
}

fn targets(cluster: &ClusterState) -> Vec<TargetStatus> {
    let catalog = cluster.catalog();
    let targets = catalog.iter().map(|target| TargetStatus {
        target: target.run.id.clone(),
        service: target.service.clone(),
        is_serving: target.is_serving(),
        weights: target
            .models
            .iter()
            .map(|(model, version)| (model.clone(), *version))
            .collect(),
    });
    targets.collect()
}

fn open_batches(batches: &BatchService) -> Vec<OpenBatch> {
    let states = batches.known_states().into_iter();
    states
        .filter(|state| state.phase == BatchPhase::Running)
        .map(|state| OpenBatch {
            batch: state.batch,
            owner: state.owner,
            items: state.items,
        })
        .collect()
}

/// The status of a host could not be fetched.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "cannot fetch the status of the host at {address}: {reason}; use the address of its peers' port"
))]
pub struct StatusError {
    address: SocketAddr,
    reason: String,
}

/// Fetches the status of a host. `address` is the one on which the host serves its peers.
///
/// # Errors
///
/// Fails when the host does not answer within 3 s or the reply is not a status.
pub async fn fetch_status(address: SocketAddr) -> Result<HostStatus, StatusError> {
    let failed = |reason: String| StatusError { address, reason };
    let url =
        Url::parse(&format!("http://{address}{PEER_PATH}")).map_err(|error| failed(error.to_string()))?;
    let mut call = Request::new(Method::Post, url);
    call.set_body(encode(&PeerRequest::Status));
    let client = Client::new(Limits::default());
    let exchange = async {
        let mut response = client
            .send_to(address.to_string(), call, Reuse::Fresh)
            .await
            .map_err(|error| error.to_string())?;
        if response.status() != StatusCode::Ok {
            return Err(format!("status {}", response.status()));
        }
        let body = client.read_body(&mut response).await;
        let body = body.map_err(|error| error.to_string())?;
        decode::<PeerReply>(&body).map_err(|error| error.to_string())
    };
    match timeout(STATUS_TIMEOUT, exchange).await {
        Ok(Ok(PeerReply::Status(status))) => Ok(status),
        Ok(Ok(_)) => Err(failed("unexpected reply".to_owned())),
        Ok(Err(reason)) => Err(failed(reason)),
        Err(_) => Err(failed("no answer in time".to_owned())),
    }
}
