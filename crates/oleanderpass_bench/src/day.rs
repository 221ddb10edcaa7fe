//! Plot a day on the platform from the logs of its entry instances.

use std::collections::BTreeMap;
use std::fs;
use std::io::BufRead;
use std::path::Path;

use eyre::WrapErr;
use indexmap::IndexMap;
use serde::Deserialize;
use smol_str::SmolStr;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::plots;
use crate::plots::Labels;
use crate::plots::Series;

/// The width of the time bin that each point stands for.
const BIN_S: f64 = 1.0;

/// The classes of prompt lengths that are plotted separately: the exclusive upper bound in tokens
/// and the name. Each one contains a usual kind of request.
const PROMPT_LENGTHS: [(u64, &str); 4] = [
    (8_000, "below 8,000 tokens"),
    (30_000, "below 30,000 tokens"),
    (100_000, "below 100,000 tokens"),
    (u64::MAX, "longer prompts"),
];

/// The HTTP statuses with which requests are refused.
const REFUSED_STATUSES: [u16; 2] = [429, 503];

/// The fields of a log line that the plots use.
#[derive(Debug, Deserialize)]
struct LogLine {
    timestamp: SmolStr,
    message: SmolStr,
    #[serde(default)]
    request: SmolStr,
    server_zone: Option<SmolStr>,
    #[serde(default)]
    part_ms: f64,
    #[serde(default)]
    helpers: f64,
    first_event_ms: Option<f64>,
    #[serde(default)]
    status: u16,
    #[serde(default)]
    cause: SmolStr,
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    elapsed_ms: f64,
}

/// For each name of a line, the values in each time bin.
type Bins = IndexMap<SmolStr, BTreeMap<u64, Vec<f64>>>;

/// The values that the logs contain.
#[derive(Debug, Default)]
pub struct Day {
    /// The time of the first line, in seconds since the Unix epoch; `None` before that line.
    first_line_at_s: Option<f64>,
    /// The start of the last attempt of each open request, in seconds since the Unix epoch.
    attempt_started_at_s: IndexMap<SmolStr, f64>,
    /// The first event of each open request that has one, in seconds since the Unix epoch.
    first_event_at_s: IndexMap<SmolStr, f64>,
    /// The times from arrival to the first event, by class of prompt length and end of the request.
    first_token_s: Bins,
    /// A value of 1 for each refused request, by cause and end of the request.
    refusals: Bins,
    /// The prefill time of each attempt, summed over its engines, by zone of the first engine and
    /// start of the attempt.
    prefill_ms: Bins,
    skipped_lines: usize,
}

impl Day {
    /// Read the log lines of all instances, ordered by time. Text before the first brace of a line,
    /// such as the name of the instance, is ignored, and so are lines without a brace.
    ///
    /// # Errors
    ///
    /// Return an error when the lines can't be read or a timestamp is malformed.
    pub fn read(lines: impl BufRead) -> eyre::Result<Self> {
        let mut day = Self::default();
        for line in lines.lines() {
            let line = line.wrap_err("cannot read the log")?;
            let Some(start) = line.find('{') else {
                continue;
            };
            match serde_json::from_str::<LogLine>(&line[start..]) {
                Ok(line) => day.add_line(line)?,
                // The last line of a process can be cut off.
                Err(_) => day.skipped_lines += 1,
            }
        }
        Ok(day)
    }

    /// Return the number of lines with a brace that were no valid log lines.
    pub fn skipped_lines(&self) -> usize {
        self.skipped_lines
    }

    /// Return the median time to first token in seconds, over the seconds in which requests ended,
    /// by prompt length.
    pub fn first_token_medians(&self) -> Vec<Series> {
        let median = |values: &[f64]| {
            let mut sorted = values.to_vec();
            sorted.sort_by(f64::total_cmp);
            sorted[sorted.len() / 2]
        };
        summarize_bins(&self.first_token_s, median)
    }

    /// Return the number of requests that were refused in each second, by cause.
    pub fn refusals(&self) -> Vec<Series> {
        summarize_bins(&self.refusals, |values| values.len() as f64)
    }

    /// Return the prefill work of the attempts that started in each second, as the number of
    /// engines that it would keep busy for a second, by availability zone of the first engine.
    pub fn prefill_started(&self) -> Vec<Series> {
        summarize_bins(&self.prefill_ms, |values| {
            values.iter().sum::<f64>() / (BIN_S * 1_000.0)
        })
    }

