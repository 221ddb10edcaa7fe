//! Draw a day on the platform from the logs of its instances.

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

/// The time of one point, in seconds.
const BIN_S: f64 = 1.0;

/// The prompt lengths that are drawn apart, each below its bound in tokens. They are the lengths of the
/// usual kinds of requests.
const LENGTHS: [(u64, &str); 4] = [
    (8_000, "below 8,000 tokens"),
    (30_000, "below 30,000 tokens"),
    (100_000, "below 100,000 tokens"),
    (u64::MAX, "longer prompts"),
];

/// The statuses that say that a request was refused.
const REFUSED: [u16; 2] = [429, 503];

/// The fields of a log line that are drawn.
#[derive(Debug, Deserialize)]
struct Line {
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

/// Points over time for each name.
type Bins = IndexMap<SmolStr, BTreeMap<u64, Vec<f64>>>;

/// What the logs show.
#[derive(Debug, Default)]
pub struct Day {
    began: Option<f64>,
    begins: IndexMap<SmolStr, f64>,
    first_events: IndexMap<SmolStr, f64>,
    first_token_s: Bins,
    refusals: Bins,
    reading_ms: Bins,
    skipped: usize,
}

impl Day {
    /// Read the lines of all instances, in the order of time. Text before the first brace of a line,
    /// such as the name of the instance, is left out.
    ///
    /// # Errors
    ///
    /// Return the cause when the lines can't be read.
    pub fn read(lines: impl BufRead) -> eyre::Result<Self> {
        let mut day = Self::default();
        for line in lines.lines() {
            let line = line.wrap_err("read a log")?;
            let Some(start) = line.find('{') else {
                continue;
            };
            match serde_json::from_str::<Line>(&line[start..]) {
                Ok(line) => day.add(line)?,
                // A line that was cut at the end of its process.
                Err(_) => day.skipped += 1,
            }
        }
        Ok(day)
    }

    /// Return the lines that were no log lines.
    pub fn skipped(&self) -> usize {
        self.skipped
    }

    /// Return the medians of the time to the first token in seconds, over seconds, by prompt length.
    pub fn first_tokens(&self) -> Vec<Series> {
        let median = |values: &[f64]| {
            let mut sorted = values.to_vec();
            sorted.sort_by(f64::total_cmp);
            sorted[sorted.len() / 2]
        };
        series(&self.first_token_s, median)
    }

    /// Return the requests that were refused in each second, by cause.
    pub fn refusals(&self) -> Vec<Series> {
        series(&self.refusals, |values| values.len() as f64)
    }

    /// Return the engines' worth of reading that began, by the availability zone of the first engine.
    pub fn work(&self) -> Vec<Series> {
        series(&self.reading_ms, |values| {
            values.iter().sum::<f64>() / (BIN_S * 1_000.0)
        })
    }

    fn add(&mut self, line: Line) -> eyre::Result<()> {
        let at = OffsetDateTime::parse(&line.timestamp, &Rfc3339)
            .wrap_err_with(|| format!("timestamp {}", line.timestamp))?;
        let at = at.unix_timestamp_nanos() as f64 / 1e9;
        let bin = ((at - *self.began.get_or_insert(at)).max(0.0) / BIN_S) as u64;
        match line.message.as_str() {
            "an attempt begins" => {
                self.begins.insert(line.request, at);
                if let Some(zone) = line.server_zone {
                    let reading = line.part_ms * (line.helpers + 1.0);
                    add(&mut self.reading_ms, zone, bin, reading);
                }
            }
            "an attempt ended" => {
                let begun = self.begins.get(&line.request);
                if let (Some(begun), Some(first_ms)) = (begun, line.first_event_ms) {
                    let first_event = begun + first_ms / 1_000.0;
                    self.first_events.entry(line.request).or_insert(first_event);
                }
            }
            "a request ended" => {
                let received = at - line.elapsed_ms / 1_000.0;
                let longer = |(bound, _): &&(u64, &str)| line.prompt_tokens < *bound;
                if let Some(first) = self.first_events.swap_remove(&line.request)
                    && let Some((_, name)) = LENGTHS.iter().find(longer)
                {
                    add(
                        &mut self.first_token_s,
                        SmolStr::new(name),
                        bin,
                        first - received,
                    );
                }
                if REFUSED.contains(&line.status) {
                    add(&mut self.refusals, line.cause, bin, 1.0);
                }
                self.begins.swap_remove(&line.request);
            }
            _ => {}
        }
        Ok(())
    }
}

fn add(bins: &mut Bins, name: SmolStr, bin: u64, value: f64) {
    let points = bins.entry(name).or_default();
    points.entry(bin).or_default().push(value);
}

fn series(bins: &Bins, join: impl Fn(&[f64]) -> f64) -> Vec<Series> {
    let lines = bins.iter().map(|(name, points)| Series {
        name: name.to_string(),
        points: points
            .iter()
            .map(|(bin, values)| (*bin as f64 * BIN_S, join(values)))
            .collect(),
    });
    lines.collect()
}

/// Write a page with the plots of a day into a directory.
///
/// # Errors
///
/// Return the cause when the log can't be read or the page can't be written.
pub fn write(log: &Path, dir: &Path) -> eyre::Result<()> {
    let file = fs::File::open(log).wrap_err_with(|| format!("open {}", log.display()))?;
    let day = Day::read(std::io::BufReader::new(file))?;
    fs::create_dir_all(dir).wrap_err_with(|| format!("create {}", dir.display()))?;
    let mut page = String::from("<!doctype html><meta charset=\"utf-8\"><title>A day</title>\n");
    let plots = [
        (
            "first-token",
            "Time to the first token, median",
            "seconds",
            day.first_tokens(),
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
            day.work(),
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
    if day.skipped() > 0 {
        page += &format!("<p>{} lines were no log lines.</p>\n", day.skipped());
    }
    let path = dir.join("index.html");
    fs::write(&path, page).wrap_err_with(|| format!("write {}", path.display()))?;
    println!("wrote {}", path.display());
    Ok(())
}
