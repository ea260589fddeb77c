//! Snapshots of the configuration in the store; see section 4.1 of `docs/design.md`.
//!
//! The object `config/snapshot/<N>` is a manifest that lists the objects with the state at revision N. It is created
//! last, so that a reader never reads an incomplete snapshot.

use jm_config::Snapshot;
use jm_platform::{KeyedObject, MAX_VALUE_BYTES};
use jm_types::{FencingNumber, Revision};
use serde::{Deserialize, Serialize};

use crate::codec;

/// Key prefix of the snapshots in the store.
pub const SNAPSHOT_PREFIX: &str = "config/snapshot/";

/// Value of `config/snapshot/<N>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Manifest {
    /// Keys of the parts, in order.
    parts: Vec<String>,
    /// Total length of the parts, in bytes.
    bytes: usize,
}

/// An object to write to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotObject {
    /// Key under which the object is written to the store.
    pub key: String,
    /// The bytes to store.
    pub value: Vec<u8>,
}

/// A snapshot that is split into objects for the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// The parts. Their keys contain the fencing number of the writer. Two releases may encode a state differently, and
    /// their parts must not be mixed.
    pub parts: Vec<SnapshotObject>,
    /// The object that makes the snapshot visible to readers. Create it after all parts, on the condition that it does
    /// not exist.
    pub manifest: SnapshotObject,
}

impl StoredSnapshot {
    /// Splits a snapshot into objects of at most [`MAX_VALUE_BYTES`].
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

/// The store key of the snapshot at `revision`. Leading zeros make the keys sort by revision.
pub fn snapshot_key(revision: Revision) -> String {
    format!("{SNAPSHOT_PREFIX}{:012}", revision.get())
}

/// The revision in the key of a manifest or of a part; `None` for other keys.
pub fn snapshot_revision(key: &str) -> Option<Revision> {
    let number = key.strip_prefix(SNAPSHOT_PREFIX)?.split('/').next()?;
    number.parse().ok()
}

/// Whether `key` is the key of a manifest.
pub fn is_snapshot_manifest(key: &str) -> bool {
    key.strip_prefix(SNAPSHOT_PREFIX)
        .is_some_and(|number| !number.contains('/'))
}

/// Decodes the newest complete snapshot in a listing of [`SNAPSHOT_PREFIX`].
pub(crate) fn newest_snapshot(objects: &[KeyedObject]) -> Option<Snapshot> {
    let manifests = objects.iter().rev();
    manifests
        .filter(|object| is_snapshot_manifest(&object.key))
        .find_map(|object| assemble(&object.object.value, objects))
}

fn assemble(manifest: &[u8], objects: &[KeyedObject]) -> Option<Snapshot> {
    let manifest: Manifest = codec::decode(manifest).ok()?;
    let mut bytes = Vec::with_capacity(manifest.bytes);
    for key in &manifest.parts {
        let index = objects.binary_search_by(|object| object.key.cmp(key)).ok()?;
        bytes.extend_from_slice(&objects[index].object.value);
    }
    codec::decode(&bytes)
        .ok()
        .filter(|_| bytes.len() == manifest.bytes)
}
