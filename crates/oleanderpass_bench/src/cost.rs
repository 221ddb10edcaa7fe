//! Measure the time of decisions and the memory of their state by fleet size.

pub mod core;
pub mod document;
pub mod measurement;
pub mod membership;
pub mod routing;
pub mod tables;

use std::path::Path;

use eyre::eyre;

use crate::pages::replace_sections;

/// The measured fleet sizes. The first one is that of today's deployments, the last one that of
/// section 1.4 of the design.
pub const SIZES: [Size; 3] = [
    Size {
        instances: 7,
        backend_servers: 37,
        zones: 3,
        organisations: 10,
    },
    Size {
        instances: 40,
        backend_servers: 1_200,
        zones: 8,
        organisations: 130,
    },
    Size {
        instances: 410,
        backend_servers: 12_000,
        zones: 8,
        organisations: 1_300,
    },
];

/// A fleet size.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// The number of entry instances.
    pub instances: usize,
    /// The number of backend servers, all of which are engines here.
    pub backend_servers: usize,
    /// The number of availability zones.
    pub zones: usize,
    /// The number of organisations.
    pub organisations: usize,
}

/// Print the memory of one part at the fleet size with index `size_index` in [`SIZES`], in bytes.
///
/// # Errors
///
/// Return an error when there is no such part or size, or the memory can't be measured.
pub fn print_memory(part: &str, size_index: usize) -> eyre::Result<()> {
    let size = *SIZES
        .get(size_index)
        .ok_or_else(|| eyre!("there is no fleet size with index {size_index}"))?;
    let bytes = match part {
        "routing" => routing::view_memory(size),
        "core" => core::instance_memory(size),
        "membership" => membership::member_memory(size),
        "document" => document::document_memory(size),
        "ledger" => tables::ledger_memory(),
        "quarantine" => tables::quarantine_memory(),
        _ => Err(eyre!("there is no part `{part}`")),
    }?;
    println!("{bytes}");
    Ok(())
}

/// Measure everything, print the tables and write them into `CAPACITY.md`.
///
/// # Errors
///
/// Return an error when an id is malformed or a file can't be read or written.
pub fn measure_all(docs: &Path) -> eyre::Result<()> {
    let parts = [
        ("routing", routing::table()?),
        ("core", core::table()?),
        ("membership", membership::table()?),
        ("document", document::table()?),
        ("tables", tables::table()?),
    ];
    for (name, text) in &parts {
        println!("{name}\n\n{text}");
    }
    replace_sections(&docs.join("CAPACITY.md"), &parts)
}
