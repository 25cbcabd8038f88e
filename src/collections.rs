//! Hash collections with a fast, seeded hasher.
//!
//! Iteration order is unspecified: code whose decisions depend on an order uses a
//! `BTreeMap` or sorts first, so that equal inputs lead to equal decisions.

/// Hash map with the project's hasher.
pub type FastMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;
/// Hash set with the project's hasher.
pub type FastSet<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;
