//! Measure how long a change of the environment document takes, and the memory of a document.

use std::fmt::Write;
use std::time::Instant;

use eyre::eyre;
use oleanderpass_config::content::Content;
use oleanderpass_config::delta::apply;
use oleanderpass_config::delta::diff;
use oleanderpass_config::distribution::Distribution;
use oleanderpass_config::distribution::Input;
use oleanderpass_proto::peer::DocumentDelta;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::InstanceId;

use super::SIZES;
use super::Size;
use super::measurement::format_bytes;
use super::measurement::format_time;
use super::measurement::median_time_ns;
use super::measurement::memory_in_child_process;
use super::measurement::memory_per_value;
use super::measurement::table_row;

/// Return an environment document with some organisations, each with `callers` callers, as YAML
/// text.
///
/// # Errors
///
/// Return an error when the text can't be formatted.
pub fn yaml(organisations: usize, callers: usize, generation: u64) -> eyre::Result<String> {
    let mut text = format!(
        "generation: {generation}\n\
         environment: {{name: trial, zones: [zone-0, zone-1, zone-2, zone-3, zone-4, zone-5, \
         zone-6, zone-7]}}\n\
         services:\n  - {{id: engines, kind: engine, memory_tokens: 450000, \
         prefill_tokens_per_s: 22500, token_ms: 30, concurrent_requests: 64}}\n\
         models:\n"
    );
    for model in 0..4 {
        writeln!(
            text,
            "  - {{id: model-{model}, version: v1, service: engines, max_prompt_tokens: 1000000}}"
        )?;
    }
    text += "organisations:\n";
    for organisation in 0..organisations {
        // The limit of the last organisation depends on the generation, so that a patch between two
        // generations changes one value.
        let limit = if organisation + 1 == organisations {
            1_000 + generation
        } else {
            1_000
        };
        write!(
            text,
            "  - id: organisation-{organisation}\n    class: standard\n    \
             limits: {{requests_per_s: {limit}, tokens_per_s: 1000000}}\n    \
             models: [model-0, model-1, model-2, model-3]\n    callers:\n"
        )?;
        for caller in 0..callers {
            let key = (organisation * callers + caller) as u64;
            writeln!(
                text,
                "      - {{id: caller-{caller}, key_sha256: \"{key:064x}\"}}"
            )?;
        }
    }
    Ok(text)
}

/// The number of callers of each organisation. A document with 1,300 organisations of 5 callers
/// each is almost 1 MB large.
pub const CALLERS_PER_ORGANISATION: usize = 5;

/// The number of ticks of 100 ms after which a document must be in force. Its settle time is 1.5 s.
const SETTLE_TICKS: usize = 20;

/// Measure all fleet sizes and return a table.
///
/// # Errors
///
/// Return an error when a document is invalid or memory can't be read.
pub fn table() -> eyre::Result<String> {
    let mut text = String::from(
        "| Organisations | Canonical document | Patch of one changed value | Check the YAML | \
         Make the patch | Apply the patch | Check the JSON | A change at a reader, all steps | \
         A change elsewhere | Memory of a checked document |\n\
         |---|---|---|---|---|---|---|---|---|---|\n",
    );
    for (index, size) in SIZES.into_iter().enumerate() {
        let memory_bytes = memory_in_child_process("document", index)?;
        text += &measure_row(size, memory_bytes)?;
    }
    Ok(text)
}

/// Return the memory of a checked document and its canonical form, in bytes.
///
/// # Errors
///
/// Return an error when a document is invalid or memory can't be read.
pub fn document_memory(size: Size) -> eyre::Result<f64> {
    memory_per_value(26_000 / size.organisations, || {
        build_content(size.organisations, 1)
    })
}

fn build_content(organisations: usize, generation: u64) -> eyre::Result<Content> {
    let text = yaml(organisations, CALLERS_PER_ORGANISATION, generation)?;
    Content::from_yaml(&text).map_err(|errors| eyre!("{errors}"))
}

fn measure_row(size: Size, memory_bytes: f64) -> eyre::Result<String> {
    let old = build_content(size.organisations, 1)?;
    let new = build_content(size.organisations, 2)?;
    let patch = diff(&old.canonical, &new.canonical)?;
    let delta = DocumentDelta {
        generation: 2,
        patch: patch.clone(),
        digest: new.document.digest.0.to_vec(),
    };
    let deltas = [delta];
    let text = yaml(size.organisations, CALLERS_PER_ORGANISATION, 2)?;
    let check_yaml_ns = median_time_ns(3, || Content::from_yaml(&text).is_ok());
    let make_patch_ns = median_time_ns(5, || diff(&old.canonical, &new.canonical).is_ok());
    let apply_patch_ns = median_time_ns(5, || apply(&old.canonical, &deltas).is_ok());
    let check_json_ns = median_time_ns(5, || Content::from_json(&new.canonical).is_ok());
    let mut cells = vec![
        size.organisations.to_string(),
        format_bytes(new.canonical.len() as f64),
        format_bytes(patch.len() as f64),
    ];
    cells.extend([check_yaml_ns, make_patch_ns, apply_patch_ns, check_json_ns].map(format_time));
    cells.push(format_time(reader_time_ns(size.organisations)?));
    cells.push(format_time(apply_patch_ns + check_json_ns));
    cells.push(format_bytes(memory_bytes));
    Ok(table_row(&cells))
}

/// Return the time that an instance that reads the platform takes from the text until the document
/// is in force, in nanoseconds.
fn reader_time_ns(organisations: usize) -> eyre::Result<f64> {
    let own_id: InstanceId = "entry-000".parse()?;
    let mut reader = Distribution::new(Timestamp::ORIGIN, own_id);
    let mut now_ms = 0;
    let mut times_ns = Vec::new();
    for generation in 1..=6 {
        let text = yaml(organisations, CALLERS_PER_ORGANISATION, generation)?;
        let start = Instant::now();
        let mut out = Vec::new();
        reader.handle(Timestamp::from_millis(now_ms), Input::Text(&text), &mut out);
        for _ in 0..SETTLE_TICKS {
            now_ms += 100;
            reader.handle(Timestamp::from_millis(now_ms), Input::Tick, &mut out);
        }
        times_ns.push(start.elapsed().as_nanos() as f64);
        let in_force = reader.in_force().map(|version| version.generation.get());
        if in_force != Some(generation) {
            return Err(eyre!(
                "generation {generation} is not in force: {in_force:?}"
            ));
        }
    }
    times_ns.sort_by(f64::total_cmp);
    Ok(times_ns[times_ns.len() / 2])
}
