//! Write the log as JSON lines to standard output, without blocking and at a limited rate.

use std::borrow::Cow;
use std::io;
use std::io::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use tracing_appender::non_blocking::NonBlocking;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// The filter of the log where none is given.
pub const DEFAULT_FILTER: &str = "info";

/// The most lines that are queued while nobody reads them. At about 300 bytes a line, they take
/// 600 KB, and at most 16 MB.
const MAX_QUEUED_LINES: usize = 2_000;

/// The most lines per second. Under the heaviest recorded load, an instance wrote up to 177 lines
/// in one second.
pub const MAX_LINES_PER_S: u32 = 400;

/// The longest line, in bytes. Lines quote names that others chose and that may be of any length.
pub const MAX_LINE_BYTES: usize = 8 * 1024;

/// The length of the interval for which lines are counted against [`MAX_LINES_PER_S`].
const LIMIT_INTERVAL: Duration = Duration::from_secs(1);

/// Start logging with a filter such as `info` or `oleanderpass_gateway=debug`, or with
/// [`DEFAULT_FILTER`] if it is invalid. Lines are written until the returned guard is dropped. There
/// is none, and no log, if the system grants no thread for it.
///
/// # Errors
///
/// Return the cause if logging has already been started.
pub fn start(filter: &str) -> Result<Option<WorkerGuard>> {
    // The library panics without its thread.
    if let Err(error) = thread::Builder::new().spawn(|| {}) {
        eprintln!("warning: nothing is logged: no thread for the log: {error}");
        return Ok(None);
    }
    let (filter, invalid) = match EnvFilter::try_new(filter) {
        Ok(filter) => (filter, None),
        Err(error) => (EnvFilter::new(DEFAULT_FILTER), Some(error)),
    };
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(io::stdout());
    let limiter = std::sync::Mutex::new(LineLimiter::new(Instant::now()));
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(LimitedWriter { writer, limiter })
        .try_init()
        .map_err(|error| eyre::eyre!("start the log: {error}"))?;
    if let Some(error) = invalid {
        tracing::warn!(%error, used = DEFAULT_FILTER, "the filter of the log is invalid");
    }
    Ok(Some(guard))
}

/// Limits the number of lines per second.
#[derive(Debug)]
pub struct LineLimiter {
    /// The start of the current second.
    began: Instant,
    /// The lines in the current second, including dropped ones.
    lines: u32,
    /// The dropped lines that have not been reported yet.
    dropped: u64,
}

impl LineLimiter {
    /// Create a limiter whose first second begins at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            lines: 0,
            dropped: 0,
        }
    }

    /// Count a line. Return whether it may be written, and the number of dropped lines to report:
    /// those of the last second if the line begins a new one, and otherwise 0.
    pub fn record_line(&mut self, now: Instant) -> (bool, u64) {
        let mut reported = 0;
        if now.duration_since(self.began) >= LIMIT_INTERVAL {
            reported = std::mem::take(&mut self.dropped);
            self.began = now;
            self.lines = 0;
        }
        self.lines += 1;
        let allowed = self.lines <= MAX_LINES_PER_S;
        self.dropped += u64::from(!allowed);
        (allowed, reported)
    }
}

/// Creates a writer for each line, which drops the line if it exceeds the limit.
struct LimitedWriter {
    writer: NonBlocking,
    limiter: std::sync::Mutex<LineLimiter>,
}

impl<'a> MakeWriter<'a> for LimitedWriter {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        let now = Instant::now();
        let (allowed, dropped) = match self.limiter.lock() {
            Ok(mut limiter) => limiter.record_line(now),
            Err(_) => (true, 0),
        };
        let mut writer = allowed.then(|| self.writer.clone());
        if let Some(writer) = &mut writer
            && dropped > 0
        {
            let note = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{dropped}}}\n"
            );
            // The writer queues the line or drops it, and never fails.
            writer.write_all(note.as_bytes()).ok();
        }
        LineWriter(writer)
    }
}

/// Return a line, or a short one in its place if it is longer than [`MAX_LINE_BYTES`].
pub fn shorten(line: &[u8]) -> Cow<'_, [u8]> {
    if line.len() <= MAX_LINE_BYTES {
        return Cow::Borrowed(line);
    }
    let note = format!(
        "{{\"level\":\"WARN\",\"message\":\"a log line was too long\",\"bytes\":{}}}\n",
        line.len()
    );
    Cow::Owned(note.into_bytes())
}

/// Writes one line, or drops it if there is no writer.
struct LineWriter(Option<NonBlocking>);

impl Write for LineWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match &mut self.0 {
            Some(writer) => {
                writer.write_all(&shorten(buf))?;
                Ok(buf.len())
            }
            None => Ok(buf.len()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        match &mut self.0 {
            Some(writer) => writer.flush(),
            None => Ok(()),
        }
    }
}
