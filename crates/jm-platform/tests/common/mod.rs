//! Test helpers: a platform in memory and through the HTTP client.

use jm_http::Limits;
use jm_platform::{HttpPlatform, MemoryOptions, MemoryPlatform, SpareTarget, TargetKind, TargetOrder};
use jm_standins::{PlatformOptions, PlatformServer};
use jm_types::{FencingNumber, ServiceId, TargetId, ZoneId};

/// An HTTP client of the platform and the server that it calls.
pub(crate) struct Remote {
    pub(crate) server: PlatformServer,
    pub(crate) client: HttpPlatform,
}

pub(crate) async fn remote() -> Remote {
    remote_with(MemoryOptions::default()).await
}

pub(crate) async fn remote_with(memory: MemoryOptions) -> Remote {
    let options = PlatformOptions {
        platform: MemoryPlatform::new(memory),
        ..PlatformOptions::default()
    };
    let server = PlatformServer::start(options).await.unwrap();
    let client = HttpPlatform::new(server.address(), Limits::default());
    Remote { server, client }
}

pub(crate) fn zone(name: &str) -> ZoneId {
    ZoneId::new(name).unwrap()
}

pub(crate) fn spare(id: &str, zone_name: &str, kind: TargetKind) -> SpareTarget {
    SpareTarget {
        id: TargetId::new(id).unwrap(),
        zone: zone(zone_name),
        kind,
        address: "127.0.0.1:9".parse().unwrap(),
    }
}

pub(crate) fn order(id: &str, zone_name: &str, kind: TargetKind, fencing: u64) -> TargetOrder {
    TargetOrder {
        order_id: id.to_owned(),
        service: ServiceId::new("drafts").unwrap(),
        zone: zone(zone_name),
        kind,
        fencing: FencingNumber::new(fencing),
    }
}
