//! Comparison of routing policies over one trace, and decision cost.
