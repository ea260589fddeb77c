//! Collects the status of this host.

use jm_batch::{BatchPhase, BatchService, RoutingSource};
use jm_member::{MemberState, MemberView};
use jm_types::MemberId;

use crate::{
    cluster_state::ClusterState,
    duty::LeaseView,
    membership::Membership,
    status::{EvacuatedZone, HostStatus, MemberStatus, OpenBatch, TargetStatus},
};

/// The status of this host.
pub(super) fn host_status(
    membership: &Membership,
    cluster: &ClusterState,
    batches: &BatchService,
    lease: &LeaseView,
    now_unix_ms: u64,
) -> HostStatus {
    HostStatus {
        host: membership.own_id().clone(),
        incarnation: membership.incarnation(),
        is_leaving: membership.is_leaving(),
        config_revision: cluster.revision(),
        lease_holder: lease.holder(),
        members: members(membership.own_id(), &membership.view()),
        targets: targets(cluster),
        open_batches: open_batches(batches),
        evacuated_zones: evacuated_zones(cluster, now_unix_ms),
    }
}

fn evacuated_zones(cluster: &ClusterState, now_unix_ms: u64) -> Vec<EvacuatedZone> {
    let zones = cluster.evacuated_zones().into_iter();
    zones
        .map(|(zone, lasting_ms)| EvacuatedZone {
            zone,
            since_unix_ms: now_unix_ms.saturating_sub(lasting_ms.get()),
        })
        .collect()
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
