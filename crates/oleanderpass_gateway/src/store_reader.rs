//! Decide when an instance reads the platform's store itself, and when it takes what peers have
//! read.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::ZoneId;

use crate::gateway::Gateway;
use crate::store::Content;
use crate::store::CopySource;
use crate::store::StoreItem;
use crate::store::StorePosition;

/// How long the store keeps a watch call waiting for changes. If the store has gone silent, the
/// call fails only after this time, or earlier if peers have read newer changes.
const WATCH_WAIT: Millis = Millis::new(8_000);

/// The same as [`WATCH_WAIT`] for the first reader of all live instances. Its peers notice by what
/// it reads that their own watches are silent, so it has to notice within the time in which a
/// change must be in force.
const FIRST_WATCH_WAIT: Millis = Millis::new(1_000);

/// How much longer than its wait a watch call may take before it times out.
const WATCH_MARGIN: Millis = Millis::new(500);

/// The most calls that stay in flight after they should have been answered, beside a new one. A
/// store that is slow answers the oldest one, however late; one that is silent or was left by a dead
/// connection doesn't, and only the newest ones show when it is back.
const MAX_LATE_CALLS: usize = 4;

/// The age at which a late call ends. An instance reads a store that takes up to half as long for an
/// answer, because reading everything takes two calls.
const MAX_LATE_AGE: Millis = Millis::from_secs(30);

/// The delay between a change and the next watch. Changes within it are returned by one call.
const WATCH_BATCH_DELAY: Millis = Millis::new(60);

/// The interval at which an instance checks whether it has to read the store itself, or sooner.
pub const READER_CHECK_INTERVAL: Millis = Millis::new(300);

/// The shortest interval between two copies from the same peer of which the first brought nothing
/// new.
const COPY_INTERVAL: Millis = Millis::new(100);

/// The backoff after the first failure. It doubles with each further one.
const MIN_BACKOFF: Millis = Millis::new(100);

/// The longest backoff of the instances that read the store for their zone.
const MAX_BACKOFF: Millis = Millis::new(800);

/// The increase of the backoff with each rank of an instance behind the readers of its zone.
const BACKOFF_PER_RANK: Millis = Millis::new(400);

/// The longest backoff of instances while a peer reads the store, and of the first
/// [`CLOSE_RANKS`] ones at all times. The store may refuse the readers of a zone and serve another
/// instance, which has to notice that within three seconds.
const MAX_RESERVE_BACKOFF: Millis = Millis::new(2_900);

/// The number of ranks behind the readers of a zone after which the backoff doubles, and doubles
/// again, while no peer reads the store. It bounds the calls of a zone of any size.
const CLOSE_RANKS: usize = 8;

/// The longest backoff of all. An instance that the store serves alone finds that out in a minute.
const MAX_REMOTE_BACKOFF: Millis = Millis::from_secs(60);

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Fetch a peer's copy of the store. Decide again as soon as it is applied.
    Copy(CopySource),
    /// Decide again at this time, or as soon as a peer knows something newer.
    Wait(Timestamp),
    /// Read the whole list of backend servers and the configuration from the store.
    ReadAll,
    /// Call the store for the changes after a position.
    Watch {
        /// The position.
        after: StorePosition,
        /// How long the store may wait for a first change.
        wait: Millis,
        /// The timeout of the call.
        timeout: Millis,
    },
}

/// The copy that was fetched last.
#[derive(Clone, Copy, Debug)]
struct LastCopy {
    at: Timestamp,
    source: CopySource,
    /// The position of this instance before it.
    position: StorePosition,
}

/// The state of one instance's reading of the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreReader {
    /// The position from which a watch continues. `None` if everything has to be read.
    position: Option<StorePosition>,
    /// Whether the last call to the store failed.
    store_lost: bool,
    /// Whether peers read the store for this instance.
    follows_peers: bool,
    backoff: Millis,
    /// The time of the next call to the store.
    next_call: Timestamp,
    /// The jitter of the last backoff, from 0 to 1.
    jitter: f64,
    /// Whether a peer read the store when this instance last decided.
    peers_read: bool,
    last_copy: Option<LastCopy>,
    /// When the last call to the store began.
    watch_began: Timestamp,
    /// When the last call that the store answered began. What the answer lacked was written later.
    /// `None` if peers have read for this instance since.
    answered_call: Option<Timestamp>,
}

impl Default for StoreReader {
    fn default() -> Self {
        Self {
            position: None,
            store_lost: false,
            follows_peers: false,
            backoff: MIN_BACKOFF,
            next_call: Timestamp::ORIGIN,
            jitter: 0.0,
            peers_read: false,
            last_copy: None,
            watch_began: Timestamp::ORIGIN,
            answered_call: None,
        }
    }
}

