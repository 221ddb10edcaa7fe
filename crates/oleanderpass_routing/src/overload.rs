//! Shed work by class while the local queue is too slow.

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::size::Tokens;
use strum::Display;

use crate::request::LengthClass;

/// The wait of a short prompt above which the level rises: the TTFT target of 1.7 s.
const HIGH_WAIT: Millis = Millis::new(1_700);

/// The wait of a short prompt below which the level falls.
const LOW_WAIT: Millis = Millis::new(500);

/// The time that the wait must stay high before the next level.
const RISE_AFTER: Millis = Millis::from_secs(1);

/// The time that the wait must stay low before the previous level.
const FALL_AFTER: Millis = Millis::from_secs(2);

/// The time over which an organisation's use is counted before it is halved.
const USE_HALF_LIFE: Millis = Millis::from_secs(30);

/// What is shed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Level {
    /// Nothing.
    #[default]
    None,
    /// Batch work.
    Batch,
    /// Batch work and long prompts.
    Long,
    /// Batch work, long prompts and organisations over their share.
    OverShare,
}

impl Level {
    fn up(self) -> Self {
        match self {
            Level::None => Level::Batch,
            Level::Batch => Level::Long,
            Level::Long | Level::OverShare => Level::OverShare,
        }
    }

    fn down(self) -> Self {
        match self {
            Level::None | Level::Batch => Level::None,
            Level::Long => Level::Batch,
            Level::OverShare => Level::Long,
        }
    }
}

/// The overload state of one instance.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    level: Level,
    high_since: Option<Timestamp>,
    low_since: Option<Timestamp>,
    used: IndexMap<OrganisationId, (f64, u32)>,
    used_since: Timestamp,
}

impl Overload {
    /// Return what is shed now.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Take the current wait of a short prompt, in the queue and on the best engine.
    pub fn observe(&mut self, now: Timestamp, wait: Millis) {
        self.high_since = (wait > HIGH_WAIT).then(|| self.high_since.unwrap_or(now));
        self.low_since = (wait < LOW_WAIT).then(|| self.low_since.unwrap_or(now));
        if self
            .high_since
            .is_some_and(|since| now.since(since) >= RISE_AFTER)
        {
            self.level = self.level.up();
            self.high_since = Some(now);
        }
        if self
            .low_since
            .is_some_and(|since| now.since(since) >= FALL_AFTER)
        {
            self.level = self.level.down();
            self.low_since = Some(now);
        }
    }

    /// Count the work of an organisation, admitted or not.
    pub fn record_work(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationId,
        weight: u32,
        work: Tokens,
    ) {
        if now.since(self.used_since) >= USE_HALF_LIFE {
            self.used_since = now;
            self.used.retain(|_, (used, _)| {
                *used /= 2.0;
                *used >= 1.0
            });
        }
        let entry = self
            .used
            .entry(organisation.clone())
            .or_insert((0.0, weight));
        entry.0 += work.get() as f64;
        entry.1 = weight;
    }

    /// Return whether to refuse a request.
    pub fn sheds(&self, organisation: &OrganisationId, class: LengthClass, batch: bool) -> bool {
        (batch && self.level >= Level::Batch)
            || (class == LengthClass::Long && self.level >= Level::Long)
            || (self.level >= Level::OverShare && self.over_share(organisation))
    }

    fn over_share(&self, organisation: &OrganisationId) -> bool {
        let all: f64 = self.used.values().map(|(used, _)| used).sum();
        let weights: u32 = self.used.values().map(|(_, weight)| weight).sum();
        self.used.get(organisation).is_some_and(|(used, weight)| {
            *used * f64::from(weights.max(1)) > all * f64::from(*weight)
        })
    }
}
