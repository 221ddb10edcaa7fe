//! Keep the whole fleet within the request rate that cold backend servers take.
//!
//! All instances read in the store which servers are cold. Rendezvous hashing chooses a few
//! instances for each of them, which share its rate in equal parts, and the others send it nothing
//! until it is warm. Instances exchange no messages for this, so that the bound holds between
//! instances that can't reach each other.

use indexmap::IndexMap;
use oleanderpass_routing::rendezvous::weight;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::id::ServiceId;
use oleanderpass_types::id::ZoneId;
use oleanderpass_types::size::RequestRate;
use strum::Display;

use crate::backend::Announcement;
use crate::backend::BackendKey;
use crate::config::Configuration;
use crate::peers::Acquaintance;
use crate::server_limits::Allowance;
use crate::token_bucket::TokenBucket;

/// The longest time for which a server can be cold. An entry that names a longer one is wrong.
pub const MAX_COLD: Millis = Millis::from_secs(60);

/// The largest share of one instance that counts as less than one request per second. The rest
/// covers connections that take different times to open.
const MAX_SINGLE_SHARE: f64 = 0.95;

/// The most servers that are logged one by one when many become cold or warm at once, as those of a
/// whole availability zone do.
const MAX_LOGGED: usize = 16;

/// What a service says about its cold servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdTerms {
    /// How long a server is cold after it has started.
    pub time: Millis,
    /// The requests per second that a cold server takes from all instances together. 0 if the
    /// configuration names no usable rate.
    pub rate: RequestRate,
}

/// The published bound on the requests that a cold server gets within one second: the rate that it
/// takes, times `overrun`, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// The factor of the rate.
    pub overrun: f64,
    /// The requests beyond that.
    pub slack: f64,
}

impl Default for ColdBound {
    /// Return the bound without any margin.
    fn default() -> Self {
        Self {
            overrun: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdBound {
    /// Return the number of instances that share a rate, and the requests per second of each.
    ///
    /// An instance may have saved one request. The number leaves room in the bound for as many
    /// further instances as possible, which see the fleet differently and send requests too. The
    /// room is largest if no instance sends more than one request in a second.
    pub fn divide(&self, rate: RequestRate, instances: usize) -> (usize, f64) {
        let rate = rate.per_second();
        let allowed = (rate * self.overrun + self.slack).floor().max(1.0);
        let single = (rate / MAX_SINGLE_SHARE).ceil().max(1.0) as usize;
        let room = |sharers: &usize| {
            let share = rate / *sharers as f64 / MAX_SINGLE_SHARE;
            let in_one_second = share.ceil().max(1.0);
            (allowed / in_one_second).floor() as i64 - *sharers as i64
        };
        let best = (1..=single.min(instances.max(1))).max_by_key(room);
        match best.filter(|sharers| room(sharers) >= 0) {
            Some(sharers) => (sharers, rate / sharers as f64),
            None => {
                // A bound without a margin is kept at a lower rate.
                let sharers = (allowed as usize).min(instances).max(1);
                (sharers, (rate / sharers as f64).min(MAX_SINGLE_SHARE))
            }
        }
    }
}

/// Why a server is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ColdReason {
    /// Its entry in the store says so.
    Announced,
    /// Its incarnation is new, and its entry doesn't say.
    Started,
    /// It was gone.
    Returned,
    /// The evacuation of its availability zone was revoked.
    ZoneReturned,
}

/// A server that may be cold.
#[derive(Clone, Debug)]
struct ColdServer {
    id: BackendServerId,
    service: ServiceId,
    zone: ZoneId,
    /// The reason that was found last.
    reason: ColdReason,
    /// Until when it is cold by its entry.
    announced_until: Option<Timestamp>,
    /// When its incarnation was first listed, unless the entry says how long it is cold.
    started: Option<Timestamp>,
    /// When it was last back after it had been gone or in an evacuated zone.
    returned: Option<Timestamp>,
    /// Whether it was logged as cold.
    is_logged: bool,
    bucket: TokenBucket,
}

/// The instances that take part in the choice for each server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Instances {
    /// The hash of the id of this instance, and its availability zone.
    pub own: Option<(u64, ZoneId)>,
    /// The same of the others.
    pub others: Vec<(u64, ZoneId)>,
    /// How well this instance knows them.
    pub acquaintance: Acquaintance,
}

impl Instances {
    /// Return the place of this instance among all in the order for a server, or `None` if it must
    /// not take part. The instances of the server's own zone come first.
    fn rank(&self, key: BackendKey, zone: &ZoneId) -> Option<usize> {
        let (own, own_zone) = self.own.as_ref()?;
        let knows_zone = || own_zone == zone || self.others.iter().any(|(_, other)| other == zone);
        match self.acquaintance {
            Acquaintance::None => return None,
            // The zone may be cut off, and its instances have the shares.
            Acquaintance::Reached if !knows_zone() => return None,
            Acquaintance::Reached | Acquaintance::All => {}
        }
        let rank = |node: u64, node_zone: &ZoneId| (node_zone == zone, weight(key.0, node), node);
        let own = rank(*own, own_zone);
        let before = self.others.iter().filter(|(n, z)| rank(*n, z) > own);
        Some(before.count())
    }
}

/// The servers that are cold, and the part of this instance in their rates.
#[derive(Clone, Debug, Default)]
pub struct ColdServers {
    /// The terms of the services that have some, or `None` before a configuration is in force.
    terms: Option<IndexMap<ServiceId, ColdTerms>>,
    bound: ColdBound,
    instances: Instances,
    servers: IndexMap<BackendKey, ColdServer>,
    /// Whether the terms or the bound changed since the shares were computed.
    is_stale: bool,
}

impl ColdServers {
    /// Create the state of an instance that knows no server yet.
    pub fn new(bound: ColdBound) -> Self {
        Self {
            bound,
            ..Self::default()
        }
    }

