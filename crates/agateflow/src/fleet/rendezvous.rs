//! Rendezvous hashing: processes that know the same set of names choose the same ones.

use xxhash_rust::xxh3;

/// The weight of `name` for `key`; the names with the highest weights are chosen.
pub fn weight(key: &str, name: &str) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}

/// The rank of `name` among `others` for `key`, from 0. `others` may include `name`.
pub fn rank<'a>(key: &str, name: &str, others: impl Iterator<Item = &'a str>) -> usize {
    let own = (weight(key, name), name);
    others.filter(|&other| (weight(key, other), other) > own).count()
}
