//! Shed load by class of work while short prompts wait too long.

use indexmap::IndexMap;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::size::Tokens;
use strum::Display;

use crate::request::LengthClass;

/// The wait of a short prompt above which the level rises: the target of 1.7 s for the time to
/// first token.
const HIGH_WAIT: Millis = Millis::new(1_700);

/// The wait of a short prompt below which the level falls.
const LOW_WAIT: Millis = Millis::new(500);

/// The time that the wait must stay above [`HIGH_WAIT`] before each rise by one level.
const RISE_AFTER: Millis = Millis::from_secs(1);

/// The time that the wait must stay below [`LOW_WAIT`] before each fall by one level.
const FALL_AFTER: Millis = Millis::from_secs(2);

/// The interval at which the counted usage of all organisations is halved.
const USAGE_HALF_LIFE: Millis = Millis::from_secs(30);

/// The level of load shedding, which names the work that is shed.
///
/// Its text is part of error messages to callers.
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
    /// Batch work, long prompts and all requests of organisations over their share.
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

/// The overload state of one instance; its user may keep one for each model.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    level: Level,
    /// Since when the wait is high, or when it last raised the level; `None` while it isn't high.
    high_since: Option<Timestamp>,
    /// Since when the wait is low, or when it last lowered the level; `None` while it isn't low.
    low_since: Option<Timestamp>,
    /// The decayed work in tokens and the weight of each organisation.
    usage: IndexMap<OrganisationId, (f64, u32)>,
    usage_halved_at: Timestamp,
}

impl Overload {
    /// Return the current level.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Update the level from the current wait of short prompts.
    ///
    /// The wait is the one in the local queue, and may include the estimated wait on the chosen
    /// engine.
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

    /// Add work of an organisation to its usage, whether it is admitted or not.
    pub fn record_work(
        &mut self,
        now: Timestamp,
        organisation: &OrganisationId,
        weight: u32,
        work: Tokens,
    ) {
        if now.since(self.usage_halved_at) >= USAGE_HALF_LIFE {
            self.usage_halved_at = now;
            self.usage.retain(|_, (used, _)| {
                *used /= 2.0;
                *used >= 1.0
            });
        }
        let organisation_usage = self
            .usage
            .entry(organisation.clone())
            .or_insert((0.0, weight));
        organisation_usage.0 += work.get() as f64;
        organisation_usage.1 = weight;
    }

    /// Return whether to refuse a request at the current level.
    pub fn sheds(&self, organisation: &OrganisationId, class: LengthClass, batch: bool) -> bool {
        (batch && self.level >= Level::Batch)
            || (class == LengthClass::Long && self.level >= Level::Long)
            || (self.level >= Level::OverShare && self.is_over_share(organisation))
    }

    /// Return whether the organisation's part of all usage exceeds its part of all weights.
    fn is_over_share(&self, organisation: &OrganisationId) -> bool {
        let total: f64 = self.usage.values().map(|(used, _)| used).sum();
        let total_weight: u32 = self.usage.values().map(|(_, weight)| weight).sum();
        self.usage.get(organisation).is_some_and(|(used, weight)| {
            *used * f64::from(total_weight.max(1)) > total * f64::from(*weight)
        })
    }
}
