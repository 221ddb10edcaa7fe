//! Generate the code of `oleanderpass_proto` from its schemas.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use clap::Parser;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;

/// The schemas, by package.
const SCHEMAS: [&str; 5] = ["peer", "environment", "settings", "platform", "engine"];

/// The schemas whose messages are also read and written as JSON or YAML.
const SERDE_SCHEMAS: [&str; 4] = ["environment", "settings", "platform", "engine"];

/// Generate the code from the schemas.
#[derive(Parser)]
struct Args {
    /// Compare with the committed code and fail on a difference.
    #[arg(long)]
    check: bool,
    /// The root of the repository.
    #[arg(long, default_value = ".")]
    root: PathBuf,
}

fn main() -> Result<()> {
    let args = Args::parse();
    let proto_crate = args.root.join("crates/oleanderpass_proto");
    let committed = proto_crate.join("src/generated");
    let target = if args.check {
        args.root.join("target/generated-check")
    } else {
        committed.clone()
    };
    fs::create_dir_all(&target).wrap_err("create the output directory")?;
    generate(&proto_crate.join("proto"), &target)?;
    if args.check {
        compare(&target, &committed)
    } else {
        Ok(())
    }
}

fn generate(schemas: &Path, target: &Path) -> Result<()> {
    let files: Vec<PathBuf> = SCHEMAS
        .iter()
        .map(|name| schemas.join(format!("{name}.proto")))
        .collect();
    let descriptors = protox::compile(&files, [schemas]).wrap_err("compile the schemas")?;
    let mut builder = tonic_prost_build::configure()
        .out_dir(target)
        .btree_map(".")
        // Few packets carry a bulletin, and all packets are moved around.
        .boxed(".oleanderpass.peer.v1.Packet.bulletin");
    for name in SERDE_SCHEMAS {
        let package = format!(".oleanderpass.{name}.v1");
        builder = builder
            .type_attribute(&package, "#[derive(serde::Serialize, serde::Deserialize)]")
            .type_attribute(&package, "#[serde(default, deny_unknown_fields)]");
    }
    builder
        .compile_fds(descriptors)
        .wrap_err("write the generated code")
}

fn compare(fresh: &Path, committed: &Path) -> Result<()> {
    for name in SCHEMAS {
        let file = format!("oleanderpass.{name}.v1.rs");
        let new = fs::read_to_string(fresh.join(&file)).wrap_err_with(|| file.clone())?;
        let old = fs::read_to_string(committed.join(&file)).wrap_err_with(|| file.clone())?;
        if new != old {
            bail!("{file} is not current; run `cargo run -p oleanderpass_codegen`");
        }
    }
    println!("generated code is current");
    Ok(())
}
