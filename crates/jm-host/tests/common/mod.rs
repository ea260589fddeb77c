//! Plain objects for the tests of the cluster state.
#![allow(dead_code, reason = "each test file uses a part of these helpers")]

use jm_batch::RoutingSource;
use jm_forward::{CallerLimits, RoutingTable, RunKey, Target, TargetState};
use jm_host::{ClusterState, DecodeError, PlatformObjects};
use jm_platform::{KeyedObject, Listing, Object, Version};
use jm_types::{ByteSize, DurationMs, ModelId, Revision, WeightVersion, ZoneId};

/// Decodes objects whose value is a number, a state, or a state and a zone.
pub(crate) struct PlainObjects;

impl PlatformObjects for PlainObjects {
    fn routing_key(&self) -> &'static str {
        "routing/main"
    }
    fn targets_prefix(&self) -> &'static str {
        "targets/"
    }
    fn versions_prefix(&self) -> &'static str {
        "versions/"
    }
    fn retirements_prefix(&self) -> &'static str {
        "retirements/"
    }
    fn evacuations_prefix(&self) -> &'static str {
        "evacuations/"
    }
    fn evacuated_zone(&self, key: &str) -> Result<ZoneId, DecodeError> {
        let name = key.trim_start_matches(self.evacuations_prefix());
        name.parse().map_err(|_| DecodeError {
            reason: "not a zone".to_owned(),
        })
    }
    fn routing(&self, value: &[u8]) -> Result<RoutingTable, DecodeError> {
        let text = String::from_utf8_lossy(value);
        let revision = text.parse().map_err(|_| DecodeError {
            reason: "not a number".to_owned(),
        })?;
        let limits = CallerLimits {
            head_bytes: ByteSize::new(1),
            body_bytes: ByteSize::new(1),
            head_timeout_ms: DurationMs::new(1),
            idle_timeout_ms: DurationMs::new(1),
        };
        Ok(RoutingTable::new(Revision::new(revision), limits))
    }
    fn target(&self, key: &str, value: &[u8]) -> Result<Target, DecodeError> {
        let text = String::from_utf8_lossy(value);
        let (state, zone) = text.split_once(' ').unwrap_or((&*text, "a"));
        let state = match state {
            "serving" => TargetState::Serving,
            "leaving" => TargetState::Leaving,
            _ => {
                return Err(DecodeError {
                    reason: "not a state".to_owned(),
                });
            }
        };
        Ok(Target {
            run: RunKey {
                id: key.trim_start_matches("targets/").parse().unwrap(),
                started_unix_ms: 1,
            },
            service: "s".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: zone.parse().unwrap(),
            slots: 1,
            state,
            models: Default::default(),
            software: None,
            cold_left_ms: DurationMs::new(0),
        })
    }
    fn version(&self, _value: &[u8]) -> Result<(ModelId, WeightVersion), DecodeError> {
        unreachable!("the tests store no versions")
    }
}

/// A listing of keys with their values.
pub(crate) fn listing(objects: &[(&str, &str)], version: u64) -> Listing {
    let version = Version::new(version);
    let objects = objects.iter().map(|(key, value)| KeyedObject {
        key: (*key).to_owned(),
        object: Object {
            value: value.as_bytes().to_vec(),
            version,
        },
    });
    Listing {
        objects: objects.collect(),
        version,
    }
}

/// Ids of the targets that requests may use.
pub(crate) fn serving(cluster: &ClusterState) -> Vec<String> {
    let service = "s".parse().unwrap();
    let catalog = cluster.catalog();
    catalog
        .serving(&service)
        .map(|target| target.run.id.to_string())
        .collect()
}
