//! Run the command line.

fn main() {}