    /// Replace the bound.
    pub fn set_bound(&mut self, bound: ColdBound) {
        self.is_stale |= bound != self.bound;
        self.bound = bound;
    }

    /// Apply the terms of a configuration that comes into force.
    pub fn on_configuration(&mut self, config: &Configuration) {
        let mut terms = IndexMap::new();
        for (id, service) in &config.services {
            match service.cold {
                Some(cold) if cold.rate.thousandths() == 0 => tracing::warn!(
                    service = %id,
                    cold_ms = cold.time.get(),
                    "a service names no request rate for its cold servers; they are not limited"
                ),
                Some(cold) => {
                    terms.insert(id.clone(), cold);
                }
                None => {}
            }
        }
        self.terms = Some(terms);
        self.is_stale = true;
    }

    /// Apply a server's entry in the store. `is_new` tells whether its incarnation has started while
    /// this instance knew the list.
    pub fn on_entry(&mut self, now: Timestamp, entry: &Announcement, is_new: bool) {
        match entry.cold_left {
            Some(Millis::ZERO) => {
                // The server doesn't know that it was gone or evacuated.
                if let Some(server) = self.servers.get_mut(&entry.key()) {
                    server.announced_until = None;
                    server.started = None;
                }
            }
            Some(left) => {
                self.mark(now, entry, ColdReason::Announced, |server| {
                    server.announced_until = Some(now + left.min(MAX_COLD));
                    server.started = None;
                });
            }
            None if is_new => self.mark(now, entry, ColdReason::Started, |server| {
                server.started = Some(now);
            }),
            None => {}
        }
    }

    /// Record that a server responds again after it was gone.
    pub fn on_returned(&mut self, now: Timestamp, entry: &Announcement) {
        self.mark(now, entry, ColdReason::Returned, |server| {
            server.returned = Some(now);
        });
    }

    /// Record that the evacuation of a server's zone was revoked.
    pub fn on_zone_returned(&mut self, now: Timestamp, entry: &Announcement) {
        self.mark(now, entry, ColdReason::ZoneReturned, |server| {
            server.returned = Some(now);
        });
    }

    /// Change the state of a server that has a reason to be cold.
    fn mark(
        &mut self,
        now: Timestamp,
        entry: &Announcement,
        reason: ColdReason,
        change: impl FnOnce(&mut ColdServer),
    ) {
        let key = entry.key();
        let is_cold = self.cold_left(now, key).is_some();
        let known = self.servers.swap_remove(&key).filter(|_| is_cold);
        let mut server = known.unwrap_or_else(|| {
            let mut server = ColdServer {
                id: entry.id.clone(),
                service: entry.service.clone(),
                zone: entry.zone.clone(),
                reason,
                announced_until: None,
                started: None,
                returned: None,
                is_logged: false,
                bucket: TokenBucket::default(),
            };
            if let Some((rank, sharers)) = self.share(now, key, &mut server) {
                // The sharers send their first requests one after the other.
                server.bucket.fill(now, rank as f64 / sharers as f64);
            }
            server
        });
        server.reason = reason;
        change(&mut server);
        self.servers.insert(key, server);
    }

    /// Forget a server that was removed.
    pub fn remove(&mut self, key: BackendKey) {
        self.servers.swap_remove(&key);
    }

    /// Return until when a server is cold. The time may have passed.
    fn until(&self, key: BackendKey) -> Option<Timestamp> {
        let server = self.servers.get(&key)?;
        let terms = self.terms.as_ref()?.get(&server.service)?;
        let since = server.started.max(server.returned);
        server.announced_until.max(since.map(|at| at + terms.time))
    }