    fn add_line(&mut self, line: LogLine) -> eyre::Result<()> {
        let at_s = OffsetDateTime::parse(&line.timestamp, &Rfc3339)
            .wrap_err_with(|| format!("malformed timestamp `{}`", line.timestamp))?;
        let at_s = at_s.unix_timestamp_nanos() as f64 / 1e9;
        let bin = ((at_s - *self.first_line_at_s.get_or_insert(at_s)).max(0.0) / BIN_S) as u64;
        match line.message.as_str() {
            "an attempt begins" => {
                self.attempt_started_at_s.insert(line.request, at_s);
                if let Some(zone) = line.server_zone {
                    let prefill_ms = line.part_ms * (line.helpers + 1.0);
                    add_value(&mut self.prefill_ms, zone, bin, prefill_ms);
                }
            }
            "an attempt ended" => {
                let started_at_s = self.attempt_started_at_s.get(&line.request);
                if let (Some(started_at_s), Some(first_ms)) = (started_at_s, line.first_event_ms) {
                    let first_event_at_s = started_at_s + first_ms / 1_000.0;
                    self.first_event_at_s
                        .entry(line.request)
                        .or_insert(first_event_at_s);
                }
            }
            "a request ended" => {
                let received_at_s = at_s - line.elapsed_ms / 1_000.0;
                let is_below_bound = |(bound, _): &&(u64, &str)| line.prompt_tokens < *bound;
                if let Some(first_event_at_s) = self.first_event_at_s.swap_remove(&line.request)
                    && let Some((_, name)) = PROMPT_LENGTHS.iter().find(is_below_bound)
                {
                    add_value(
                        &mut self.first_token_s,
                        SmolStr::new(name),
                        bin,
                        first_event_at_s - received_at_s,
                    );
                }
                if REFUSED_STATUSES.contains(&line.status) {
                    add_value(&mut self.refusals, line.cause, bin, 1.0);
                }
                self.attempt_started_at_s.swap_remove(&line.request);
            }
            _ => {}
        }
        Ok(())
    }
}

fn add_value(bins: &mut Bins, name: SmolStr, bin: u64, value: f64) {
    let points = bins.entry(name).or_default();
    points.entry(bin).or_default().push(value);
}

/// Return a line for each name, with one point for each bin that has values.
fn summarize_bins(bins: &Bins, summarize: impl Fn(&[f64]) -> f64) -> Vec<Series> {
    let lines = bins.iter().map(|(name, points)| Series {
        name: name.to_string(),
        points: points
            .iter()
            .map(|(bin, values)| (*bin as f64 * BIN_S, summarize(values)))
            .collect(),
    });
    lines.collect()
}

/// Write a page with the plots of a log into a directory.
///
/// # Errors
///
/// Return an error when the log can't be read or the page can't be written.
pub fn write(log: &Path, dir: &Path) -> eyre::Result<()> {
    let file = fs::File::open(log).wrap_err_with(|| format!("cannot open {}", log.display()))?;
    let day = Day::read(std::io::BufReader::new(file))?;
    fs::create_dir_all(dir).wrap_err_with(|| format!("cannot create {}", dir.display()))?;
    let mut page = String::from("<!doctype html><meta charset=\"utf-8\"><title>A day</title>\n");
    let plots = [
        (
            "first-token",
            "Time to the first token, median",
            "seconds",
            day.first_token_medians(),
        ),
        (
            "refusals",
            "Refused requests, by cause",
            "requests a second",
            day.refusals(),
        ),
        (
            "work",
            "Reading begun, by zone of the first engine",
            "engines",
            day.prefill_started(),
        ),
    ];
    for (name, caption, y, series) in plots {
        if series.is_empty() {
            page += &format!("<p>{caption}: none.</p>\n");
            continue;
        }
        let x = "seconds from the first line";
        let file = format!("{name}.svg");
        plots::draw(&dir.join(&file), Labels { caption, x, y }, &series)?;
        page += &format!("<p><img src=\"{file}\" alt=\"{caption}\"></p>\n");
    }
    if day.skipped_lines() > 0 {
        page += &format!("<p>{} lines were no log lines.</p>\n", day.skipped_lines());
    }
    let path = dir.join("index.html");
    fs::write(&path, page).wrap_err_with(|| format!("cannot write {}", path.display()))?;
    println!("wrote {}", path.display());
    Ok(())
}
