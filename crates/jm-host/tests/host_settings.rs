//! Guards against a host that starts with unusable settings, and against errors that do not name the faulty setting.

use jm_host::{CpuCapacity, HostSettings, SettingsError};
use jm_types::{ByteSize, DurationMs};

const SETTINGS: &str = "\
[host]
id = host-a
zone = riga-a
region = baltic-north
colour = unknown keys are ignored

[listen]
callers = 127.0.0.1:8000
ready = 127.0.0.1:8001
addresses = 127.0.0.1:8002
peers = 127.0.0.1:8003
members = 127.0.0.1:8004
metrics = 127.0.0.1:8005

[platform]
store = 127.0.0.1:9000
duties = 127.0.0.1:9001
seeds = 127.0.0.1:8003, 127.0.0.2:8003

[bounds]
grace = 8s
lease = 3000ms
usage_window = 5s
batch_keep = 120s
";

#[test]
fn whole_file() {
    let settings = HostSettings::parse(SETTINGS).unwrap();
    assert_eq!(settings.id.as_str(), "host-a");
    assert_eq!(settings.bounds.grace_ms, DurationMs::new(8_000));
    assert_eq!(settings.seeds.len(), 2);
}

/// A deployment that states no processor time must start, and an unusable figure must name its key.
#[test]
fn processor_time() {
    assert_eq!(HostSettings::parse(SETTINGS).unwrap().cpu, None);
    let stated = SETTINGS.replace("[listen]", "cpu = 0.12\n\n[listen]");
    let cpu = HostSettings::parse(&stated).unwrap().cpu;
    assert_eq!(cpu, Some(CpuCapacity::from_millicores(120)));
    let wrong = SETTINGS.replace("[listen]", "cpu = many\n\n[listen]");
    let error = HostSettings::parse(&wrong).unwrap_err();
    assert!(error.to_string().starts_with("[host] cpu = \"many\""));
}

/// Without a deployment name, hosts that use different addresses of the store ignored one another's datagrams.
#[test]
fn deployment_name() {
    assert_eq!(HostSettings::parse(SETTINGS).unwrap().fleet, "127.0.0.1:9000");
    let named = SETTINGS.replace("[platform]", "[platform]\nfleet = riga");
    assert_eq!(HostSettings::parse(&named).unwrap().fleet, "riga");
}

/// Hosts behind a forwarded port registered an address that other hosts could not reach.
#[test]
fn announced_address() {
    let settings = HostSettings::parse(SETTINGS).unwrap();
    assert_eq!(settings.announced_peers, settings.listen.peers);
    let forwarded =
        HostSettings::parse(&format!("{SETTINGS}\n[announce]\npeers = 127.0.0.9:9003\n")).unwrap();
    assert_eq!(forwarded.announced_peers, "127.0.0.9:9003".parse().unwrap());
    assert_eq!(forwarded.listen.peers, settings.listen.peers);
    let error = HostSettings::parse(&format!("{SETTINGS}\n[announce]\npeers = here\n")).unwrap_err();
    assert!(
        error.to_string().starts_with("[announce] peers = \"here\""),
        "{error}"
    );
}

/// Guards against a deployment without evacuations that cannot start, or that waits for evacuations forever.
#[test]
fn optional_evacuations() {
    let with =
        |line: &str| HostSettings::parse(&format!("{SETTINGS}{line}\n")).map(|it| it.bounds.evacuate_ms);
    assert_eq!(with("").unwrap(), None);
    assert_eq!(with("evacuate =").unwrap(), None);
    assert_eq!(with("evacuate = 5000ms").unwrap(), Some(DurationMs::new(5_000)));
    let error = with("evacuate = soon").unwrap_err().to_string();
    assert!(error.starts_with("[bounds] evacuate = \"soon\""), "{error}");
}

#[test]
fn no_seeds() {
    let settings = HostSettings::parse(&SETTINGS.replace("127.0.0.1:8003, 127.0.0.2:8003", "")).unwrap();
    assert!(settings.seeds.is_empty());
}

#[test]
fn error_names_missing_key() {
    let error = HostSettings::parse(&SETTINGS.replace("zone = riga-a", "")).unwrap_err();
    assert_eq!(error.to_string(), "[host] zone is missing");
    let error = HostSettings::parse(&SETTINGS.replace("127.0.0.1:9001", "")).unwrap_err();
    assert_eq!(error.to_string(), "[platform] duties is missing");
}

#[test]
fn error_names_invalid_value() {
    let error = HostSettings::parse(&SETTINGS.replace("grace = 8s", "grace = 8")).unwrap_err();
    assert!(matches!(error, SettingsError::Invalid { .. }), "{error}");
    assert!(
        error
            .to_string()
            .starts_with("[bounds] grace = \"8\" cannot be used"),
        "{error}"
    );
    let error = HostSettings::parse(&SETTINGS.replace("127.0.0.1:8000", "somewhere")).unwrap_err();
    assert!(
        error.to_string().contains("[listen] callers = \"somewhere\""),
        "{error}"
    );
}

#[test]
fn missing_file() {
    let error = HostSettings::read(std::path::Path::new("no-such-file.ini")).unwrap_err();
    assert!(error.to_string().contains("no-such-file.ini"), "{error}");
}

/// Guards against a budget that cannot hold the largest permitted body (33,554,432 bytes) on the smallest machine, or one
/// that leaves no memory for anything else.
#[test]
fn memory_budget() {
    let parse = |text: &str| HostSettings::parse(&format!("{SETTINGS}\n[limits]\n{text}\n"));
    let smallest = parse("memory = 110MB").unwrap().limits;
    assert_eq!(smallest.memory, ByteSize::new(110_000_000));
    assert!(smallest.buffers().get() > 33_554_432 + 1_000_000);
    assert!(smallest.buffers().get() < 55_000_000);
    let default = HostSettings::parse(SETTINGS).unwrap().limits;
    assert_eq!(default.memory, ByteSize::new(512_000_000));
    assert_eq!(parse("memory =").unwrap().limits, default);
    assert_eq!(
        parse("memory = 110.25MB").unwrap().limits.memory,
        ByteSize::new(110_250_000)
    );
    for text in [
        "memory = much",
        "memory = 0MB",
        "memory = -1MB",
        "memory = NaNMB",
        "memory = 110",
    ] {
        let error = parse(text).unwrap_err().to_string();
        assert!(error.starts_with("[limits] memory = "), "{error}");
    }
}
