//! Turn the records of a run into the measures of section 1.2 of the design.

use hdrhistogram::Histogram;

use crate::fleet::End;
use crate::fleet::Played;
use crate::fleet::Record;
use crate::scenario::DURATION;
use crate::scenario::FAULT_AT;
use crate::scenario::WARM_UP;
use crate::trace::Micros;
use crate::trace::SECOND;
use crate::trace::TraceRequest;

/// The upper prompt lengths of the buckets, in tokens.
pub const BUCKETS: [u64; 4] = [4_000, 32_768, 100_000, 1_000_001];

/// The names of the buckets.
pub const BUCKET_NAMES: [&str; 4] = ["to 4k", "to 32k", "to 100k", "to 1M"];

/// The TTFT within which a short request counts as goodput. Source: section 1.4 of the design.
pub const TTFT_TARGET: Micros = 1_700_000;

/// The length of a bin of the goodput over time.
pub const BIN: Micros = 5 * SECOND;

/// The measures of one or several runs.
#[derive(Clone, Debug)]
pub struct Measures {
    /// TTFT in milliseconds for each bucket; batch requests are left out.
    pub ttft: [Histogram<u64>; 4],
    /// TTFT of interactive short requests, in milliseconds.
    pub short: Histogram<u64>,
    /// Short requests without a first token.
    pub short_lost: u64,
    /// Requests over 32,768 tokens.
    pub long: u64,
    /// Those that did not complete in time.
    pub long_missed: u64,
    /// All measured requests.
    pub requests: u64,
    /// Requests that missed their deadline or were refused or shed.
    pub missed: u64,
    /// Those of them that were refused early or shed.
    pub refused: u64,
    /// Requests that completed in time, short ones with a TTFT within the target.
    pub good: u64,
    /// Shared prompt tokens and those that the prefix caches held.
    pub shared: (u64, u64),
    /// Arrivals and good requests by time.
    pub bins: Vec<(u64, u64)>,
    /// Measured time.
    pub seconds: f64,
}

/// The effect of a burst.
#[derive(Clone, Copy, Debug)]
pub struct BurstMeasures {
    /// Goodput before, during and in the 30 s after the burst, in requests/s.
    pub goodput: [f64; 3],
    /// Arrivals in the same times, in requests/s.
    pub arrivals: [f64; 3],
    /// The time after the burst until the good share is back; `None` if it doesn't come back.
    pub return_s: Option<f64>,
}

impl Measures {
    /// Create empty measures.
    ///
    /// # Errors
    ///
    /// Return an error when the histograms can't be created.
    pub fn new() -> eyre::Result<Self> {
        let histogram = || Histogram::<u64>::new(3);
        Ok(Self {
            ttft: [histogram()?, histogram()?, histogram()?, histogram()?],
            short: histogram()?,
            short_lost: 0,
            long: 0,
            long_missed: 0,
            requests: 0,
            missed: 0,
            refused: 0,
            good: 0,
            shared: (0, 0),
            bins: vec![(0, 0); (DURATION / BIN) as usize],
            seconds: 0.0,
        })
    }

    /// Add a run.
    ///
    /// # Errors
    ///
    /// Return an error when a value is beyond the histogram.
    pub fn add(&mut self, played: &Played) -> eyre::Result<()> {
        self.seconds += (DURATION - WARM_UP) as f64 / SECOND as f64;
        for (req, record) in played.trace.iter().zip(&played.records) {
            if req.at >= WARM_UP {
                self.add_one(req, record)?;
            }
        }
        Ok(())
    }

    fn add_one(&mut self, req: &TraceRequest, record: &Record) -> eyre::Result<()> {
        let good = is_good(req, record);
        let completed = record.end == End::Completed;
        self.requests += 1;
        self.good += u64::from(good);
        self.missed += u64::from(!completed);
        self.refused += u64::from(matches!(record.end, End::Refused | End::Shed));
        if req.is_long() {
            self.long += 1;
            self.long_missed += u64::from(!completed);
        }
        if record.ttft.is_some() {
            self.shared.0 += req.shared;
            self.shared.1 += record.hit.min(req.shared);
        }
        if let Some(bin) = self.bins.get_mut((req.at / BIN) as usize) {
            bin.0 += 1;
            bin.1 += u64::from(good);
        }
        if req.batch {
            return Ok(());
        }
        let Some(ttft) = record.ttft else {
            self.short_lost += u64::from(!req.is_long());
            return Ok(());
        };
        let bucket = BUCKETS
            .iter()
            .position(|limit| req.prompt <= *limit)
            .unwrap_or(3);
        self.ttft[bucket].record(ttft / 1_000)?;
        if !req.is_long() {
            self.short.record(ttft / 1_000)?;
        }
        Ok(())
    }

    /// Return the share of shared prompt tokens that the prefix caches held.
    pub fn hit_rate(&self) -> f64 {
        self.shared.1 as f64 / self.shared.0.max(1) as f64
    }

    /// Return the goodput in requests/s.
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.seconds.max(1.0)
    }

    /// Measure the burst of these runs.
    pub fn burst(&self) -> BurstMeasures {
        let per_s = self.seconds / ((DURATION - WARM_UP) / SECOND) as f64;
        let sum = |from: Micros, to: Micros| {
            let bins = &self.bins[(from / BIN) as usize..(to / BIN) as usize];
            let seconds = (to - from) as f64 / SECOND as f64 * per_s;
            let arrivals: u64 = bins.iter().map(|bin| bin.0).sum();
            let good: u64 = bins.iter().map(|bin| bin.1).sum();
            (arrivals as f64 / seconds, good as f64 / seconds)
        };
        let end = FAULT_AT + 30 * SECOND;
        let times = [
            (WARM_UP, FAULT_AT),
            (FAULT_AT, end),
            (end, end + 30 * SECOND),
        ];
        let parts = times.map(|(from, to)| sum(from, to));
        let share = 0.95 * parts[0].1 / parts[0].0;
        let back = (end / BIN..DURATION / BIN - 3).find(|bin| {
            let (arrivals, good) = sum(bin * BIN, (bin + 3) * BIN);
            good >= share * arrivals
        });
        BurstMeasures {
            goodput: parts.map(|part| part.1),
            arrivals: parts.map(|part| part.0),
            return_s: back.map(|bin| (bin * BIN - end) as f64 / SECOND as f64),
        }
    }
}

fn is_good(req: &TraceRequest, record: &Record) -> bool {
    let in_target = req.is_long() || req.batch || record.ttft.is_some_and(|t| t <= TTFT_TARGET);
    record.end == End::Completed && in_target
}
