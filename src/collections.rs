//! Hash collections with a fast, seeded hasher.
//!
//! Iteration order is unspecified: code that decides by iterating uses a
//! `BTreeMap` or sorts first, so that equal inputs give equal decisions.

/// Hash map with the project's hasher.
pub type FastMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with the project's hasher.
pub type FastSet<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;
