//! Generates settings and an operators' document for a small fleet on loopback addresses.

use std::{
    fmt::Write,
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
};

use jm_config::KeySecret;

/// The admin token of the fleet. It need not be secret, because every address of the fleet is on loopback.
pub const ADMIN_TOKEN: &str = "demonstration-admin-token";

/// Name of the model that the document sets for the service `drafts` and that the engines must load.
pub const SAMPLE_MODEL: &str = "rack-small";

/// Availability zones, assigned to hosts and targets in round-robin order.
const ZONES: [&str; 3] = ["riga-a", "riga-b", "riga-c"];

/// Time for which callers cache the list of entry addresses, in seconds.
const KEEP_S: u64 = 1;

/// Loopback ports of the process of one host.
#[derive(Debug, Clone, Copy)]
pub struct HostPorts {
    /// HTTP port for callers.
    pub entry: u16,
    /// Admin API of the entry daemon.
    pub entry_admin: u16,
    /// Link port of the dispatch daemon.
    pub dispatch: u16,
    /// Metrics of the dispatch daemon.
    pub dispatch_admin: u16,
    /// Link port of the control daemon.
    pub control: u16,
    /// Metrics of the control daemon.
    pub control_admin: u16,
    /// Port of the failure detector.
    pub member: u16,
}

/// Lowest port that is assigned to hosts. The whole range lies below the ephemeral ports that systems use for outgoing
/// connections, so that a port stays free until its daemon binds it.
const FIRST_PORT: u16 = 10_000;

/// Size of the port range that starts at [`FIRST_PORT`].
const PORT_COUNT: u16 = 20_000;

/// Returns free ports for `hosts` hosts. Within one process, a port is not returned again before the whole range has
/// been tried.
///
/// # Errors
///
/// Fails when no port of the range is free.
pub fn free_ports(hosts: usize) -> io::Result<Vec<HostPorts>> {
    (0..hosts)
        .map(|_| {
            Ok(HostPorts {
                entry: free_port()?,
                entry_admin: free_port()?,
                dispatch: free_port()?,
                dispatch_admin: free_port()?,
                control: free_port()?,
                control_admin: free_port()?,
                member: free_port()?,
            })
        })
        .collect()
}

/// Returns a port that is free for TCP and UDP. Each process starts at a random port of the range, so that concurrent
/// processes rarely try the same port.
fn free_port() -> io::Result<u16> {
    static NEXT: OnceLock<AtomicU16> = OnceLock::new();
    let next = NEXT.get_or_init(|| AtomicU16::new(rand::random_range(0..PORT_COUNT)));
    let mut failure = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORT_COUNT {
        let port = FIRST_PORT + next.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let bound = TcpListener::bind(("127.0.0.1", port)).and_then(|_| UdpSocket::bind(("127.0.0.1", port)));
        match bound {
            Ok(_) => return Ok(port),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

/// Returns the settings of a process with all roles on host `index`. `platform` is the address of the platform.
pub fn settings_text(index: usize, ports: HostPorts, platform: SocketAddr) -> String {
    let zone = ZONES[index % ZONES.len()];
    let token = KeySecret::from_text(ADMIN_TOKEN).hash();
    let HostPorts {
        entry,
        entry_admin,
        dispatch,
        dispatch_admin,
        control,
        control_admin,
        member,
    } = ports;
    format!(
        "[daemon]\nid = host-{index}\nzone = {zone}\nregion = baltic-north\nroles = entry, dispatch, control\n\
         [entry]\nlisten = 127.0.0.1:{entry}\nadmin_listen = 127.0.0.1:{entry_admin}\n\
         advertised = 127.0.0.1:{entry}\nkeep_s = {KEEP_S}\n\
         [dispatch]\nlink_listen = 127.0.0.1:{dispatch}\nadvertised = 127.0.0.1:{dispatch}\n\
         admin_listen = 127.0.0.1:{dispatch_admin}\n\
         [control]\nlink_listen = 127.0.0.1:{control}\nadvertised = 127.0.0.1:{control}\n\
         admin_listen = 127.0.0.1:{control_admin}\n\
         [member]\nlisten = 127.0.0.1:{member}\nadvertised = 127.0.0.1:{member}\n\
         [platform]\nobject_url = http://{platform}/objects/\nhost_list_url = http://{platform}/hosts\n\
         targets_url = http://{platform}/targets\nusage_url = http://{platform}/usage\n\
         weights_url = http://{platform}/weights\n\
         [log]\nlevel = warn\n\
         [link]\nsecret = demonstration-fleet-secret-0123456789\n\
         [admin]\ntoken_sha256 = {token}\n"
    )
}

/// The targets and keys that [`document`] adds to its fixed sections.
#[derive(Debug, Clone, Default)]
pub struct DocumentParts {
    /// Addresses of the engines of the service `drafts`.
    pub engines: Vec<SocketAddr>,
    /// Addresses of the instances of the plain service `order-desk`.
    pub desks: Vec<SocketAddr>,
    /// Addresses of the instances of the plain service `catalogue`, which needs no key.
    pub catalogues: Vec<SocketAddr>,
    /// Name, organisation and secret of each key.
    pub keys: Vec<(String, String, String)>,
}

/// Returns the operators' document of the fleet as INI text.
pub fn document(parts: &DocumentParts) -> String {
    let mut text = String::from(FIXED_SECTIONS);
    for (name, organisation, secret) in &parts.keys {
        let hash = KeySecret::from_text(secret.clone()).hash();
        write_section(
            &mut text,
            &format!("[key {name}]\norganisation = {organisation}\nsha256 = {hash}"),
        );
    }
    for zone in ZONES {
        write_section(&mut text, &format!("[zone {zone}]\nregion = baltic-north"));
    }
    let targets = [
        ("drafts", &parts.engines),
        ("order-desk", &parts.desks),
        ("catalogue", &parts.catalogues),
    ];
    for (service, addresses) in targets {
        for (index, address) in addresses.iter().enumerate() {
            let zone = ZONES[index % ZONES.len()];
            let section = format!(
                "[target {service}-{index}]\nservice = {service}\nzone = {zone}\naddress = {address}\n\
                 kind = regular\nchecks_orders = yes"
            );
            write_section(&mut text, &section);
        }
    }
    text
}

fn write_section(text: &mut String, section: &str) {
    writeln!(text, "\n{section}").expect("writing to a string does not fail");
}

const FIXED_SECTIONS: &str = "\
[organisation kurpju]
name = Kurpju Plaukts SIA, day teams

[organisation parish]
name = Parish clerks

[service drafts]
kind = engine
model = rack-small
access = keyed
timeout = 2m
objective_percent = 99.9
objective_latency = 10s

[service order-desk]
kind = plain
access = keyed
timeout = 10s
objective_percent = 99.9
objective_latency = 1s

[service catalogue]
kind = plain
access = open
timeout = 5s

[route completions]
service = drafts
method = POST
path = /
organisations = all

[route place-order]
service = order-desk
method = POST
path = /orders
repeatable = no
organisations = parish

[route read-order]
service = order-desk
method = GET
path = /orders
organisations = parish, kurpju

[route catalogue]
service = catalogue
method = GET
path = /
organisations = all

[sharing kurpju-drafts]
service = drafts
organisation = kurpju
weight = 1
max_queued = 4096

[sharing parish-drafts]
service = drafts
organisation = parish
weight = 2
max_queued = 256

[training kurpju]
organisation = kurpju
service = drafts
max_staleness = 2
max_group_size = 16
";
