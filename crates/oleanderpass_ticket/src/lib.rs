//! Execution tickets and their ledger.
