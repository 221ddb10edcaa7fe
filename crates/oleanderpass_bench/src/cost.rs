//! Measure the cost of decisions and state by size.

pub mod core;
pub mod document;
pub mod gauge;
pub mod membership;
pub mod routing;
pub mod tables;

use std::path::Path;

use eyre::eyre;

use crate::pages::rewrite;

/// The fleet sizes: entry instances, workers, zones and organisations. The last one is the size of
/// section 1.4 of the design, the first one that of the deployments of today.
pub const SIZES: [Size; 3] = [
    Size {
        instances: 7,
        workers: 37,
        zones: 3,
        organisations: 10,
    },
    Size {
        instances: 40,
        workers: 1_200,
        zones: 8,
        organisations: 130,
    },
    Size {
        instances: 410,
        workers: 12_000,
        zones: 8,
        organisations: 1_300,
    },
];

/// One fleet size.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entry instances.
    pub instances: usize,
    /// Workers.
    pub workers: usize,
    /// Availability zones.
    pub zones: usize,
    /// Organisations.
    pub organisations: usize,
}

/// Print the memory of one part, in bytes.
///
/// # Errors
///
/// Return an error when there is no such part or size, or it can't be measured.
pub fn print_memory(part: &str, size: usize) -> eyre::Result<()> {
    let size = *SIZES
        .get(size)
        .ok_or_else(|| eyre!("there is no size {size}"))?;
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
pub fn run(docs: &Path) -> eyre::Result<()> {
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
    rewrite(&docs.join("CAPACITY.md"), &parts)
}
