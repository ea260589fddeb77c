//! Guards against agents that do not reach each other over real sockets, and against agents that accept datagrams
//! without the fleet secret.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{net::UdpSocket, task};
use jm_link::FleetSecret;
use jm_member::{
    Body, ContactReport, Datagram, DatagramError, Detector, DetectorOptions, Epoch, LoadSummary,
    MAX_DATAGRAM_BYTES, MemberAgent, MemberRecord, MemberRole, MemberRow, MemberState, Update, ZoneApplied,
    ZoneContact, ZoneRow, decode_datagram, encode_datagram,
};
use jm_types::{Incarnation, Revision, SystemClock};

/// Maximum number of polls, at intervals of 50 ms, of a condition that becomes true.
const POLLS: usize = 300;

fn record(index: usize, address: SocketAddr) -> MemberRecord {
    MemberRecord {
        id: format!("daemon-{index}").parse().expect("a valid id"),
        role: MemberRole::Dispatch,
        zone: "wellgate".parse().expect("a valid id"),
        address,
        incarnation: Incarnation::new(1),
    }
}

async fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    socket.local_addr().expect("an address")
}

fn summary(version: u64) -> LoadSummary {
    LoadSummary {
        zone: "wellgate".parse().expect("a valid id"),
        model: "assay".parse().expect("a valid id"),
        origin: "daemon-0".parse().expect("a valid id"),
        version,
        data: vec![7; 16],
    }
}

async fn eventually(condition: impl Fn() -> bool) -> bool {
    for _ in 0..POLLS {
        if condition() {
            return true;
        }
        task::sleep(Duration::from_millis(50)).await;
    }
    false
}

async fn start(index: usize, addresses: &[SocketAddr], secret: &str) -> MemberAgent {
    let own = record(index, addresses[index]);
    let detector = Detector::new(DetectorOptions::default(), own, Revision::new(3));
    let secret = FleetSecret::new(secret);
    let agent = MemberAgent::bind(addresses[index], detector, secret, Arc::new(SystemClock)).await;
    let agent = agent.expect("the address is free");
    for (other, address) in addresses.iter().enumerate() {
        agent.register(record(other, *address));
    }
    let running = agent.clone();
    task::spawn(async move { running.run().await });
    agent
}

#[test]
fn agents_meet() {
    task::block_on(async {
        let addresses = [free_address().await, free_address().await, free_address().await];
        let first = start(0, &addresses, "secret").await;
        let second = start(1, &addresses, "secret").await;
        let outsider = start(2, &addresses, "another secret").await;
        first.publish_summary(summary(2));
        first.publish_summary(summary(1));
        assert!(eventually(|| first.is_fresh() && second.is_fresh()).await);
        assert!(eventually(|| second.summaries() == [summary(2)]).await);
        assert!(eventually(|| first.is_applied_by_majority(Revision::new(3))).await);
        assert!(
            !outsider.is_fresh(),
            "a daemon without the secret is not in contact with a majority"
        );
        first.leave();
        let id = "daemon-0".parse().expect("a valid id");
        let state = || second.view().get(&id).map(|member| member.state);
        assert!(eventually(|| state() == Some(MemberState::Leaving)).await);
    });
}

fn datagram(body: Body) -> Datagram {
    let update = |index: usize| Update {
        member: format!("daemon-{index}-{}", "x".repeat(100))
            .parse()
            .expect("a valid id"),
        epoch: Epoch::first(Incarnation::new(u64::MAX)),
        state: MemberState::Suspected,
    };
    Datagram {
        from: "x".repeat(128).parse().expect("a valid id"),
        epoch: Epoch::first(Incarnation::new(u64::MAX)),
        state: MemberState::Alive,
        applied: Revision::new(u64::MAX),
        accepted: Revision::new(u64::MAX),
        body,
        updates: (0..9).map(update).collect(),
        summaries: vec![summary(u64::MAX); 4],
    }
}

/// Guards against datagrams above the size limit, which would be lost on some paths. Optional parts are dropped first
/// and rows of the contact report last.
#[test]
fn full_datagram() {
    let revision = Revision::new(u64::MAX);
    let member = MemberRow {
        member: 1,
        age_ms: Some(1),
        applied: Some(revision),
    };
    let zone = ZoneRow {
        zone: 1,
        contact: Some(ZoneContact {
            count: 3,
            age_ms: 17,
            max_revision: revision,
        }),
        applied: Some(ZoneApplied {
            count: 3,
            min_revision: revision,
        }),
    };
    let report = ContactReport::new(revision, revision, &[member; 64], &[zone; 32]);
    let secret = FleetSecret::new("secret");
    let encoded = encode_datagram(datagram(Body::Ack(u64::MAX, u64::MAX, report)), &secret);
    let encoded = encoded.expect("the optional parts are left out");
    assert!(encoded.len() <= MAX_DATAGRAM_BYTES);
    let decoded = decode_datagram(&encoded, &secret).expect("encoded with the same secret");
    let Body::Ack(_, _, report) = decoded.body else {
        panic!("the body changed");
    };
    assert_eq!(report.members().count(), 64);
    assert_eq!(report.members().next().and_then(|row| row.age_ms), Some(16));
    // Ages are rounded up, so that a decoded contact is never more recent than the encoded one.
    let contact = report.zones().next().and_then(|row| row.contact);
    assert_eq!(contact.map(|contact| contact.age_ms), Some(32));
}

#[test]
fn changed_datagram() {
    let secret = FleetSecret::new("secret");
    let encoded = encode_datagram(datagram(Body::Ping(1)), &secret).expect("it fits");
    for index in 0..encoded.len() {
        let mut changed = encoded.clone();
        changed[index] ^= 1;
        assert!(matches!(
            decode_datagram(&changed, &secret),
            Err(DatagramError::WrongTag)
        ));
    }
}
