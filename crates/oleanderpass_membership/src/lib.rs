//! Liveness of entry instances.
