//! Name the build of the program, so that an operator sees which code runs.

use std::fmt;

/// The build of the program.
#[derive(Clone, Copy, Debug)]
pub struct Build {
    /// The version of the packages. It differs between releases, so that no build folder of an
    /// earlier one passes for the newest.
    pub version: &'static str,
    /// The commit that was checked out, or that there was none.
    pub commit: &'static str,
    /// The machine that the program was built for.
    pub target: &'static str,
}

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            version,
            commit,
            target,
        } = self;
        write!(f, "{version} ({commit}, {target})")
    }
}
