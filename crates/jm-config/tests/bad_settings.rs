//! Guards against invalid settings that are accepted, or that are refused with the wrong line or code.

use jm_config::{LogFormat, Role, Settings};
use jm_http::Limits;
use jm_types::{ByteSize, DurationMs, ResultCode, TokenCount};

const SAMPLE: &str = include_str!("../../../config/host-a.ini");

const MINIMAL: &str = "\
[daemon]
id = d1
zone = z1
region = r1
roles = control
[control]
link_listen = 0.0.0.0:7200
advertised = 10.0.0.1:7200
admin_listen = 0.0.0.0:7201
[member]
listen = 0.0.0.0:7300
advertised = 10.0.0.1:7300
[platform]
object_url = http://10.0.0.9:9000/objects/
host_list_url = http://10.0.0.9:9000/hosts
targets_url = http://10.0.0.9:9000/targets
usage_url = http://10.0.0.9:9000/usage
weights_url = http://10.0.0.9:9000/weights
[link]
secret = 0123456789abcdef0123456789abcdef
";

fn places(text: &str) -> Vec<(usize, ResultCode)> {
    match Settings::parse("host.ini", text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors
            .errors()
            .iter()
            .map(|error| (error.line, error.code))
            .collect(),
    }
}

/// Replaces one line of the minimal settings and compares the errors as (line, code).
#[track_caller]
fn expect_errors(line: usize, with: &str, expected: &[(usize, ResultCode)]) {
    let mut lines: Vec<_> = MINIMAL.lines().collect();
    lines[line - 1] = with;
    assert_eq!(places(&lines.join("\n")), expected, "with {with:?}");
}

#[test]
fn defaults_apply() {
    let settings = Settings::parse("host.ini", MINIMAL).expect("valid");
    assert_eq!(settings.daemon.roles, [Role::Control]);
    assert_eq!(settings.daemon.data_folder, None);
    assert!(settings.entry.is_none() && settings.dispatch.is_none() && settings.control.is_some());
    assert_eq!(settings.member.probe_interval_ms, DurationMs::new(500));
    assert_eq!(settings.log.format, LogFormat::Pattern);
    assert_eq!(settings.log.level, log::LevelFilter::Info);
    assert!(settings.admin.token_sha256.is_none());
    assert_eq!(settings.limits.connections, Limits::default().connections);
}

#[test]
fn role_sections_have_defaults() {
    let text = MINIMAL.replace("roles = control", "roles = entry, dispatch, control");
    let entry = "[entry]\nlisten = 0.0.0.0:1\nadmin_listen = 0.0.0.0:2\nadvertised = 10.0.0.1:1\n";
    let dispatch = "[dispatch]\nlink_listen = 0.0.0.0:3\nadmin_listen = 0.0.0.0:4\nadvertised = 10.0.0.1:3\n";
    let settings = Settings::parse("host.ini", &format!("{text}{entry}{dispatch}")).expect("valid");
    assert_eq!(settings.entry.expect("role entry").keep_s, 5);
    let dispatch = settings.dispatch.expect("role dispatch");
    assert_eq!(dispatch.window_tokens, TokenCount::new(32_768));
    assert_eq!(dispatch.queue_bound, 10_000);
}

/// Guards against a field of `Limits` without a setting. The exhaustive pattern fails to compile if a field is added.
#[test]
fn every_limit_has_a_setting() {
    let text = format!(
        "{MINIMAL}[limits]\nhead_bytes = 9KB\nbody_bytes = 2MB\nbuffered_bytes = 3MB\nhead_timeout = 1s\nbody_timeout = 2s\n\
         idle_timeout = 3s\nconnect_timeout = 4s\nanswer_timeout = 5s\nconnections = 6\n"
    );
    let Limits {
        head_bytes,
        body_bytes,
        buffered_bytes,
        head_timeout_ms,
        body_timeout_ms,
        idle_timeout_ms,
        connect_timeout_ms,
        answer_timeout_ms,
        connections,
    } = Settings::parse("host.ini", &text).expect("valid").limits;
    assert_eq!(
        [head_bytes, body_bytes, buffered_bytes].map(ByteSize::get),
        [9_000, 2_000_000, 3_000_000]
    );
    let timeouts = [
        head_timeout_ms,
        body_timeout_ms,
        idle_timeout_ms,
        connect_timeout_ms,
        answer_timeout_ms,
    ];
    assert_eq!(timeouts.map(DurationMs::get), [1_000, 2_000, 3_000, 4_000, 5_000]);
    assert_eq!(connections, 6);
}

