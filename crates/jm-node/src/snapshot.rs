//! Snapshots of the configuration in the store; section 4.1 of `docs/design.md`.
//!
//! `config/snapshot/<N>` lists the objects that hold the state at revision N. It is created last, so that a reader
//! never sees a part of a snapshot.

use jm_config::Snapshot;
use jm_platform::{KeyedObject, MAX_VALUE_BYTES};
use jm_types::{FencingNumber, Revision};
use serde::{Deserialize, Serialize};

use crate::codec;

/// Prefix of the snapshots in the store.
pub const SNAPSHOT_PREFIX: &str = "config/snapshot/";

/// Value of `config/snapshot/<N>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Manifest {
    /// Keys of the parts in their order.
    parts: Vec<String>,
    /// Length of all parts together.
    bytes: usize,
}

/// An object to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotObject {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
}

/// A snapshot in the form in which it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// The parts. Their keys contain the fencing number of the writer: two releases may encode a state differently, and
    /// parts of both must not be mixed.
    pub parts: Vec<SnapshotObject>,
    /// The object that makes the snapshot known. Create it on condition that it does not exist, after all parts.
    pub manifest: SnapshotObject,
}

impl StoredSnapshot {
    /// Splits a snapshot into objects that the platform takes.
    pub fn split(snapshot: &Snapshot, writer: FencingNumber) -> Self {
        let bytes = codec::encode(snapshot);
        let key = snapshot_key(snapshot.revision);
        let parts: Vec<SnapshotObject> = bytes
            .chunks(MAX_VALUE_BYTES)
            .enumerate()
            .map(|(number, chunk)| SnapshotObject {
                key: format!("{key}/{writer}/{number}"),
                value: chunk.to_vec(),
            })
            .collect();
        let manifest = Manifest {
            parts: parts.iter().map(|part| part.key.clone()).collect(),
            bytes: bytes.len(),
        };
        let value = codec::encode(&manifest);
        Self {
            parts,
            manifest: SnapshotObject { key, value },
        }
    }
}

/// The key of the snapshot at a revision. Leading zeros make the order of keys that of revisions.
pub fn snapshot_key(revision: Revision) -> String {
    format!("{SNAPSHOT_PREFIX}{:012}", revision.get())
}

/// The revision of a snapshot by the key of its manifest or of one of its parts.
pub fn snapshot_revision(key: &str) -> Option<Revision> {
    let number = key.strip_prefix(SNAPSHOT_PREFIX)?.split('/').next()?;
    number.parse().ok()
}

/// Whether the object with this key makes a snapshot known.
pub fn is_snapshot_manifest(key: &str) -> bool {
    key.strip_prefix(SNAPSHOT_PREFIX)
        .is_some_and(|number| !number.contains('/'))
}

/// The newest snapshot that can be read from a listing of [`SNAPSHOT_PREFIX`].
pub(crate) fn newest_snapshot(objects: &[KeyedObject]) -> Option<Snapshot> {
    let manifests = objects.iter().rev();
    manifests
        .filter(|object| is_snapshot_manifest(&object.key))
        .find_map(|object| join(&object.object.value, objects))
}

fn join(manifest: &[u8], objects: &[KeyedObject]) -> Option<Snapshot> {
    let manifest: Manifest = codec::decode(manifest).ok()?;
    let mut bytes = Vec::with_capacity(manifest.bytes);
    for key in &manifest.parts {
        let place = objects.binary_search_by(|object| object.key.cmp(key)).ok()?;
        bytes.extend_from_slice(&objects[place].object.value);
    }
    codec::decode(&bytes)
        .ok()
        .filter(|_| bytes.len() == manifest.bytes)
}
