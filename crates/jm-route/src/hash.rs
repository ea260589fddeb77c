//! A hash that is equal in every process, build and host, so that daemons make equal decisions without messages.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes bytes with FNV-1a and a final mixing step. FNV-1a alone changes only a few high bits between ids that
/// differ in the last character. The result is equal in every process, build and host.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let hash = bytes.iter().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// One step of SplitMix64: the increment and the finaliser.
pub(crate) const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The weight of a node for a key in rendezvous hashing; the node with the largest weight owns the key.
pub(crate) const fn rendezvous_weight(node_hash: u64, key_hash: u64) -> u64 {
    mix(node_hash ^ key_hash.rotate_left(32))
}
