//! Draw the plots.
