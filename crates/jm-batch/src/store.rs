//! Stored objects of a batch: its specification, its state, and its results in pieces.
//!
//! Each piece is created under the position of its first result. Two owners can therefore not store different results
//! at one position: the second create fails, and its writer reads the existing piece.

mod keys;
mod spec;

use std::sync::Arc;

use futures::future::try_join_all;
use jm_platform::{Condition, ObjectError, ObjectStore, Version};
use jm_types::BatchId;
use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;

use self::keys::NumberedKeys;
use crate::{BatchResult, BatchState, ItemText, ResultPiece};

/// Key prefix of the state objects.
pub const BATCH_STATE_PREFIX: &str = "batch-state/";

/// Maximum number of most recent owners whose saved texts are read.
const MAX_SAVED_TEXT_OWNERS: u32 = 6;

/// Why an object could not be written or read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// Nothing was changed.
    #[snafu(display("the store is not available: {reason}"))]
    Unavailable {
        /// Message of the underlying error.
        reason: String,
    },
    /// The outcome of the write is unknown.
    #[snafu(display("the store's response was lost: {reason}"))]
    Unknown {
        /// Message of the underlying error.
        reason: String,
    },
    /// The content of an object is invalid.
    #[snafu(display("the object {key} cannot be read: {reason}"))]
    Corrupt {
        /// Key of the object.
        key: String,
        /// Why the content is invalid.
        reason: String,
    },
}

impl StoreError {
    fn unavailable(reason: impl ToString) -> Self {
        Self::Unavailable {
            reason: reason.to_string(),
        }
    }
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The object was written and has this version.
    Applied(Version),
    /// The object's version did not match the condition.
    Conflict,
}

/// How results were read from the store, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResultsRead {
    /// Pieces of the batch that one listing returned.
    pub listed_pieces: usize,
    /// Objects of other batches that the same listing returned.
    pub foreign_objects: usize,
    /// Pieces that were read one by one.
    pub single_pieces: usize,
    /// Results that were not known before.
    pub results: usize,
}

/// Reads and writes the objects of batches.
#[derive(Clone)]
pub struct BatchStore {
    objects: Arc<dyn ObjectStore>,
}

impl BatchStore {
    /// Creates a store that keeps batches in `objects`.
    pub fn new(objects: Arc<dyn ObjectStore>) -> Self {
        Self { objects }
    }

    /// Creates the state unless it exists.
    pub(crate) async fn create_state(&self, state: &BatchState) -> Result<WriteOutcome, StoreError> {
        self.create(&state_key(&state.batch), encode(state).into_bytes())
            .await
    }

    /// Replaces the state if it still has `version`.
    pub(crate) async fn update_state(
        &self,
        state: &BatchState,
        version: Version,
    ) -> Result<WriteOutcome, StoreError> {
        let key = state_key(&state.batch);
        let value = encode(state).into_bytes();
        let result = self.objects.put(&key, value, Condition::Version(version)).await;
        write_outcome(result)
    }

    /// Reads a state; `None` when it does not exist.
    pub(crate) async fn load_state(
        &self,
        batch: &BatchId,
    ) -> Result<Option<(BatchState, Version)>, StoreError> {
        self.read(&state_key(batch)).await
    }

    /// Creates a piece of results unless there is one at its position.
    pub(crate) async fn create_piece(
        &self,
        batch: &BatchId,
        piece: &ResultPiece,
    ) -> Result<WriteOutcome, StoreError> {
        self.create(&piece_key(batch, piece.first), encode(piece).into_bytes())
            .await
    }

    /// Reads the piece at a position; `None` when there is none.
    pub(crate) async fn load_piece(
        &self,
        batch: &BatchId,
        first: usize,
    ) -> Result<Option<ResultPiece>, StoreError> {
        let piece = self.read(&piece_key(batch, first)).await?;
        Ok(piece.map(|(piece, _)| piece))
    }

    /// Reads all results for a host that takes the batch over. The pieces are read sequentially, because a listing also
    /// loads up to one page of other batches' pieces and would delay the step.
    pub(crate) async fn load_results(&self, batch: &BatchId) -> Result<Vec<BatchResult>, StoreError> {
        let mut listed = Vec::new();
        self.append_pieces(batch, &mut listed).await?;
        Ok(listed)
    }

    /// Reads the pieces of a batch with `items` items that follow `listed`, and appends their results.
    pub(crate) async fn load_new_results(
        &self,
        batch: &BatchId,
        items: usize,
        listed: &mut Vec<BatchResult>,
    ) -> Result<ResultsRead, StoreError> {
        let known = listed.len();
        let mut read = ResultsRead::default();
        let is_whole = listed.is_empty() && self.list_results(batch, items, listed, &mut read).await?;
        if !is_whole {
            read.single_pieces = self.append_pieces(batch, listed).await?;
        }
        read.results = listed.len() - known;
        Ok(read)
    }

    /// Returns the number of pieces.
    async fn append_pieces(
        &self,
        batch: &BatchId,
        listed: &mut Vec<BatchResult>,
    ) -> Result<usize, StoreError> {
        let mut pieces = 0;
        while let Some(piece) = self.load_piece(batch, listed.len()).await? {
            if piece.results.is_empty() {
                return Err(corrupt(
                    &piece_key(batch, piece.first),
                    "the piece has no results",
                ));
            }
            listed.extend(piece.results);
            pieces += 1;
        }
        Ok(pieces)
    }

