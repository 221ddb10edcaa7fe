//! Generate the code of `oleanderpass_proto` from its schemas.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use clap::Parser;
use eyre::Result;
use eyre::WrapErr;
use eyre::bail;

/// The schemas, without the extension `.proto`. Each is also the name of its package.
const SCHEMAS: [&str; 5] = ["peer", "environment", "settings", "platform", "engine"];

/// The schemas whose messages are also serialized as JSON or YAML.
const SERDE_SCHEMAS: [&str; 4] = ["environment", "settings", "platform", "engine"];

/// Generate the code from the schemas.
#[derive(Parser)]
struct Args {
    /// Compare the generated code with the committed code and fail if they differ.
    #[arg(long)]
    check: bool,
    /// The root of the repository.
    #[arg(long, default_value = ".")]
    root: PathBuf,
}

fn main() -> Result<()> {
    let args = Args::parse();
    let proto_crate = args.root.join("crates/oleanderpass_proto");
    let committed_dir = proto_crate.join("src/generated");
    let out_dir = if args.check {
        args.root.join("target/generated-check")
    } else {
        committed_dir.clone()
    };
    fs::create_dir_all(&out_dir).wrap_err("create the output directory")?;
    generate(&proto_crate.join("proto"), &out_dir)?;
    if args.check {
        compare(&out_dir, &committed_dir)
    } else {
        Ok(())
    }
}

fn generate(schema_dir: &Path, out_dir: &Path) -> Result<()> {
    let files: Vec<PathBuf> = SCHEMAS
        .iter()
        .map(|name| schema_dir.join(format!("{name}.proto")))
        .collect();
    let descriptors = protox::compile(&files, [schema_dir]).wrap_err("compile the schemas")?;
    let mut builder = tonic_prost_build::configure()
        .out_dir(out_dir)
        .btree_map(".")
        // Few packets carry a bulletin. All are moved around, so boxing it keeps them small.
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

fn compare(generated_dir: &Path, committed_dir: &Path) -> Result<()> {
    for name in SCHEMAS {
        let file = format!("oleanderpass.{name}.v1.rs");
        let generated =
            fs::read_to_string(generated_dir.join(&file)).wrap_err_with(|| file.clone())?;
        let committed =
            fs::read_to_string(committed_dir.join(&file)).wrap_err_with(|| file.clone())?;
        if generated != committed {
            bail!("{file} is out of date; run `cargo run -p oleanderpass_codegen`");
        }
    }
    println!("generated code is up to date");
    Ok(())
}
