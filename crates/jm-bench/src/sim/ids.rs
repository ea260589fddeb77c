//! Ids of the fake objects, by number.

use jm_types::{MemberId, OrganisationId, ServiceId, TargetId, ZoneId};

const VALID: &str = "letters, digits and '-' form a valid id";

/// The one service of the harness.
pub fn service() -> ServiceId {
    ServiceId::new("drafts").expect(VALID)
}

/// Organisation number `number`.
pub fn organisation(number: usize) -> OrganisationId {
    OrganisationId::new(format!("org-{number}")).expect(VALID)
}

/// Engine number `number`.
pub fn target(number: usize) -> TargetId {
    TargetId::new(format!("engine-{number}")).expect(VALID)
}

/// Zone number `number`.
pub fn zone(number: usize) -> ZoneId {
    ZoneId::new(format!("zone-{number}")).expect(VALID)
}

/// Dispatch daemon number `number`.
pub fn member(number: usize) -> MemberId {
    MemberId::new(format!("dispatch-{number}")).expect(VALID)
}
