//! Limits of organisations, retry budget and concurrency limits.
