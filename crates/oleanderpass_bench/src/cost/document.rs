//! Measure a change of the environment document.

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
use super::gauge::memory;
use super::gauge::memory_apart;
use super::gauge::row;
use super::gauge::show_bytes;
use super::gauge::show_time;
use super::gauge::time;

/// Return a document of an organisation count as YAML text.
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
        // The last organisation's limit follows the generation, as in a change of one value.
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

/// Callers of each organisation. 1,300 organisations with 5 callers come near 1 MB.
pub const CALLERS: usize = 5;

/// Ticks of 100 ms after which a document has settled (1.5 s).
const SETTLE_TICKS: usize = 20;

/// Measure all sizes.
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
        let bytes = memory_apart("document", index)?;
        text += &measure(size, bytes)?;
    }
    Ok(text)
}

/// Measure the memory of a checked document with its canonical form.
///
/// # Errors
///
/// Return an error when a document is invalid or memory can't be read.
pub fn document_memory(size: Size) -> eyre::Result<f64> {
    memory(26_000 / size.organisations, || {
        content(size.organisations, 1)
    })
}

fn content(organisations: usize, generation: u64) -> eyre::Result<Content> {
    let text = yaml(organisations, CALLERS, generation)?;
    Content::from_yaml(&text).map_err(|errors| eyre!("{errors}"))
}

fn measure(size: Size, bytes: f64) -> eyre::Result<String> {
    let old = content(size.organisations, 1)?;
    let new = content(size.organisations, 2)?;
    let patch = diff(&old.canonical, &new.canonical)?;
    let delta = DocumentDelta {
        generation: 2,
        patch: patch.clone(),
        digest: new.document.digest.0.to_vec(),
    };
    let deltas = [delta];
    let text = yaml(size.organisations, CALLERS, 2)?;
    let yaml_checked = time(3, || Content::from_yaml(&text).is_ok());
    let made = time(5, || diff(&old.canonical, &new.canonical).is_ok());
    let applied = time(5, || apply(&old.canonical, &deltas).is_ok());
    let checked = time(5, || Content::from_json(&new.canonical).is_ok());
    let mut cells = vec![
        size.organisations.to_string(),
        show_bytes(new.canonical.len() as f64),
        show_bytes(patch.len() as f64),
    ];
    cells.extend([yaml_checked, made, applied, checked].map(show_time));
    cells.push(show_time(reader_time(size.organisations)?));
    cells.push(show_time(applied + checked));
    cells.push(show_bytes(bytes));
    Ok(row(&cells))
}

/// Measure a reader from the platform's text until the document is in force, in nanoseconds.
fn reader_time(organisations: usize) -> eyre::Result<f64> {
    let me: InstanceId = "entry-000".parse()?;
    let mut reader = Distribution::new(Timestamp::ORIGIN, me);
    let mut now = 0;
    let mut times = Vec::new();
    for generation in 1..=6 {
        let text = yaml(organisations, CALLERS, generation)?;
        let start = Instant::now();
        let mut out = Vec::new();
        reader.handle(Timestamp::from_millis(now), Input::Text(&text), &mut out);
        for _ in 0..SETTLE_TICKS {
            now += 100;
            reader.handle(Timestamp::from_millis(now), Input::Tick, &mut out);
        }
        times.push(start.elapsed().as_nanos() as f64);
        let in_force = reader.in_force().map(|version| version.generation.get());
        if in_force != Some(generation) {
            return Err(eyre!(
                "generation {generation} is not in force: {in_force:?}"
            ));
        }
    }
    times.sort_by(f64::total_cmp);
    Ok(times[times.len() / 2])
}