#[test]
fn bad_values() {
    expect_errors(2, "id = a b", &[(2, ResultCode::BadValue)]);
    expect_errors(5, "roles = control, typist", &[(5, ResultCode::BadValue)]);
    expect_errors(5, "roles = control, control", &[(5, ResultCode::BadValue)]);
    expect_errors(7, "link_listen = localhost:7200", &[(7, ResultCode::BadValue)]);
    expect_errors(8, "advertised = 0.0.0.0:7200", &[(8, ResultCode::OutOfRange)]);
    expect_errors(
        14,
        "object_url = https://10.0.0.9/",
        &[(14, ResultCode::BadValue)],
    );
    expect_errors(14, "object_url = 10.0.0.9:9000", &[(14, ResultCode::BadValue)]);
    expect_errors(
        14,
        "object_url = http://10.0.0.9/?a=b",
        &[(14, ResultCode::BadValue)],
    );
    expect_errors(20, "secret = short", &[(20, ResultCode::BadValue)]);
}

#[test]
fn unknown_duplicate_and_missing() {
    expect_errors(
        1,
        "[deamon]",
        &[(1, ResultCode::UnknownSection), (1, ResultCode::MissingSetting)],
    );
    expect_errors(
        3,
        "zoone = z1",
        &[(1, ResultCode::MissingSetting), (3, ResultCode::UnknownSetting)],
    );
    expect_errors(
        3,
        "id = d1",
        &[(1, ResultCode::MissingSetting), (3, ResultCode::Duplicate)],
    );
    expect_errors(5, "roles = control, entry", &[(1, ResultCode::MissingSetting)]);
    expect_errors(5, "", &[(1, ResultCode::MissingSetting)]);
}

/// Guards against an error that stays hidden in the section of an inactive role until the role is enabled.
#[test]
fn section_of_an_inactive_role_is_checked() {
    let text = format!("{MINIMAL}[entry]\nkeep_s = 0\n");
    let missing = (21, ResultCode::MissingSetting);
    assert_eq!(
        places(&text),
        [missing, missing, missing, (22, ResultCode::OutOfRange)]
    );
}

#[test]
fn limits_are_bounded() {
    for (line, code) in [
        ("head_bytes = 8", ResultCode::BadValue),
        ("head_bytes = 1B", ResultCode::OutOfRange),
        ("body_timeout = 5 minutes", ResultCode::BadValue),
        ("idle_timeout = 0ms", ResultCode::OutOfRange),
        ("connections = 0", ResultCode::OutOfRange),
        ("body_bytes = 99999999999999999999B", ResultCode::BadValue),
        ("max_speed = 4", ResultCode::UnknownSetting),
    ] {
        assert_eq!(
            places(&format!("{MINIMAL}[limits]\n{line}\n")),
            [(22, code)],
            "with {line:?}"
        );
    }
}

#[test]
fn debug_and_messages_hide_the_fleet_secret() {
    let settings = Settings::parse("host.ini", MINIMAL).expect("valid");
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
    let text = MINIMAL.replace(
        "secret = 0123456789abcdef0123456789abcdef",
        "secret = hidden-and-short",
    );
    let errors = Settings::parse("host.ini", &text).expect_err("too short");
    assert!(!format!("{errors} {errors:?}").contains("hidden-and-short"));
}

#[test]
fn sample_settings_are_valid() {
    let settings = Settings::parse("host-a.ini", SAMPLE).expect("valid");
    assert_eq!(settings.daemon.zone.as_str(), "riga-a");
    for (name, text) in [
        ("host-b.ini", include_str!("../../../config/host-b.ini")),
        ("host-c.ini", include_str!("../../../config/host-c.ini")),
    ] {
        Settings::parse(name, text).expect("valid");
    }
}
