//! Include the code generated from the schemas in `proto/`.
//!
//! Run `cargo run -p oleanderpass_codegen` after a change to a schema. The messages are not
//! validated; other crates convert them into validated types with `TryFrom`.

/// Messages between entry instances.
#[allow(missing_docs, clippy::all, reason = "generated code")]
pub mod peer {
    include!("generated/oleanderpass.peer.v1.rs");
}

/// The environment document.
#[allow(missing_docs, clippy::all, reason = "generated code")]
pub mod environment {
    include!("generated/oleanderpass.environment.v1.rs");
}

/// The settings of an entry instance.
#[allow(missing_docs, clippy::all, reason = "generated code")]
pub mod settings {
    include!("generated/oleanderpass.settings.v1.rs");
}

/// JSON messages of the platform.
#[allow(missing_docs, clippy::all, reason = "generated code")]
pub mod platform {
    include!("generated/oleanderpass.platform.v1.rs");
}

/// JSON messages of backend servers.
#[allow(missing_docs, clippy::all, reason = "generated code")]
pub mod engine {
    include!("generated/oleanderpass.engine.v1.rs");
}
