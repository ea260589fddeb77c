//! Anti-entropy synchronisation of two views. Members are hashed into buckets by id, and only a bucket whose digests
//! differ is sent.

use sha2::{Digest, Sha256};

use crate::{MemberView, Update, view::MemberStatus};

/// Number of buckets. With 350 members a bucket has about 22, whose updates fit into one datagram.
const BUCKETS: u16 = 16;

fn bucket_of(member: &MemberStatus) -> u8 {
    (member.short_id % BUCKETS) as u8
}

/// Returns one digest for each bucket, independent of the order of the members in the view.
pub(crate) fn digests(view: &MemberView) -> Vec<u32> {
    let mut digests = vec![0; usize::from(BUCKETS)];
    for member in view.iter() {
        digests[usize::from(bucket_of(member))] ^= member_digest(member);
    }
    digests
}

fn member_digest(member: &MemberStatus) -> u32 {
    let digest = Sha256::new()
        .chain_update(member.record.id.as_str())
        .chain_update([member.state as u8])
        .chain_update(member.epoch.incarnation.get().to_be_bytes())
        .chain_update(member.epoch.update_number.to_be_bytes())
        .finalize();
    u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]])
}

/// Returns the first bucket whose digests differ, searching cyclically from `start`.
pub(crate) fn first_differing_bucket(own: &[u32], other: &[u32], start: usize) -> Option<u8> {
    let order = (0..own.len()).map(|step| (start + step) % own.len());
    let mut differing = order.filter(|bucket| other.get(*bucket) != Some(&own[*bucket]));
    differing.next().and_then(|bucket| u8::try_from(bucket).ok())
}

/// Returns updates about all members of a bucket.
pub(crate) fn bucket_updates(view: &MemberView, bucket: u8) -> Vec<Update> {
    let members = view.iter();
    let of_bucket = members.filter(|member| bucket_of(member) == bucket);
    of_bucket.map(MemberStatus::update).collect()
}

/// Returns the updates of `view` that are newer than the received ones.
pub(crate) fn newer_updates(view: &MemberView, received: &[Update]) -> Vec<Update> {
    let mut newer = Vec::new();
    for update in received {
        let known = view.get(&update.member);
        let is_newer = |known: &&MemberStatus| (known.epoch, known.state) > (update.epoch, update.state);
        newer.extend(known.filter(is_newer).map(MemberStatus::update));
    }
    newer
}