    /// Reads all pieces in one listing, which needs far fewer calls than reading them sequentially. Returns whether the
    /// pieces are contiguous.
    async fn list_results(
        &self,
        batch: &BatchId,
        items: usize,
        listed: &mut Vec<BatchResult>,
        read: &mut ResultsRead,
    ) -> Result<bool, StoreError> {
        let keys = NumberedKeys::pieces(batch);
        let prefix = keys.prefix_up_to(items.saturating_sub(1));
        let listing = self.objects.list(&prefix).await;
        let listing = listing.map_err(StoreError::unavailable)?;
        for object in listing.objects {
            let Some(position) = keys.number_of(&object.key) else {
                read.foreign_objects += 1;
                continue;
            };
            if position != listed.len() {
                // A page that was read before a piece was created may lack that piece. The caller reads the rest
                // sequentially.
                return Ok(false);
            }
            let piece: ResultPiece = decode(&object.key, &object.object.value)?;
            read.listed_pieces += 1;
            listed.extend(piece.results);
        }
        Ok(true)
    }

    /// Saves unfinished texts. An owner overwrites only the texts that it saved before.
    pub(crate) async fn save_texts(
        &self,
        batch: &BatchId,
        earlier_owners: u32,
        texts: &[ItemText],
    ) -> Result<(), StoreError> {
        let key = texts_key(batch, earlier_owners);
        let result = self
            .objects
            .put(&key, encode(&texts).into_bytes(), Condition::Any)
            .await;
        write_outcome(result).map(|_| ())
    }

    /// The unfinished texts that the most recent owners saved; `owners` is the number of all owners so far. Each
    /// owner's texts continue those of the owners before it.
    pub(crate) async fn load_texts(&self, batch: &BatchId, owners: u32) -> Result<Vec<ItemText>, StoreError> {
        let saved = (owners.saturating_sub(MAX_SAVED_TEXT_OWNERS)..owners)
            .map(|earlier_owners| self.saved_texts(batch, earlier_owners));
        let saved = try_join_all(saved).await?;
        Ok(saved.into_iter().flatten().collect())
    }

    async fn saved_texts(&self, batch: &BatchId, earlier_owners: u32) -> Result<Vec<ItemText>, StoreError> {
        let texts = self.read(&texts_key(batch, earlier_owners)).await?;
        Ok(texts.map_or(Vec::new(), |(texts, _)| texts))
    }

    /// Deletes all objects of a batch but its state. Pieces are deleted from the last one on, so that a repeated call finds
    /// those that are left after an interrupted one.
    pub(crate) async fn delete_content(&self, batch: &BatchId) -> Result<(), StoreError> {
        for first in self.piece_positions(batch).await?.into_iter().rev() {
            self.delete(&piece_key(batch, first)).await?;
        }
        let keys = NumberedKeys::texts(batch);
        let saved = self.objects.list(keys.prefix()).await;
        for object in saved.map_err(StoreError::unavailable)?.objects {
            if keys.number_of(&object.key).is_some() {
                self.delete(&object.key).await?;
            }
        }
        self.remove_spec(batch).await
    }

    async fn piece_positions(&self, batch: &BatchId) -> Result<Vec<usize>, StoreError> {
        let mut positions = Vec::new();
        let mut next = 0;
        while let Some(piece) = self.load_piece(batch, next).await? {
            positions.push(next);
            next += piece.results.len().max(1);
        }
        Ok(positions)
    }

    /// Deletes a state if it still has `version`.
    pub(crate) async fn delete_state(&self, batch: &BatchId, version: Version) -> Result<(), StoreError> {
        let deleted = self
            .objects
            .delete(&state_key(batch), Condition::Version(version))
            .await;
        match deleted {
            // The answer to an earlier attempt was lost.
            Ok(()) | Err(ObjectError::Conflict { current: None }) => Ok(()),
            Err(error) => Err(StoreError::unavailable(error)),
        }
    }

    async fn delete(&self, key: &str) -> Result<(), StoreError> {
        let result = self.objects.delete(key, Condition::Any).await;
        result.map_err(StoreError::unavailable)
    }

    async fn create(&self, key: &str, value: Vec<u8>) -> Result<WriteOutcome, StoreError> {
        write_outcome(self.objects.put(key, value, Condition::Absent).await)
    }

    async fn read<T: DeserializeOwned>(&self, key: &str) -> Result<Option<(T, Version)>, StoreError> {
        let object = self.objects.get(key).await.map_err(StoreError::unavailable)?;
        let Some(object) = object else {
            return Ok(None);
        };
        let value = decode(key, &object.value)?;
        Ok(Some((value, object.version)))
    }
}

fn write_outcome(result: Result<Version, ObjectError>) -> Result<WriteOutcome, StoreError> {
    match result {
        Ok(version) => Ok(WriteOutcome::Applied(version)),
        Err(ObjectError::Conflict { .. }) => Ok(WriteOutcome::Conflict),
        Err(error) if error.may_be_applied() => Err(StoreError::Unknown {
            reason: error.to_string(),
        }),
        Err(error) => Err(StoreError::unavailable(error)),
    }
}

fn corrupt(key: &str, reason: impl ToString) -> StoreError {
    StoreError::Corrupt {
        key: key.to_owned(),
        reason: reason.to_string(),
    }
}

pub(crate) fn encode(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("batch objects have only text keys")
}

pub(crate) fn decode<T: DeserializeOwned>(key: &str, bytes: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(bytes).map_err(|error| corrupt(key, error))
}

fn state_key(batch: &BatchId) -> String {
    format!("{BATCH_STATE_PREFIX}{batch}")
}

fn texts_key(batch: &BatchId, earlier_owners: u32) -> String {
    NumberedKeys::texts(batch).key(earlier_owners as usize)
}

fn piece_key(batch: &BatchId, first: usize) -> String {
    NumberedKeys::pieces(batch).key(first)
}