impl StoreReader {
    /// Decide what to do next.
    pub fn next(&mut self, now: Timestamp, gateway: &mut Gateway) -> Step {
        if self.position.is_some() && !gateway.is_reader(now) {
            if self.store_lost {
                self.on_regained_by_peers(now, gateway);
            }
            return self.follow_peers(now, gateway);
        }
        self.notice_readers(now, gateway);
        if self.position.is_some() && gateway.has_lost_configuration(now) {
            tracing::info!("no peer has the newest configuration; reading everything");
            self.position = None;
        }
        if self.follows_peers {
            self.follows_peers = false;
            tracing::info!("this instance reads the store");
        }
        let source = if self.store_lost && now < self.next_call {
            gateway.copy_source(now)
        } else {
            gateway.evacuation_source(now)
        };
        if let Some(source) = source.filter(|source| self.may_copy(now, gateway, source)) {
            return self.copy(now, gateway, source);
        }
        if now < self.next_call {
            // Peers may regain the store in the meantime.
            return Step::Wait(self.next_call.min(now + READER_CHECK_INTERVAL));
        }
        match self.position {
            Some(after) if !self.store_lost => {
                let wait = if gateway.fleet().is_first_reader(now) {
                    FIRST_WATCH_WAIT
                } else {
                    WATCH_WAIT
                };
                self.watch_began = now;
                Step::Watch {
                    after,
                    wait,
                    timeout: wait + WATCH_MARGIN,
                }
            }
            // After an outage, the whole list is read, because entries may have expired in the
            // meantime.
            Some(_) | None => {
                self.watch_began = now;
                Step::ReadAll
            }
        }
    }

    /// Shorten the wait for the next call if a peer reads the store and none did before. The
    /// readers of this zone mostly return first, and then this instance needs no call.
    fn notice_readers(&mut self, now: Timestamp, gateway: &Gateway) {
        let had_reader = std::mem::replace(&mut self.peers_read, gateway.fleet().has_reader(now));
        if self.peers_read && !had_reader {
            let latest = now + jittered(MAX_RESERVE_BACKOFF, self.jitter);
            self.next_call = self.next_call.min(latest);
        }
    }

    /// Record that peers read the store again for this instance, which lost it before. Its next
    /// call may be seconds away, and without it the instance would go on calling the store.
    fn on_regained_by_peers(&mut self, now: Timestamp, gateway: &mut Gateway) {
        self.store_lost = false;
        self.backoff = MIN_BACKOFF;
        self.next_call = now;
        gateway.on_store_recovered(now);
        let position = gateway.store_position();
        tracing::info!(
            dependency = "store",
            store_era = position.era,
            store_revision = position.revision,
            "a dependency was regained through peers"
        );
    }

    fn follow_peers(&mut self, now: Timestamp, gateway: &mut Gateway) -> Step {
        if !self.follows_peers {
            self.follows_peers = true;
            tracing::info!("peers read the store for this instance");
            gateway.set_reads_store(false);
        }
        self.answered_call = None;
        // Copies of peers may be newer than the last watch of this instance, so a watch continues
        // after the newest copy.
        self.position = Some(gateway.store_position());
        match gateway.copy_source(now) {
            Some(source) if self.may_copy(now, gateway, &source) => self.copy(now, gateway, source),
            Some(_) => Step::Wait(now + COPY_INTERVAL),
            None => Step::Wait(now + READER_CHECK_INTERVAL),
        }
    }

    /// Return whether a peer's copy may hold more than the last one that was fetched.
    fn may_copy(&self, now: Timestamp, gateway: &Gateway, source: &CopySource) -> bool {
        self.last_copy.is_none_or(|last| {
            let same = (last.source, last.position) == (*source, gateway.store_position());
            !same || now.since(last.at) >= COPY_INTERVAL
        })
    }

    fn copy(&mut self, now: Timestamp, gateway: &Gateway, source: CopySource) -> Step {
        self.last_copy = Some(LastCopy {
            at: now,
            source,
            position: gateway.store_position(),
        });
        Step::Copy(source)
    }

    /// Return whether the watch in flight is given up: for a shorter one, because the instance has
    /// become the first reader since it began, because enough peers read the store for this instance
    /// again, because a peer knows evacuations that a restored store has lost, or because the watch
    /// doesn't return a configuration that this instance misses.
    pub fn renews_watch(&self, now: Timestamp, gateway: &Gateway) -> bool {
        let is_first = now.since(self.watch_began) >= FIRST_WATCH_WAIT + WATCH_MARGIN
            && gateway.fleet().is_first_reader(now);
        let source = gateway.evacuation_source(now);
        is_first
            || !gateway.is_reader(now)
            || gateway.has_lost_configuration(now)
            || source.is_some_and(|source| self.may_copy(now, gateway, &source))
    }

    /// Return whether peers read the store for this instance.
    pub fn follows_peers(&self) -> bool {
        self.follows_peers
    }

    /// Record when the call began whose answer is applied next. It may be an earlier one than the
    /// last.
    pub fn set_answered_call(&mut self, began: Timestamp) {
        self.watch_began = began;
    }

