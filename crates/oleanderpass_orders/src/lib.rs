//! Orders to engines, derived from the document and observed state.
