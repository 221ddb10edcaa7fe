//! Write the log as JSON lines to standard output, without blocking and within a bound.

use std::io;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::WrapErr;
use tracing_appender::non_blocking::NonBlocking;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// The lines that wait while nobody reads them. At about 300 bytes a line they take 600 KB.
const MAX_WAITING_LINES: usize = 2_000;

/// The most lines a second. An instance wrote up to 177 in a second of the heaviest recorded day.
pub const MAX_LINES_PER_S: u32 = 400;

/// The time in which [`MAX_LINES_PER_S`] counts.
const WINDOW: Duration = Duration::from_secs(1);

/// Start logging with a filter, as `info` or `oleanderpass_gateway=debug`. Lines are written until
/// the returned guard is dropped.
///
/// # Errors
///
/// Return the cause when the filter is wrong or logging was started before.
pub fn start(filter: &str) -> Result<WorkerGuard> {
    let filter = EnvFilter::try_new(filter).wrap_err_with(|| format!("log filter `{filter}`"))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_WAITING_LINES)
        .finish(io::stdout());
    let lines = std::sync::Mutex::new(Window::new(Instant::now()));
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(Bounded { writer, lines })
        .try_init()
        .map_err(|error| eyre::eyre!("start the log: {error}"))?;
    Ok(guard)
}

/// Counts the lines of the current second.
#[derive(Debug)]
pub struct Window {
    began: Instant,
    lines: u32,
    dropped: u64,
}

impl Window {
    /// Start at a time.
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            lines: 0,
            dropped: 0,
        }
    }

    /// Count a line. Return whether it may be written, and how many were dropped before it in the
    /// last window if that has just ended.
    pub fn take(&mut self, now: Instant) -> (bool, u64) {
        let mut reported = 0;
        if now.duration_since(self.began) >= WINDOW {
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

struct Bounded {
    writer: NonBlocking,
    lines: std::sync::Mutex<Window>,
}

impl<'a> MakeWriter<'a> for Bounded {
    type Writer = Line;

    fn make_writer(&'a self) -> Line {
        let now = Instant::now();
        let (allowed, dropped) = match self.lines.lock() {
            Ok(mut lines) => lines.take(now),
            Err(_) => (true, 0),
        };
        let mut writer = allowed.then(|| self.writer.clone());
        if let Some(writer) = &mut writer
            && dropped > 0
        {
            let note = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{dropped}}}\n"
            );
            // The writer queues the line or drops it; it never fails.
            writer.write_all(note.as_bytes()).ok();
        }
        Line(writer)
    }
}

struct Line(Option<NonBlocking>);

impl Write for Line {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match &mut self.0 {
            Some(writer) => writer.write(buf),
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
