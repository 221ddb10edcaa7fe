//! Compute the measures of section 1.2 of the design from the records of runs.

use hdrhistogram::Histogram;

use crate::scenario::DURATION;
use crate::scenario::FAULT_AT;
use crate::scenario::WARM_UP;
use crate::simulation::RequestEnd;
use crate::simulation::RequestRecord;
use crate::simulation::SimulatedRun;
use crate::trace::Micros;
use crate::trace::SECOND;
use crate::trace::TraceRequest;

/// The greatest prompt length of each bucket.
pub const BUCKET_LIMITS_TOKENS: [u64; 4] = [4_000, 32_768, 100_000, 1_000_001];

/// The name of each bucket.
pub const BUCKET_NAMES: [&str; 4] = ["to 4k", "to 32k", "to 100k", "to 1M"];

/// The time to first token (TTFT) up to which a short request counts as goodput. Source: section
/// 1.4 of the design.
pub const TTFT_TARGET: Micros = 1_700_000;

/// The width of the time bins in which arrivals and good requests are counted.
pub const BIN_WIDTH: Micros = 5 * SECOND;

/// The measures of one or several runs, without the requests that arrived during the warm-up.
#[derive(Clone, Debug)]
pub struct Measures {
    /// The TTFT by bucket of prompt length, in milliseconds, without batch requests.
    pub ttft: [Histogram<u64>; 4],
    /// The TTFT of short requests, in milliseconds, without batch requests.
    pub short_ttft: Histogram<u64>,
    /// The number of short requests that got no first token, without batch requests.
    pub short_without_first_token: u64,
    /// The number of requests over 32,768 tokens.
    pub long_requests: u64,
    /// The number of those that did not complete in time.
    pub long_missed: u64,
    /// The number of all requests.
    pub requests: u64,
    /// The number of requests that missed their deadline or were refused or shed.
    pub missed: u64,
    /// The number of those that were refused early or shed.
    pub refused: u64,
    /// The number of good requests: those that completed in time, and with a TTFT of at most
    /// [`TTFT_TARGET`] if they are short and not batch requests.
    pub good: u64,
    /// The number of shared prompt tokens, and of those that were in prefix caches. Requests
    /// without a first token are left out.
    pub shared_tokens: (u64, u64),
    /// The numbers of arrivals and of good requests in each bin of arrival times.
    pub bins: Vec<(u64, u64)>,
    /// The sum of the measured times of the runs, in seconds.
    pub measured_s: f64,
}

/// The effect of a burst of requests.
#[derive(Clone, Copy, Debug)]
pub struct BurstMeasures {
    /// The goodput before the burst, during it and in the 30 s after it, in requests/s.
    pub goodput: [f64; 3],
    /// The arrivals in the same three periods, in requests/s.
    pub arrivals: [f64; 3],
    /// The time from the end of the burst until the share of good requests over three bins is at
    /// least 95% of its value before the burst, in seconds; `None` if it stays lower until the end
    /// of the run.
    pub recovery_s: Option<f64>,
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
            short_ttft: histogram()?,
            short_without_first_token: 0,
            long_requests: 0,
            long_missed: 0,
            requests: 0,
            missed: 0,
            refused: 0,
            good: 0,
            shared_tokens: (0, 0),
            bins: vec![(0, 0); (DURATION / BIN_WIDTH) as usize],
            measured_s: 0.0,
        })
    }

    /// Add the records of a run.
    ///
    /// # Errors
    ///
    /// Return an error when a value is beyond the histogram.
    pub fn add_run(&mut self, run: &SimulatedRun) -> eyre::Result<()> {
        self.measured_s += (DURATION - WARM_UP) as f64 / SECOND as f64;
        for (req, record) in run.trace.iter().zip(&run.records) {
            if req.arrival >= WARM_UP {
                self.add_request(req, record)?;
            }
        }
        Ok(())
    }

    fn add_request(&mut self, req: &TraceRequest, record: &RequestRecord) -> eyre::Result<()> {
        let good = counts_as_goodput(req, record);
        let completed = record.end == RequestEnd::Completed;
        self.requests += 1;
        self.good += u64::from(good);
        self.missed += u64::from(!completed);
        self.refused += u64::from(matches!(record.end, RequestEnd::Refused | RequestEnd::Shed));
        if req.is_long() {
            self.long_requests += 1;
            self.long_missed += u64::from(!completed);
        }
        if record.ttft.is_some() {
            self.shared_tokens.0 += req.shared_tokens;
            self.shared_tokens.1 += record.cached_tokens.min(req.shared_tokens);
        }
        if let Some(bin) = self.bins.get_mut((req.arrival / BIN_WIDTH) as usize) {
            bin.0 += 1;
            bin.1 += u64::from(good);
        }
        if req.batch {
            return Ok(());
        }
        let Some(ttft) = record.ttft else {
            self.short_without_first_token += u64::from(!req.is_long());
            return Ok(());
        };
        let bucket = BUCKET_LIMITS_TOKENS
            .iter()
            .position(|limit| req.prompt_tokens <= *limit)
            .unwrap_or(3);
        self.ttft[bucket].record(ttft / 1_000)?;
        if !req.is_long() {
            self.short_ttft.record(ttft / 1_000)?;
        }
        Ok(())
    }

    /// Return the share of the shared prompt tokens that were in prefix caches.
    pub fn hit_rate(&self) -> f64 {
        self.shared_tokens.1 as f64 / self.shared_tokens.0.max(1) as f64
    }

    /// Return the goodput in requests/s.
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.measured_s.max(1.0)
    }

    /// Return the measures of the burst, for runs that have one.
    pub fn burst_measures(&self) -> BurstMeasures {
        let runs = self.measured_s / ((DURATION - WARM_UP) / SECOND) as f64;
        let rates_per_s = |from: Micros, to: Micros| {
            let bins = &self.bins[(from / BIN_WIDTH) as usize..(to / BIN_WIDTH) as usize];
            let seconds = (to - from) as f64 / SECOND as f64 * runs;
            let arrivals: u64 = bins.iter().map(|bin| bin.0).sum();
            let good: u64 = bins.iter().map(|bin| bin.1).sum();
            (arrivals as f64 / seconds, good as f64 / seconds)
        };
        let end = FAULT_AT + 30 * SECOND;
        let periods = [
            (WARM_UP, FAULT_AT),
            (FAULT_AT, end),
            (end, end + 30 * SECOND),
        ];
        let rates = periods.map(|(from, to)| rates_per_s(from, to));
        let recovered_share = 0.95 * rates[0].1 / rates[0].0;
        let recovered_bin = (end / BIN_WIDTH..DURATION / BIN_WIDTH - 3).find(|bin| {
            let (arrivals, good) = rates_per_s(bin * BIN_WIDTH, (bin + 3) * BIN_WIDTH);
            good >= recovered_share * arrivals
        });
        BurstMeasures {
            goodput: rates.map(|rate| rate.1),
            arrivals: rates.map(|rate| rate.0),
            recovery_s: recovered_bin.map(|bin| (bin * BIN_WIDTH - end) as f64 / SECOND as f64),
        }
    }
}

fn counts_as_goodput(req: &TraceRequest, record: &RequestRecord) -> bool {
    let in_target = req.is_long() || req.batch || record.ttft.is_some_and(|t| t <= TTFT_TARGET);
    record.end == RequestEnd::Completed && in_target
}
