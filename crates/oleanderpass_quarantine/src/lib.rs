//! Suspicion and quarantine of requests that crash backend servers.