    /// Return how much longer a server is cold, or `None` if it is warm.
    pub fn cold_left(&self, now: Timestamp, key: BackendKey) -> Option<Millis> {
        let until = self.until(key).filter(|until| now < *until)?;
        Some(now.until(until))
    }

    /// Return the number of cold servers.
    pub fn count(&self, now: Timestamp) -> usize {
        let keys = self.servers.keys();
        keys.filter(|key| self.cold_left(now, **key).is_some())
            .count()
    }

    /// Return whether this instance may send a request to a server. One without a share may when
    /// the server is warm.
    pub fn allowance(&self, now: Timestamp, key: BackendKey) -> Allowance {
        let Some((server, left)) = self.servers.get(&key).zip(self.cold_left(now, key)) else {
            return Allowance::Unlimited;
        };
        match server.bucket.allowance(now) {
            Allowance::After(wait) => Allowance::After(wait.min(left)),
            Allowance::Never => Allowance::After(left),
            other => other,
        }
    }

    /// Count a request to a server. Return `false` if the server is warm.
    pub fn take(&mut self, now: Timestamp, key: BackendKey) -> bool {
        let is_cold = self.cold_left(now, key).is_some();
        if is_cold && let Some(server) = self.servers.get_mut(&key) {
            server.bucket.take(now);
        }
        is_cold
    }

    /// Undo [`ColdServers::take`] for a request that was not sent.
    pub fn refund(&mut self, now: Timestamp, key: BackendKey) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.bucket.refund(now);
        }
    }

    /// Log what changed, drop servers that are warm, and apply the instances that share the rates.
    pub fn tick(&mut self, now: Timestamp, instances: Instances) {
        if instances != self.instances || self.is_stale {
            self.instances = instances;
            self.is_stale = false;
            self.share_all(now);
        }
        self.log_cold(now);
        self.drop_warm(now);
    }

    fn log_cold(&mut self, now: Timestamp) {
        let keys = self.servers.iter().filter(|(_, server)| !server.is_logged);
        let keys: Vec<BackendKey> = keys.map(|(key, _)| *key).collect();
        let mut logged = 0;
        for key in keys {
            let Some(left) = self.cold_left(now, key) else {
                continue;
            };
            if let Some(server) = self.servers.get_mut(&key) {
                server.is_logged = true;
                logged += 1;
                if logged <= MAX_LOGGED {
                    tracing::info!(
                        server = %server.id,
                        reason = %server.reason,
                        cold_ms = left.get(),
                        share_per_s = server.bucket.per_second(),
                        "a backend server is cold"
                    );
                }
            }
        }
        if logged > MAX_LOGGED {
            let servers = logged - MAX_LOGGED;
            tracing::info!(servers, "further backend servers are cold");
        }
    }

    fn drop_warm(&mut self, now: Timestamp) {
        let is_warm = |key: &BackendKey| self.cold_left(now, *key).is_none();
        // Nothing is known of the terms before the first configuration.
        let warm = self
            .servers
            .keys()
            .filter(|key| self.terms.is_some() && is_warm(key));
        let warm: Vec<BackendKey> = warm.copied().collect();
        let mut logged = 0;
        for key in warm {
            if let Some(server) = self.servers.swap_remove(&key).filter(|s| s.is_logged) {
                logged += 1;
                if logged <= MAX_LOGGED {
                    let reason = server.reason;
                    tracing::info!(server = %server.id, %reason, "a backend server is warm");
                }
            }
        }
        if logged > MAX_LOGGED {
            let servers = logged - MAX_LOGGED;
            tracing::info!(servers, "further backend servers are warm");
        }
    }

    /// Choose for each server whether this instance has a share.
    fn share_all(&mut self, now: Timestamp) {
        let mut servers = std::mem::take(&mut self.servers);
        for (key, server) in &mut servers {
            self.share(now, *key, server);
        }
        self.servers = servers;
    }

    /// Set the share of this instance in the rate of a server. Return its place among the sharers
    /// and their number, if it has a share.
    fn share(
        &self,
        now: Timestamp,
        key: BackendKey,
        server: &mut ColdServer,
    ) -> Option<(usize, usize)> {
        let terms = self.terms.as_ref();
        let divided = terms
            .and_then(|terms| terms.get(&server.service))
            .map(|terms| {
                let instances = self.instances.others.len() + 1;
                self.bound.divide(terms.rate, instances)
            });
        let rank = self.instances.rank(key, &server.zone);
        match rank.zip(divided) {
            Some((rank, (sharers, per_second))) if rank < sharers => {
                server.bucket.set_share(now, per_second);
                Some((rank, sharers))
            }
            _ => {
                server.bucket.set_share(now, 0.0);
                None
            }
        }
    }
}
