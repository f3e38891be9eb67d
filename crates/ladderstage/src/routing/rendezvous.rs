//! Rendezvous (highest random weight) hashing.
//!
//! All processes that know the same names rank them identically for a key, and adding or removing a
//! name moves only the keys of that name. The hash is implemented here so that it is stable across
//! compiler and library releases: 64-bit FNV-1a over key, separator byte and name, followed by the
//! 64-bit finalizer of MurmurHash3 because FNV-1a mixes the high bits poorly.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Byte between key and name. It never occurs in UTF-8 text, so different pairs have different
/// inputs.
const SEPARATOR: u8 = 0xff;

/// Returns the score of `name` for `key`; the highest score wins. Stable across versions and
/// machines.
pub fn rendezvous_score(key: &[u8], name: &str) -> u64 {
    let bytes = key
        .iter()
        .chain(std::iter::once(&SEPARATOR))
        .chain(name.as_bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    });
    finalize(hash)
}

/// Returns the names ranked for `key`, best first; equal scores are ordered by name.
pub fn rendezvous<'a>(key: &[u8], names: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut scored: Vec<(u64, &str)> = names
        .into_iter()
        .map(|name| (rendezvous_score(key, name), name))
        .collect();
    scored.sort_unstable_by(|left, right| right.0.cmp(&left.0).then(left.1.cmp(right.1)));
    scored.into_iter().map(|(_, name)| name).collect()
}

/// Returns the first name of [`rendezvous`] without ranking the others.
pub fn rendezvous_first<'a>(
    key: &[u8],
    names: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    names
        .into_iter()
        .map(|name| (rendezvous_score(key, name), std::cmp::Reverse(name)))
        .max()
        .map(|(_, std::cmp::Reverse(name))| name)
}

/// The 64-bit finalizer of MurmurHash3.
fn finalize(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