    /// Apply what was read from the store: all backend servers at `position` or later, and the
    /// operators' items.
    pub fn on_read_all(
        &mut self,
        now: Timestamp,
        gateway: &mut Gateway,
        position: StorePosition,
        servers: Vec<StoreItem>,
        operator_items: Vec<StoreItem>,
    ) {
        let evacuated = zones(&operator_items);
        for item in operator_items {
            gateway.on_store_item(now, item);
        }
        gateway.on_everything_read();
        gateway.on_evacuation_list(now, position, &evacuated);
        if self.store_lost {
            gateway.on_store_recovered(now);
        }
        gateway.on_store_list(now, position, servers);
        self.on_answer(gateway, position);
    }

    /// Apply the answer to a watch: the changes up to `position`.
    pub fn on_changes(
        &mut self,
        now: Timestamp,
        gateway: &mut Gateway,
        position: StorePosition,
        items: Vec<StoreItem>,
    ) {
        if self.position.is_some_and(|after| after.era != position.era) {
            // The changes belong to a history that has the revision of the watch by chance.
            self.on_history_lost();
            return;
        }
        if !items.is_empty() {
            self.next_call = now + WATCH_BATCH_DELAY;
        }
        if self.store_lost {
            gateway.on_store_recovered(now);
        }
        let age = self.answered_call.map(|call| now.since(call));
        for item in items {
            gateway.on_store_change(now, item, age);
        }
        let position = self.position.map_or(position, |after| after.max(position));
        self.on_answer(gateway, position);
    }

    fn on_answer(&mut self, gateway: &mut Gateway, position: StorePosition) {
        if self.store_lost {
            self.store_lost = false;
            self.next_call = Timestamp::ORIGIN;
            tracing::info!(
                dependency = "store",
                store_era = position.era,
                store_revision = position.revision,
                "a dependency was regained"
            );
        }
        self.position = Some(position);
        self.answered_call = Some(self.watch_began);
        self.backoff = MIN_BACKOFF;
        gateway.on_store_position(position);
        gateway.set_reads_store(true);
    }

    /// Record that the store no longer has the history after the position of the last watch.
    pub fn on_history_lost(&mut self) {
        let after = self.position.unwrap_or_default();
        tracing::info!(
            store_era = after.era,
            after = after.revision,
            "the store no longer has the history after this revision; reading everything"
        );
        self.position = None;
    }

    /// Record that a call to the store failed. `jitter` from 0 to 1 spreads the next calls of
    /// several instances.
    pub fn on_failure(&mut self, now: Timestamp, gateway: &mut Gateway, error: &str, jitter: f64) {
        gateway.set_reads_store(false);
        if !self.store_lost {
            self.store_lost = true;
            let position = gateway.store_position();
            tracing::warn!(
                dependency = "store",
                error,
                store_era = position.era,
                store_revision = position.revision,
                "a dependency was lost"
            );
        }
        self.jitter = jitter;
        let rank = gateway.fleet().reserve_rank(now);
        let backoff = if rank == 0 {
            let backoff = self.backoff;
            self.backoff = backoff.saturating_mul(2).min(MAX_BACKOFF);
            backoff
        } else {
            reserve_backoff(rank, gateway.fleet().has_reader(now))
        };
        self.next_call = now + jittered(backoff, jitter);
    }
}

/// Return which of the late calls ends, by its index in the order in which they began, because they
/// are too many or too old.
pub fn late_call_to_end(
    now: Timestamp,
    mut began: impl ExactSizeIterator<Item = Timestamp>,
) -> Option<usize> {
    let count = began.len();
    if now.since(began.next()?) >= MAX_LATE_AGE {
        return Some(0);
    }
    // If the oldest one ended, no call would ever outlast a store that is slower than the time in
    // which as many calls begin.
    (count > MAX_LATE_CALLS).then_some(1)
}

/// Return the availability zones of which a list has the evacuation.
fn zones(items: &[StoreItem]) -> Vec<ZoneId> {
    let present = items.iter().filter(|item| item.value.is_some());
    let zones = present.filter_map(|item| match &item.content {
        Content::Evacuation(zone) => Some(zone.clone()),
        Content::Configuration(_) | Content::Server(..) | Content::Other => None,
    });
    zones.collect()
}

/// Return the backoff of an instance with this rank behind the readers of its zone. `peers_read`
/// tells whether a peer of any zone reads the store.
fn reserve_backoff(rank: usize, peers_read: bool) -> Millis {
    let backoff = MAX_BACKOFF + BACKOFF_PER_RANK.saturating_mul(rank as u64);
    let backoff = backoff.min(MAX_RESERVE_BACKOFF);
    if peers_read {
        return backoff;
    }
    let doublings = u32::try_from(rank.saturating_sub(1) / CLOSE_RANKS).unwrap_or(u32::MAX);
    backoff
        .saturating_mul(2_u64.saturating_pow(doublings))
        .min(MAX_REMOTE_BACKOFF)
}

/// Return a part between half and all of a backoff. `jitter` is from 0 to 1.
fn jittered(backoff: Millis, jitter: f64) -> Millis {
    Millis::new((backoff.get() as f64 * (1.0 + jitter) / 2.0) as u64)
}
