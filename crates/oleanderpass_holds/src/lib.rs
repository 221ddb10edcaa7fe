//! KV memory holds over several engines.
