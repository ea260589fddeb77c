//! Stored specification of a batch: a head, and parts with the items if they exceed one object.
//!
//! Several hosts may store one batch at the same time, because a submission is repeated at another host. Their
//! specifications differ: each holds the time limits of the configuration and the time of its own submission. The head
//! alone decides which one counts. The parts are named after the digest of the items that they hold, so a part that
//! exists already has the same content, and parts of other items never belong to the head.

use jm_types::BatchId;
use serde::{Deserialize, Serialize};

use super::{BatchStore, StoreError, WriteOutcome, corrupt, decode, encode};
use crate::{BatchItem, BatchSpec, digest::ContentDigest};

/// Maximum size of a part in one object, with a margin for the overhead of the store's encoding.
const PART_BYTES: usize = 700_000;

/// First object of a specification. The rest is in `parts - 1` further objects.
#[derive(Debug, Serialize, Deserialize)]
struct SpecHead {
    parts: usize,
    text: String,
    /// Digest of the items, which are in the further objects. `None` if `text` begins with the whole specification; its
    /// further objects, which only earlier releases write, are then named after their number alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    items: Option<ContentDigest>,
}

impl SpecHead {
    fn part_keys(&self, batch: &BatchId) -> Vec<String> {
        (1..self.parts)
            .map(|index| part_key(batch, self.items.as_ref(), index))
            .collect()
    }
}

/// The items of a specification that is too large for one object.
struct ItemParts {
    digest: ContentDigest,
    text: String,
}

impl ItemParts {
    fn new(items: &[BatchItem]) -> Self {
        let text = encode(&items);
        Self {
            digest: ContentDigest::of(text.as_bytes()),
            text,
        }
    }

    fn pieces(&self) -> Vec<&str> {
        split(&self.text, PART_BYTES)
    }
}

impl BatchStore {
    /// Creates the specification unless it exists. The parts are written before the head, so that a stored head always
    /// has all its parts.
    pub(crate) async fn create_spec(&self, spec: &BatchSpec) -> Result<WriteOutcome, StoreError> {
        let (head, parts) = encoded_spec(spec);
        let pieces = parts.as_ref().map(ItemParts::pieces).unwrap_or_default();
        for (key, piece) in head.part_keys(&spec.id).iter().zip(pieces) {
            self.create_part(key, piece).await?;
        }
        let key = spec_key(&spec.id);
        self.create(&key, encode(&head).into_bytes()).await
    }

    /// Creates a part unless it is stored already. The key of a part that an earlier release stored for a batch with a longer
    /// id may be the same, so the content is compared.
    async fn create_part(&self, key: &str, piece: &str) -> Result<(), StoreError> {
        match self.create(key, piece.as_bytes().to_vec()).await? {
            WriteOutcome::Applied(_) => Ok(()),
            WriteOutcome::Conflict if self.part(key).await? == piece => Ok(()),
            WriteOutcome::Conflict => Err(corrupt(key, "the object belongs to another batch")),
        }
    }

    /// Removes the parts of a specification whose head was not stored because there is another one, unless that one
    /// has the same parts.
    pub(crate) async fn remove_unused_parts(&self, unused: &BatchSpec) -> Result<(), StoreError> {
        let (head, _) = encoded_spec(unused);
        if head.items.is_none() {
            return Ok(());
        }
        match self.read::<SpecHead>(&spec_key(&unused.id)).await? {
            Some((stored, _)) if stored.items != head.items => self.remove_parts(&unused.id, &head).await,
            _ => Ok(()),
        }
    }

    /// Reads a specification; `None` when it does not exist.
    pub(crate) async fn load_spec(&self, batch: &BatchId) -> Result<Option<BatchSpec>, StoreError> {
        let key = spec_key(batch);
        let Some((head, _)) = self.read::<SpecHead>(&key).await? else {
            return Ok(None);
        };
        let mut parts = String::new();
        for part in head.part_keys(batch) {
            parts.push_str(&self.part(&part).await?);
        }
        let Some(digest) = &head.items else {
            let text = head.text + &parts;
            return decode(&key, text.as_bytes()).map(Some);
        };
        if ContentDigest::of(parts.as_bytes()) != *digest {
            return Err(corrupt(&key, "the parts do not have the digest of the head"));
        }
        let header: BatchSpec = decode(&key, head.text.as_bytes())?;
        let items = decode(&key, parts.as_bytes())?;
        Ok(Some(BatchSpec { items, ..header }))
    }

    /// Removes the head and the parts that it names.
    pub(super) async fn remove_spec(&self, batch: &BatchId) -> Result<(), StoreError> {
        let key = spec_key(batch);
        let Some((head, _)) = self.read::<SpecHead>(&key).await? else {
            return Ok(());
        };
        self.remove_parts(batch, &head).await?;
        self.delete(&key).await
    }

    async fn remove_parts(&self, batch: &BatchId, head: &SpecHead) -> Result<(), StoreError> {
        for part in head.part_keys(batch) {
            self.delete(&part).await?;
        }
        Ok(())
    }

    async fn part(&self, key: &str) -> Result<String, StoreError> {
        let object = self.objects.get(key).await.map_err(StoreError::unavailable)?;
        let bytes = object
            .ok_or_else(|| corrupt(key, "the object does not exist"))?
            .value;
        String::from_utf8(bytes).map_err(|error| corrupt(key, error))
    }
}

/// The head of a specification, and its parts if it exceeds one object.
fn encoded_spec(spec: &BatchSpec) -> (SpecHead, Option<ItemParts>) {
    let text = encode(spec);
    if text.len() <= PART_BYTES {
        let head = SpecHead {
            parts: 1,
            text,
            items: None,
        };
        return (head, None);
    }
    // A large batch is not held in two encodings at the same time.
    drop(text);
    let parts = ItemParts::new(&spec.items);
    let head = SpecHead {
        parts: 1 + parts.pieces().len(),
        text: encode(&spec.without_items()),
        items: Some(parts.digest.clone()),
    };
    (head, Some(parts))
}

/// Splits a text into parts of at most `limit_bytes` at character boundaries. Returns at least one part.
fn split(text: &str, limit_bytes: usize) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while rest.len() > limit_bytes {
        let end = rest.floor_char_boundary(limit_bytes);
        let (piece, tail) = rest.split_at(end);
        pieces.push(piece);
        rest = tail;
    }
    pieces.push(rest);
    pieces
}

fn spec_key(batch: &BatchId) -> String {
    format!("batch/{batch}")
}

fn part_key(batch: &BatchId, items: Option<&ContentDigest>, index: usize) -> String {
    match items {
        Some(digest) => format!("batch-part/{batch}.{digest}.{index}"),
        None => format!("batch-part/{batch}.{index}"),
    }
}
