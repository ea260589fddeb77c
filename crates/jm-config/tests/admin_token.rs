//! Guards against an admin token that grants access to the sections of another team.

use jm_config::{AdminAccess, AdminSettings, KeySecret, Settings, Team};

const SAMPLE: &str = include_str!("../../../config/host-a.ini");

fn access(admin: &AdminSettings, token: &str) -> Option<AdminAccess> {
    admin.access(&KeySecret::from_text(token))
}

#[test]
fn token_grants_access_to_the_sections_of_its_team() {
    let admin = Settings::parse("host-a.ini", SAMPLE).expect("valid").admin;
    assert_eq!(access(&admin, "sample-admin-token"), Some(AdminAccess::All));
    for team in [Team::Sales, Team::Workshop, Team::Software] {
        let found = access(&admin, &format!("sample-{team}-token"));
        assert_eq!(found.and_then(AdminAccess::team), Some(team));
    }
}

#[test]
fn unknown_tokens_grant_no_access() {
    let admin = Settings::parse("host-a.ini", SAMPLE).expect("valid").admin;
    for token in ["", "sample-admin-token ", "sample-admin", "Sample-Admin-Token"] {
        assert_eq!(access(&admin, token), None, "{token:?}");
    }
}

/// Guards against access without configured tokens. Every hash is then `None`, which must not match any token.
#[test]
fn missing_settings_grant_no_access() {
    let admin = AdminSettings::default();
    for token in ["", "sample-admin-token"] {
        assert_eq!(access(&admin, token), None, "{token:?}");
    }
}
