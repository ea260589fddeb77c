//! Ids of the simulated objects, derived from their numbers.

use jm_types::{MemberId, OrganisationId, ServiceId, TargetId, ZoneId};

const VALID_ID: &str = "letters, digits and '-' form a valid id";

/// The only service of the harness, `drafts`.
pub fn service() -> ServiceId {
    ServiceId::new("drafts").expect(VALID_ID)
}

/// Id `org-{number}` of an organisation.
pub fn organisation(number: usize) -> OrganisationId {
    OrganisationId::new(format!("org-{number}")).expect(VALID_ID)
}

/// Id `engine-{number}` of an engine.
pub fn target(number: usize) -> TargetId {
    TargetId::new(format!("engine-{number}")).expect(VALID_ID)
}

/// Id `zone-{number}` of an availability zone.
pub fn zone(number: usize) -> ZoneId {
    ZoneId::new(format!("zone-{number}")).expect(VALID_ID)
}

/// Id `dispatch-{number}` of a dispatch daemon.
pub fn member(number: usize) -> MemberId {
    MemberId::new(format!("dispatch-{number}")).expect(VALID_ID)
}
