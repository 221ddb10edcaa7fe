//! Name the build of this program.

use std::sync::LazyLock;

use oleanderpass_gateway_io::build::Build;

/// The build of this program.
pub(crate) const BUILD: Build = Build {
    version: env!("CARGO_PKG_VERSION"),
    commit: env!("OLEANDERPASS_COMMIT"),
    target: env!("OLEANDERPASS_TARGET"),
};

/// What `--version` prints behind the name of the program.
pub(crate) static VERSION: LazyLock<String> = LazyLock::new(|| BUILD.to_string());
