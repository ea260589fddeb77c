//! Keys of the stored objects of a batch that are numbered.
//!
//! An id may hold every character that a key may hold, apart from the slash. A key that joins an id and a number with a
//! dot is therefore unique, but its prefix is not: keys of the batch `draws-7.0` also have the prefix of `draws-7`.
//! Whoever lists a prefix takes only the objects that [`NumberedKeys::number_of`] assigns to its batch.

use jm_types::BatchId;

/// Keys of the form `kind/batch.number`. The number has leading zeros, so that a listing is sorted by number.
pub(super) struct NumberedKeys {
    prefix: String,
    digits: usize,
}

impl NumberedKeys {
    /// Keys of the pieces of results, numbered by the position of their first result.
    pub(super) fn pieces(batch: &BatchId) -> Self {
        Self::new("batch-result", batch, 6)
    }

    /// Keys of the saved texts, numbered by how many owners the batch had before the one that saved them.
    pub(super) fn texts(batch: &BatchId) -> Self {
        Self::new("batch-texts", batch, 4)
    }

    fn new(kind: &str, batch: &BatchId, digits: usize) -> Self {
        Self {
            prefix: format!("{kind}/{batch}."),
            digits,
        }
    }

    /// The key of the object with this number.
    pub(super) fn key(&self, number: usize) -> String {
        format!("{}{number:0digits$}", self.prefix, digits = self.digits)
    }

    /// A prefix of all keys of the batch, which keys of other batches may share.
    pub(super) fn prefix(&self) -> &str {
        &self.prefix
    }

    /// The longest prefix of the keys with the numbers up to `last`. A listing of it returns fewer objects of other batches
    /// than one of [`Self::prefix`].
    pub(super) fn prefix_up_to(&self, last: usize) -> String {
        let (first, last) = (self.key(0), self.key(last));
        let common = first.bytes().zip(last.bytes()).take_while(|(a, b)| a == b);
        first[..common.count()].to_owned()
    }

    /// The number of the object with this key. `None` if the key belongs to another batch, whose id begins with this one.
    pub(super) fn number_of(&self, key: &str) -> Option<usize> {
        // The rest of a foreign key has a dot, because the other id continues after the dot of this prefix.
        let number = key.strip_prefix(&self.prefix)?.parse().ok()?;
        (self.key(number) == key).then_some(number)
    }
}
