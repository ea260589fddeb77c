//! Ports for daemons that start after the port was chosen.

use std::{
    net::{TcpListener, UdpSocket},
    sync::atomic::{AtomicU16, Ordering},
};

use jacinthmoor::demo::HostPorts;

/// The first port. All ports lie below those that the system gives to outgoing connections, because one of these could
/// take a port between its choice and the start of the daemon.
const FIRST_PORT: u16 = 10_000;

/// Ports of one test process; another one most likely has another block.
const BLOCK: u16 = 500;
const BLOCKS: u16 = 44;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Ports of a number of hosts that no other fleet of this process uses.
pub(crate) fn host_ports(hosts: usize) -> Vec<HostPorts> {
    let one = |_| HostPorts {
        entry: next_port(),
        entry_admin: next_port(),
        dispatch: next_port(),
        dispatch_admin: next_port(),
        control: next_port(),
        control_admin: next_port(),
        member: next_port(),
    };
    (0..hosts).map(one).collect()
}

fn next_port() -> u16 {
    let block = u16::try_from(std::process::id() % u32::from(BLOCKS)).expect("a small number");
    loop {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(offset < BLOCK * BLOCKS, "no port is free");
        let port = FIRST_PORT + (block * BLOCK + offset) % (BLOCK * BLOCKS);
        let is_free =
            TcpListener::bind(("127.0.0.1", port)).is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok();
        if is_free {
            return port;
        }
    }
}
