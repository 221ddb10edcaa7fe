//! Simulate a fleet of gateways that read the platform's store, in virtual time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use oleanderpass_gateway::backend::AnnouncedState;
use oleanderpass_gateway::backend::Announcement;
use oleanderpass_gateway::cold::ColdBound;
use oleanderpass_gateway::configuration_source::Choice;
use oleanderpass_gateway::copy_slots::SlotId;
use oleanderpass_gateway::evacuation::PeerEvacuation;
use oleanderpass_gateway::gateway::Bounds;
use oleanderpass_gateway::gateway::Gateway;
use oleanderpass_gateway::gateway::ServedConfiguration;
use oleanderpass_gateway::registry::Standing;
use oleanderpass_gateway::store::Content;
use oleanderpass_gateway::store::CopySource;
use oleanderpass_gateway::store::EncodedConfiguration;
use oleanderpass_gateway::store::OmittedConfiguration;
use oleanderpass_gateway::store::StoreItem;
use oleanderpass_gateway::store::StorePosition;
use oleanderpass_gateway::store_reader;
use oleanderpass_gateway::store_reader::Step;
use oleanderpass_gateway::store_reader::StoreReader;
use oleanderpass_gateway::transfer::STALL_TIME;
use oleanderpass_gateway::transfer::Transfer;
use oleanderpass_membership::membership::Identity;
use oleanderpass_proto::peer::Packet;
use oleanderpass_proto::peer::StoreCopy;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::ZoneId;
use oleanderpass_types::size::Bytes as Size;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;

use super::KEY;
use super::at;
use super::configuration;
use super::fleet::CONTACT_MS;
use super::fleet::Fault;
use super::fleet::addr_of;
use super::fleet::hello;
use super::fleet::name_of;
use super::server;

/// The one-way delay of datagrams, in milliseconds.
const DELAY_MS: u64 = 1;
/// The time that the store or a peer takes to answer a call, in milliseconds.
const CALL_MS: u64 = 4;
/// The timeouts and pauses of the calls, in milliseconds.
const READ_TIMEOUT_MS: u64 = STALL_TIME.get();
const WATCH_CHECK_MS: u64 = 300;
const BEHIND_GRACE_MS: u64 = 250;
const COPY_PAUSE_MS: u64 = 100;
/// The interval at which transfers advance, in milliseconds.
const TRANSFER_STEP_MS: u64 = 10;
/// The size of a value in an answer of the store, which encodes it as base64, by its own size.
const STORE_ENCODING: f64 = 4.0 / 3.0;
/// The size of an item of the store, other than the configuration, in bytes.
const ITEM_BYTES: f64 = 250.0;
/// The number of availability zones.
pub(crate) const ZONES: usize = 3;
/// The time within which a confirmed change is in force, in milliseconds.
pub(crate) const APPLY_MS: u64 = 2_000;
/// The time after which a leaving server gets no more work, in milliseconds.
pub(crate) const DRAIN_MS: u64 = 2_000;

/// The start of the keys of evacuations.
const EVACUATION_PREFIX: &str = "evacuate/";

/// What is written into the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Write {
    Configuration(u64),
    Server(Announcement),
    Evacuation(ZoneId),
    Removal(SmolStr),
}

impl Write {
    fn key(&self) -> SmolStr {
        match self {
            Self::Configuration(_) => "config".into(),
            Self::Server(entry) => entry.id.as_str().into(),
            Self::Evacuation(zone) => format!("{EVACUATION_PREFIX}{zone}").into(),
            Self::Removal(key) => key.clone(),
        }
    }

    fn value(&self) -> Option<Bytes> {
        match self {
            Self::Configuration(version) => Some(format!("{version}").into()),
            Self::Server(entry) => {
                let number = match entry.addr {
                    SocketAddr::V4(addr) => addr.ip().octets()[3],
                    SocketAddr::V6(_) => 0,
                };
                let (incarnation, state) = (entry.incarnation, entry.state);
                Some(format!("{incarnation} {number} {state}").into())
            }
            Self::Evacuation(_) => Some(Bytes::from_static(b"{}")),
            Self::Removal(_) => None,
        }
    }
}

/// Return the zone that the key of an evacuation names.
fn zone_of(key: &str) -> ZoneId {
    key.trim_start_matches(EVACUATION_PREFIX).parse().unwrap()
}

/// Decode the evacuations in a peer's copy of the store.
pub(crate) fn evacuations(copy: &StoreCopy) -> Vec<PeerEvacuation> {
    let entries = copy.evacuations.iter().flat_map(|all| &all.entries);
    let decoded = entries.map(|raw| PeerEvacuation {
        zone: zone_of(&raw.key),
        key: raw.key.as_str().into(),
        write: StorePosition::new(raw.era, raw.revision),
        removal: (raw.revoked).then(|| StorePosition::new(raw.revoked_era, raw.revoked_revision)),
        age: raw.age_ms.map(Millis::new),
        witnessed: raw.witnessed,
        earlier: raw.earlier_writes.clone(),
    });
    decoded.collect()
}

/// Decode an item from its undecoded value.
fn decode(key: &str, position: StorePosition, value: Option<Bytes>) -> StoreItem {
    let text = value
        .as_ref()
        .map(|value| String::from_utf8(value.to_vec()).unwrap());
    let words: Vec<&str> = text
        .iter()
        .flat_map(|text| text.split_whitespace())
        .collect();
    let content = match (key, &words[..]) {
        // The routes that follow the version count by their size only.
        ("config", [version, ..]) => {
            let version = version.parse().unwrap();
            Content::Configuration(Some(configuration(version, &[KEY])))
        }
        ("config", _) => Content::Configuration(None),
        (key, _) if key.starts_with(EVACUATION_PREFIX) => Content::Evacuation(zone_of(key)),
        (id, [incarnation, number, state]) => {
            let (incarnation, number) = (incarnation.parse().unwrap(), number.parse().unwrap());
            let mut entry = server(id, "engines", incarnation, number);
            if *state == "draining" {
                entry.state = AnnouncedState::Draining;
            }
            Content::Server(entry.id.clone(), Some(entry))
        }
        (id, _) => Content::Server(id.parse().unwrap(), None),
    };
    StoreItem {
        key: key.into(),
        position,
        value,
        content,
    }
}

/// How the store responds to calls while it is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outage {
    /// Connections are reset.
    Reset,
    /// Calls get no answer. Those that wait never get one.
    Silent,
}

/// The links of all instances and what they carry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Links {
    /// What a link carries in each direction.
    pub(crate) bytes_per_ms: f64,
    /// The size of the first version of the configuration.
    pub(crate) configuration_bytes: usize,
    /// What each further version has in addition.
    pub(crate) growth_bytes: usize,
}

impl Links {
    fn configuration_bytes(&self, version: u64) -> usize {
        self.configuration_bytes + self.growth_bytes * (version as usize - 1)
    }
}

/// Return a text that stands for the routes of a configuration. Its letters are random, so that it
/// compresses worse than routes do.
fn routes(bytes: usize) -> Bytes {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let letters = (0..bytes).map(|_| rng.random_range(b'a'..=b'z'));
    letters.collect()
}

/// An answer on its way to an instance.
#[derive(Debug)]
struct Delivery {
    /// The instance that sends it, or `None` for the store.
    from: Option<usize>,
    /// The incarnation of the sender.
    incarnation: u64,
    to: usize,
    step: u64,
    /// The place among the copies that the sender sends, if this is a configuration alone.
    slot: Option<SlotId>,
    left_bytes: f64,
    progress: Transfer,
    reply: Reply,
}

/// Who writes into the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Writer {
    Operator,
    Servers,
}

/// A peer's copy of the store.
#[derive(Clone, Debug)]
struct Copy {
    position: StorePosition,
    partial: bool,
    items: Vec<StoreItem>,
    evacuations: Vec<PeerEvacuation>,
    omitted: Option<OmittedConfiguration>,
}

#[derive(Clone, Debug)]
enum Reply {
    All(StorePosition, Vec<StoreItem>),
    Changes(StorePosition, Vec<StoreItem>),
    HistoryLost,
    Failed,
    /// No answer has come in time. The call goes on.
    Late,
    Copy(Box<Copy>),
    CopyFailed,
    /// A configuration that is fetched separately.
    Configuration(Box<EncodedConfiguration>),
    ConfigurationRefused,
    ConfigurationFailed,
}

#[derive(Debug)]
enum Event {
    Tick(usize),
    Deliver {
        from: usize,
        to: usize,
        packet: Rc<Packet>,
    },
    /// An instance decides, unless it has done so since.
    Decide(usize, u64),
    Answer(usize, u64, Reply),
    /// An instance chooses where to fetch a configuration, unless it has done so since.
    Fetch(usize, u64),
    /// What became of that.
    Fetched(usize, u64, SocketAddr, Reply),
    /// Answers on their way advance.
    Advance,
    /// An instance checks whether its watch has to be a shorter one.
    Renew(usize, u64),
    /// An instance was behind its peers a short time ago.
    Behind(usize, u64),
    Fault(usize, Fault),
    Write(Write),
    Down(Outage),
    /// From now on the store takes longer to answer: until when, and how long.
    Slow(u64, u64),
    /// The store is back. It has lost what it acknowledged within the last milliseconds before
    /// the outage, if it was restored from a copy.
    Up(Option<u64>),
    /// Operators or servers write again what the store has lost.
    WriteAgain(Writer),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doing {
    Waiting,
    Watching(StorePosition),
    Calling,
}

struct Instance {
    gateway: Option<Gateway>,
    reader: StoreReader,
    doing: Doing,
    /// The number of the current step. Events of earlier steps are ignored, except answers to late
    /// calls.
    step: u64,
    /// When the current step began.
    began: u64,
    /// The steps of late calls, and when they began.
    late: VecDeque<(u64, u64)>,
    /// The number of the current step towards a configuration that is fetched separately.
    fetch_step: u64,
    /// Whether no such step is due.
    fetches_nothing: bool,
    /// Whether the connection of the current call is open and dead.
    hangs: bool,
    /// Whether the store resets the connections of this instance.
    refused: bool,
    incarnation: u64,
    frozen_until: u64,
    cut_until: u64,
    calm_since: u64,
}

/// The history of the store since its era began, and all writes that operators and servers know.
struct Store {
    outage: Option<Outage>,
    down_at: u64,
    position: StorePosition,
    /// Watches from before this revision are refused.
    history_start: u64,
    changes: Vec<(u64, u64, Write)>,
    /// When each write was first acknowledged.
    acknowledged: Vec<(u64, Write)>,
    /// The sizes of configurations, if they matter.
    links: Option<Links>,
    /// The values of versions of the configuration.
    configurations: RefCell<BTreeMap<u64, Bytes>>,
    /// Until when calls take longer, and how long.
    slow: Option<(u64, u64)>,
}

impl Store {
    /// Return the present items, each with the revision of its last change.
    fn items(&self) -> BTreeMap<SmolStr, (u64, Write)> {
        let mut items = BTreeMap::new();
        for (_, revision, write) in &self.changes {
            match write {
                Write::Removal(key) => {
                    items.remove(key);
                }
                Write::Configuration(_) | Write::Server(_) | Write::Evacuation(_) => {
                    items.insert(write.key(), (*revision, write.clone()));
                }
            }
        }
        items
    }

    fn append(&mut self, now: u64, write: Write) {
        self.position.revision += 1;
        self.changes.push((now, self.position.revision, write));
    }

    /// Return the time that a call takes, in milliseconds.
    fn call_ms(&self, now: u64) -> u64 {
        let slow = self.slow.filter(|(end, _)| now < *end);
        slow.map_or(CALL_MS, |(_, call_ms)| call_ms)
    }

    fn item(&self, revision: u64, write: &Write) -> StoreItem {
        let position = StorePosition::new(self.position.era, revision);
        let value = match (write, self.links) {
            (Write::Configuration(version), Some(links)) => {
                let mut values = self.configurations.borrow_mut();
                let value = values.entry(*version).or_insert_with(|| {
                    let size = links.configuration_bytes(*version);
                    [format!("{version} ").as_bytes(), &routes(size)]
                        .concat()
                        .into()
                });
                Some(value.clone())
            }
            _ => write.value(),
        };
        decode(&write.key(), position, value)
    }

    /// Return the value of a configuration that was written, instead of a copy of it.
    fn share(&self, value: Bytes) -> Bytes {
        let written = self.configurations.borrow();
        let written = written.values().find(|written| **written == value);
        written.cloned().unwrap_or(value)
    }

    fn read_all(&self) -> Reply {
        let items = self.items();
        let items = items
            .values()
            .map(|(revision, write)| self.item(*revision, write));
        Reply::All(self.position, items.collect())
    }

    /// Return the answer to a watch, or `None` if nothing has changed since `after`.
    fn watch(&self, after: u64) -> Option<Reply> {
        if after < self.history_start || after > self.position.revision {
            return Some(Reply::HistoryLost);
        }
        let items: Vec<StoreItem> = self
            .changes
            .iter()
            .filter(|(_, revision, _)| *revision > after)
            .map(|(_, revision, write)| self.item(*revision, write))
            .collect();
        (!items.is_empty()).then(|| Reply::Changes(self.position, items))
    }

    /// Go back to the state of the time `copied`.
    fn restore(&mut self, copied: u64) {
        self.changes.retain(|(at, ..)| *at <= copied);
        let last = self.changes.last();
        self.position.revision = last.map_or(0, |(_, revision, _)| *revision);
        self.position.era += 1;
    }

    /// Return the last acknowledged writes that the store has lost.
    fn lost(&self, writer: Writer) -> Vec<Write> {
        let mut wanted = BTreeMap::new();
        for (_, write) in &self.acknowledged {
            wanted.insert(write.key(), write);
        }
        let mut lost = Vec::new();
        for (key, write) in wanted {
            let stored = self.items().get(&key).map(|(_, write)| write.clone());
            let (by, is_lost) = match &write {
                // Operators don't write evacuations or their removals again.
                Write::Evacuation(_) => (Writer::Operator, false),
                Write::Removal(key) if key.starts_with(EVACUATION_PREFIX) => {
                    (Writer::Operator, false)
                }
                Write::Removal(_) => (Writer::Servers, stored.is_some()),
                Write::Server(_) => (Writer::Servers, stored.as_ref() != Some(write)),
                Write::Configuration(_) => (Writer::Operator, stored.as_ref() != Some(write)),
            };
            if by == writer && is_lost {
                lost.push(write.clone());
            }
        }
        lost
    }
}

/// An outage of the store after which it comes back from a copy. All times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Restore {
    pub(crate) ms: u64,
    /// The age of the copy at the start of the outage.
    pub(crate) age_ms: u64,
    /// The time after the return at which operators write again what was lost.
    pub(crate) operator_ms: u64,
    /// The same for backend servers.
    pub(crate) servers_ms: u64,
}

/// A broken promise.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    pub(crate) at: u64,
    pub(crate) instance: usize,
    pub(crate) what: String,
}

/// Gateways, a store and the events between them.
pub(crate) struct StoreFleet {
    now: u64,
    queue: BTreeMap<(u64, u64), Event>,
    pushed: u64,
    instances: Vec<Instance>,
    store: Store,
    /// When the store last changed between being there and away. Instances count as in touch only
    /// some time after.
    store_calm_since: u64,
    /// What was broken, as found by the checks after each tick.
    pub(crate) violations: Vec<Violation>,
    /// The number of calls to the store.
    pub(crate) store_calls: u64,
    /// When each instance began to call the store: the time in milliseconds and the instance.
    pub(crate) calls_begun: Vec<(u64, usize)>,
    /// The number of copies that instances fetched from peers.
    pub(crate) copies: u64,
    /// The number of times that instances asked peers for a configuration alone.
    pub(crate) configuration_copies: u64,
    seen: Vec<u64>,
    /// The newest version that was ever in force at each instance.
    noted: Vec<u64>,
    /// When each version came into force at the last instance so far, and at how many it is.
    in_force: BTreeMap<u64, (u64, usize)>,
    /// The time within which a confirmed change is in force, in milliseconds.
    apply_ms: u64,
    /// `None` if answers take no longer when they are large.
    links: Option<Links>,
    deliveries: Vec<Delivery>,
}

impl StoreFleet {
    /// Create a fleet of running instances before a store that holds these writes.
    pub(crate) fn new(instances: usize, absent: &[usize], writes: Vec<Write>) -> Self {
        let mut fleet = Self {
            now: 0,
            queue: BTreeMap::new(),
            pushed: 0,
            instances: Vec::new(),
            store: Store {
                outage: None,
                down_at: 0,
                position: StorePosition::new(1, 0),
                history_start: 0,
                changes: Vec::new(),
                acknowledged: Vec::new(),
                links: None,
                configurations: RefCell::default(),
                slow: None,
            },
            store_calm_since: 0,
            violations: Vec::new(),
            store_calls: 0,
            calls_begun: Vec::new(),
            copies: 0,
            configuration_copies: 0,
            seen: vec![0; instances],
            noted: vec![0; instances],
            in_force: BTreeMap::new(),
            apply_ms: APPLY_MS,
            links: None,
            deliveries: Vec::new(),
        };
        for write in writes {
            fleet.store.acknowledged.push((0, write.clone()));
            fleet.store.append(0, write);
        }
        for number in 0..instances {
            fleet.instances.push(Instance {
                gateway: None,
                reader: StoreReader::default(),
                doing: Doing::Waiting,
                step: 0,
                began: 0,
                late: VecDeque::new(),
                fetch_step: 0,
                fetches_nothing: false,
                hangs: false,
                refused: false,
                incarnation: 0,
                frozen_until: 0,
                cut_until: 0,
                calm_since: 0,
            });
            // The ticks of the instances are spread over the tick interval.
            fleet.push(number as u64 % 100, Event::Tick(number));
        }
        for number in (0..instances).filter(|number| !absent.contains(number)) {
            fleet.start(number);
        }
        fleet
    }

    /// Let answers take the time that links need for them, and allow changes of the configuration
    /// this time until they are in force.
    pub(crate) fn set_links(&mut self, links: Links, apply_ms: u64) {
        self.links = Some(links);
        self.store.links = Some(links);
        self.apply_ms = apply_ms;
    }

    /// Let something be written, or written as soon as the store is back.
    pub(crate) fn write(&mut self, at: u64, write: Write) {
        self.push(at, Event::Write(write));
    }

    /// Let the store be away for some time.
    pub(crate) fn outage(&mut self, at: u64, ms: u64, outage: Outage) {
        self.push(at, Event::Down(outage));
        self.push(at + ms, Event::Up(None));
    }

    /// Let each call to the store take `call_ms` for some time.
    pub(crate) fn slow_down(&mut self, at: u64, ms: u64, call_ms: u64) {
        self.push(at, Event::Slow(at + ms, call_ms));
    }

    /// Let the store be away and come back from a copy.
    pub(crate) fn restore(&mut self, at: u64, restore: Restore) {
        self.push(at, Event::Down(Outage::Reset));
        let back = at + restore.ms;
        self.push(back, Event::Up(Some(restore.age_ms)));
        for (writer, delay) in [
            (Writer::Operator, restore.operator_ms),
            (Writer::Servers, restore.servers_ms),
        ] {
            self.push(back + delay, Event::WriteAgain(writer));
        }
    }

    /// Let the store reset the connections of an instance from now on, or serve it again.
    pub(crate) fn refuse(&mut self, number: usize, refused: bool) {
        let instance = &mut self.instances[number];
        instance.refused = refused;
        if refused && matches!(instance.doing, Doing::Watching(_)) {
            let step = instance.step;
            self.push(self.now + 1, Event::Answer(number, step, Reply::Failed));
        }
    }

    /// Return how the store responds to an instance if it doesn't serve it.
    fn outage_at(&self, number: usize) -> Option<Outage> {
        let refused = self.instances[number].refused.then_some(Outage::Reset);
        self.store.outage.or(refused)
    }

    /// Return the availability zone of an instance.
    pub(crate) fn zone(number: usize) -> usize {
        number % ZONES
    }

    /// Return whether an instance watches the store itself.
    pub(crate) fn is_watching(&self, number: usize) -> bool {
        matches!(self.instances[number].doing, Doing::Watching(_))
    }

    /// Return whether an instance watches the store, or peers do so for it.
    pub(crate) fn is_in_touch(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        self.is_watching(number) || instance.reader.follows_peers()
    }

    /// Let a fault happen to an instance.
    pub(crate) fn fault(&mut self, at: u64, instance: usize, fault: Fault) {
        self.push(at, Event::Fault(instance, fault));
    }

    /// Play until `end`, in milliseconds from the start.
    pub(crate) fn run(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((now, _), event) = entry.remove_entry();
            self.now = now;
            self.handle(event);
        }
        self.now = end;
    }

    /// Fail the test if a promise was broken.
    pub(crate) fn assert_no_violations(&self) {
        let found = self.violations.iter().take(5);
        let found: Vec<String> = found.map(|v| format!("{v:?}")).collect();
        assert!(
            found.is_empty(),
            "{} violations: {found:#?}",
            self.violations.len()
        );
    }

    /// Return the time from the confirmation of a version until it or a newer one is in force at all
    /// instances, in milliseconds.
    pub(crate) fn spread_ms(&self, version: u64) -> Option<u64> {
        let confirmed = self.store.acknowledged.iter();
        let mut confirmed = confirmed.filter(|(_, write)| *write == Write::Configuration(version));
        let (confirmed, _) = confirmed.next_back()?;
        let (last, count) = self.in_force.get(&version)?;
        (*count == self.instances.len()).then(|| last - confirmed)
    }

    /// Record which version is in force at an instance.
    fn note_version(&mut self, number: usize) {
        let version = self.version(number);
        let confirmed = self.store.acknowledged.iter();
        for (_, write) in confirmed {
            if let Write::Configuration(passed) = write
                && (self.noted[number] + 1..=version).contains(passed)
            {
                let (last, count) = self.in_force.entry(*passed).or_default();
                (*last, *count) = (self.now, *count + 1);
            }
        }
        self.noted[number] = version.max(self.noted[number]);
    }

    /// Return the version in force at an instance, or 0 if there is none.
    pub(crate) fn version(&self, number: usize) -> u64 {
        let gateway = self.instances[number].gateway.as_ref();
        let config = gateway.and_then(Gateway::configuration);
        config.map_or(0, |config| config.version.get())
    }

    fn push(&mut self, at: u64, event: Event) {
        self.pushed += 1;
        self.queue.insert((at, self.pushed), event);
    }

    fn handle(&mut self, event: Event) {
        let instance = match &event {
            Event::Tick(instance)
            | Event::Decide(instance, _)
            | Event::Answer(instance, ..)
            | Event::Fetch(instance, _)
            | Event::Fetched(instance, ..)
            | Event::Renew(instance, _)
            | Event::Behind(instance, _) => Some(*instance),
            Event::Deliver { to, .. } => Some(*to),
            Event::Fault(..)
            | Event::Write(_)
            | Event::WriteAgain(_)
            | Event::Advance
            | Event::Down(_)
            | Event::Slow(..)
            | Event::Up(_) => None,
        };
        if let Some(wake) = instance.map(|instance| self.instances[instance].frozen_until)
            && wake > self.now
        {
            self.push(wake, event);
            return;
        }
        match event {
            Event::Tick(instance) => self.tick(instance),
            Event::Deliver { from, to, packet } => self.deliver(from, to, &packet),
            Event::Decide(instance, step) if self.instances[instance].step == step => {
                self.decide(instance);
            }
            Event::Answer(instance, step, Reply::Failed | Reply::Late | Reply::CopyFailed)
                if self.is_delivered(instance, step) => {}
            Event::Answer(instance, step, reply) if self.instances[instance].step == step => {
                self.answer(instance, reply);
            }
            Event::Answer(
                number,
                step,
                reply @ (Reply::All(..) | Reply::Changes(..) | Reply::HistoryLost),
            ) if !self.is_cut(number) => {
                let instance = &mut self.instances[number];
                let late = instance.late.iter().find(|(late, _)| *late == step);
                if let Some((_, began)) = late.copied() {
                    instance.reader.set_answered_call(at(began));
                    instance.hangs = false;
                    self.answer(number, reply);
                }
            }
            Event::Behind(instance, step) if self.instances[instance].step == step => {
                let now = at(self.now);
                let behind = self.instances[instance].gateway.as_ref();
                if behind.is_some_and(|gateway| gateway.is_behind(now))
                    && !self.is_delivered(instance, step)
                {
                    self.answer(instance, Reply::Late);
                }
            }
            Event::Renew(number, step) if self.instances[number].step == step => {
                let now = at(self.now);
                let instance = &self.instances[number];
                let gateway = instance.gateway.as_ref();
                if gateway.is_some_and(|gateway| instance.reader.renews_watch(now, gateway)) {
                    self.decide(number);
                } else {
                    self.push(self.now + WATCH_CHECK_MS, Event::Renew(number, step));
                }
            }
            Event::Fetch(number, step) if self.instances[number].fetch_step == step => {
                self.fetch(number);
            }
            Event::Fetched(number, step, peer, reply)
                if self.instances[number].fetch_step == step =>
            {
                self.on_fetched(number, peer, reply);
            }
            Event::Decide(..)
            | Event::Answer(..)
            | Event::Renew(..)
            | Event::Behind(..)
            | Event::Fetch(..)
            | Event::Fetched(..) => {}
            Event::Advance => self.advance_deliveries(),
            Event::Fault(instance, fault) => self.apply(instance, fault),
            Event::Write(write) => {
                if self.store.outage.is_some() {
                    // Operators and servers try again until the store acknowledges.
                    self.push(self.now + 50, Event::Write(write));
                } else {
                    self.store.acknowledged.push((self.now, write.clone()));
                    self.put([write]);
                }
            }
            Event::WriteAgain(writer) => {
                if self.store.outage.is_none() {
                    let lost = self.store.lost(writer);
                    self.put(lost);
                }
            }
            Event::Down(outage) => self.go_down(outage),
            Event::Slow(end, call_ms) => self.store.slow = Some((end, call_ms)),
            Event::Up(age) => self.come_back(age),
        }
    }

    fn apply(&mut self, number: usize, fault: Fault) {
        let now = self.now;
        let instance = &mut self.instances[number];
        match fault {
            Fault::Start => self.start(number),
            Fault::Freeze(ms) => {
                instance.frozen_until = now + ms;
                instance.calm_since = now + ms;
            }
            Fault::CutFromServers(..) => {}
            Fault::Cut(ms) => {
                instance.cut_until = now + ms;
                instance.calm_since = now + ms;
            }
        }
    }

    fn start(&mut self, number: usize) {
        let now = at(self.now);
        let instance = &mut self.instances[number];
        instance.incarnation += 1;
        instance.step += 1;
        instance.late.clear();
        instance.fetch_step += 1;
        instance.doing = Doing::Waiting;
        instance.reader = StoreReader::default();
        instance.calm_since = if self.now == 0 { 0 } else { self.now };
        self.seen[number] = 0;
        let identity = Identity {
            id: name_of(number).parse().unwrap(),
            incarnation: Incarnation::new(instance.incarnation),
            zone: format!("zone-{}", Self::zone(number)).parse().unwrap(),
            addr: addr_of(number),
        };
        let bounds = Bounds {
            retry_ratio: 0.2,
            retry_slack: 102,
            evacuation: Millis::ZERO,
            cold: ColdBound::default(),
        };
        let mut gateway = Gateway::new(now, identity, Vec::new(), bounds, number as u64);
        let own_incarnation = instance.incarnation;
        for peer in 0..self.instances.len() {
            let incarnation = self.instances[peer].incarnation;
            if let Some(known) = &mut self.instances[peer].gateway
                && peer != number
            {
                let own = hello(number, own_incarnation);
                known.on_packet(now, addr_of(number), &own, &mut Vec::new());
                let other = hello(peer, incarnation);
                gateway.on_packet(now, addr_of(peer), &other, &mut Vec::new());
            }
        }
        self.instances[number].gateway = Some(gateway);
        let instance = &self.instances[number];
        let (step, fetch_step) = (instance.step, instance.fetch_step);
        self.push(self.now, Event::Decide(number, step));
        self.push(self.now, Event::Fetch(number, fetch_step));
    }

    fn tick(&mut self, number: usize) {
        let mut out = Vec::new();
        if let Some(gateway) = &mut self.instances[number].gateway {
            gateway.on_tick(at(self.now), &mut out);
        }
        self.post(number, out);
        self.check(number);
        self.push(self.now + 100, Event::Tick(number));
    }

    fn post(&mut self, from: usize, packets: Vec<(SocketAddr, Packet)>) {
        for (to, packet) in packets {
            let SocketAddr::V4(to) = to else { continue };
            let octets = to.ip().octets();
            let to = usize::from(octets[2]) * 250 + usize::from(octets[3]);
            let packet = Rc::new(packet);
            self.push(self.now + DELAY_MS, Event::Deliver { from, to, packet });
        }
    }

    fn is_cut(&self, number: usize) -> bool {
        self.instances[number].cut_until > self.now
    }

    fn deliver(&mut self, from: usize, to: usize, packet: &Packet) {
        if self.is_cut(from) || self.is_cut(to) {
            return;
        }
        let now = at(self.now);
        let mut out = Vec::new();
        let instance = &mut self.instances[to];
        let mut behind = false;
        if let Some(gateway) = &mut instance.gateway {
            gateway.on_packet(now, addr_of(from), packet, &mut out);
            behind = gateway.is_behind(now);
        }
        let (doing, step) = (instance.doing, instance.step);
        self.post(to, out);
        self.wake_fetch(to);
        match doing {
            Doing::Waiting if behind => self.push(self.now, Event::Decide(to, step)),
            Doing::Watching(_) if behind => {
                self.push(self.now + BEHIND_GRACE_MS, Event::Behind(to, step));
            }
            Doing::Waiting | Doing::Watching(_) | Doing::Calling => {}
        }
    }

    /// Begin the next step of an instance.
    fn decide(&mut self, number: usize) {
        let now = at(self.now);
        let cut = self.is_cut(number);
        let outage = self.outage_at(number);
        let instance = &mut self.instances[number];
        let Some(gateway) = &mut instance.gateway else {
            return;
        };
        let next = instance.reader.next(now, gateway);
        instance.step += 1;
        instance.began = self.now;
        instance.hangs = false;
        let step = instance.step;
        instance.doing = match next {
            Step::Wait(_) => Doing::Waiting,
            Step::Watch { after, .. } => Doing::Watching(after),
            Step::Copy(_) | Step::ReadAll => Doing::Calling,
        };
        let mut out = Vec::new();
        gateway.send_bulletin(now, &mut out);
        self.post(number, out);
        if matches!(next, Step::ReadAll | Step::Watch { .. }) {
            self.calls_begun.push((self.now, number));
        }
        match next {
            Step::Wait(until) => {
                let wait = now.until(until).get();
                self.push(self.now + wait, Event::Decide(number, step));
            }
            Step::Copy(source) => self.copy(number, step, source),
            Step::ReadAll => {
                self.store_calls += 2;
                let (delay, reply) = match outage {
                    _ if cut => (READ_TIMEOUT_MS, Reply::Late),
                    Some(Outage::Silent) => (READ_TIMEOUT_MS, Reply::Late),
                    Some(Outage::Reset) => (1, Reply::Failed),
                    None => (2 * self.store.call_ms(self.now), self.store.read_all()),
                };
                let timeout = Event::Answer(number, step, Reply::Late);
                self.push(self.now + READ_TIMEOUT_MS, timeout);
                self.instances[number].hangs = cut || outage == Some(Outage::Silent);
                self.send_answer(None, number, step, delay, reply);
            }
            Step::Watch {
                after,
                wait,
                timeout,
            } => {
                self.store_calls += 1;
                self.push(self.now + WATCH_CHECK_MS, Event::Renew(number, step));
                self.instances[number].hangs = cut || outage == Some(Outage::Silent);
                self.push(
                    self.now + timeout.get(),
                    Event::Answer(number, step, Reply::Late),
                );
                if outage == Some(Outage::Reset) && !cut {
                    self.push(self.now + 1, Event::Answer(number, step, Reply::Failed));
                } else if outage.is_none() && !cut {
                    let empty = Reply::Changes(after, Vec::new());
                    let answered = self.now + wait.get() + self.store.call_ms(self.now);
                    self.push(answered, Event::Answer(number, step, empty));
                    self.answer_watch(number);
                }
            }
        }
    }

    fn copy(&mut self, number: usize, step: u64, source: CopySource) {
        self.copies += 1;
        let peer = (0..self.instances.len()).find(|peer| addr_of(*peer) == source.addr);
        let reachable = peer.filter(|peer| {
            let frozen = self.instances[*peer].frozen_until > self.now;
            !frozen && !self.is_cut(*peer) && !self.is_cut(number)
        });
        let gateway = reachable.and_then(|peer| self.instances[peer].gateway.as_ref());
        let (delay, reply) = match gateway {
            Some(gateway) => {
                let copy =
                    gateway.store_changes_without_large_configuration(at(self.now), source.after);
                let evacuations = evacuations(&copy);
                let omitted = copy.omitted.as_ref().map(|raw| OmittedConfiguration {
                    position: StorePosition::new(raw.era, raw.revision),
                    version: raw.version,
                });
                let items = copy.items.into_iter().map(|raw| {
                    let position = StorePosition::new(raw.era, raw.revision);
                    let value = (!raw.removed).then(|| raw.value.into());
                    decode(&raw.key, position, value)
                });
                let reply = Reply::Copy(Box::new(Copy {
                    position: StorePosition::new(copy.era, copy.revision),
                    partial: copy.partial,
                    items: items.collect(),
                    evacuations,
                    omitted,
                }));
                (CALL_MS, reply)
            }
            None => (READ_TIMEOUT_MS, Reply::CopyFailed),
        };
        let timeout = Event::Answer(number, step, Reply::CopyFailed);
        self.push(self.now + READ_TIMEOUT_MS, timeout);
        self.send_answer(peer, number, step, delay, reply);
    }

    /// Return the bytes of an answer of which links decide how long it takes, or `None` for others.
    fn transfer_bytes(&self, reply: &Reply) -> Option<f64> {
        self.links?;
        let items: &[StoreItem] = match reply {
            Reply::All(_, items) | Reply::Changes(_, items) => items,
            Reply::Copy(copy) => &copy.items,
            Reply::HistoryLost
            | Reply::Failed
            | Reply::Late
            | Reply::CopyFailed
            | Reply::Configuration(_)
            | Reply::ConfigurationRefused
            | Reply::ConfigurationFailed => return None,
        };
        let is_large = |item: &&StoreItem| matches!(item.content, Content::Configuration(Some(_)));
        let size = |item: &StoreItem| item.value.as_ref().map_or(0.0, |value| value.len() as f64);
        let large: f64 = items.iter().filter(is_large).map(size).sum();
        let encoding = match reply {
            Reply::All(..) | Reply::Changes(..) => STORE_ENCODING,
            _ => 1.0,
        };
        (large > 0.0).then_some(large * encoding + items.len() as f64 * ITEM_BYTES)
    }

    /// Send an answer to an instance, after `delay` and the time that links need for it.
    fn send_answer(&mut self, from: Option<usize>, to: usize, step: u64, delay: u64, reply: Reply) {
        let Some(left_bytes) = self.transfer_bytes(&reply) else {
            self.push(self.now + delay, Event::Answer(to, step, reply));
            return;
        };
        self.begin_delivery(from, to, step, None, left_bytes, reply);
    }

    fn begin_delivery(
        &mut self,
        from: Option<usize>,
        to: usize,
        step: u64,
        slot: Option<SlotId>,
        left_bytes: f64,
        reply: Reply,
    ) {
        if self.deliveries.is_empty() {
            self.push(self.now + TRANSFER_STEP_MS, Event::Advance);
        }
        let mut progress = Transfer::new(at(self.now), STALL_TIME);
        progress.on_head(at(self.now));
        self.deliveries.push(Delivery {
            from,
            incarnation: from.map_or(0, |from| self.instances[from].incarnation),
            to,
            step,
            slot,
            left_bytes,
            progress,
            reply,
        });
    }

    /// Let an instance choose where to fetch a configuration if it does nothing of the kind.
    fn wake_fetch(&mut self, number: usize) {
        let instance = &self.instances[number];
        let gateway = instance.gateway.as_ref();
        if instance.fetches_nothing
            && gateway.is_some_and(|gateway| gateway.lacks_configuration(at(self.now)))
        {
            self.push(self.now, Event::Fetch(number, instance.fetch_step));
        }
    }

    /// Begin the next step of an instance towards a configuration that is fetched separately.
    fn fetch(&mut self, number: usize) {
        let now = at(self.now);
        let instance = &mut self.instances[number];
        let Some(gateway) = &mut instance.gateway else {
            return;
        };
        instance.fetch_step += 1;
        let step = instance.fetch_step;
        let choice = gateway.choose_configuration_source(now);
        instance.fetches_nothing = choice == Choice::Nothing;
        let request = gateway.configuration_request();
        let addr = match choice {
            Choice::Ask(addr) => addr,
            Choice::Wait(until) => {
                let wait = now.until(until).get();
                self.push(self.now + wait, Event::Fetch(number, step));
                return;
            }
            Choice::Nothing => {
                self.push(self.now + WATCH_CHECK_MS, Event::Fetch(number, step));
                return;
            }
        };
        self.configuration_copies += 1;
        let peer = (0..self.instances.len()).find(|peer| addr_of(*peer) == addr);
        let reachable = peer.filter(|peer| {
            let frozen = self.instances[*peer].frozen_until > self.now;
            !frozen && !self.is_cut(*peer) && !self.is_cut(number)
        });
        let gateway = reachable.and_then(|peer| self.instances[peer].gateway.as_mut());
        let (delay, reply) = match gateway.map(|g| g.serve_configuration(now, request)) {
            Some(ServedConfiguration::Copy(encoded, slot)) => {
                let bytes = encoded.body.len() as f64;
                let reply = Reply::Configuration(Box::new(encoded));
                self.begin_delivery(peer, number, step, Some(slot), bytes, reply);
                return;
            }
            Some(ServedConfiguration::Busy) => (CALL_MS, Reply::ConfigurationRefused),
            Some(ServedConfiguration::NotNewer) => (CALL_MS, Reply::ConfigurationFailed),
            None => (READ_TIMEOUT_MS, Reply::ConfigurationFailed),
        };
        self.push(self.now + delay, Event::Fetched(number, step, addr, reply));
    }

    fn on_fetched(&mut self, number: usize, peer: SocketAddr, reply: Reply) {
        let now = at(self.now);
        let Some(gateway) = &mut self.instances[number].gateway else {
            return;
        };
        match reply {
            Reply::Configuration(encoded) => {
                let value = gateway.decode_configuration(&encoded).unwrap();
                let mut item = decode("config", encoded.position, Some(value));
                // Instances share values, which keeps the memory of large fleets small.
                item.value = item.value.map(|value| self.store.share(value));
                gateway.on_configuration_copy(now, &encoded, item);
            }
            Reply::ConfigurationRefused => gateway.on_configuration_refused(now, peer),
            _ => gateway.on_configuration_failed(now, peer),
        }
        let mut out = Vec::new();
        gateway.send_bulletin(now, &mut out);
        self.post(number, out);
        self.note_version(number);
        self.fetch(number);
    }

    /// Return the gateway that sends a configuration alone, and the place of its copy.
    fn sender(&mut self, delivery: &Delivery) -> Option<(&mut Gateway, SlotId)> {
        let sender = &mut self.instances[delivery.from?];
        let gateway = sender.gateway.as_mut()?;
        let slot = delivery.slot?;
        (sender.incarnation == delivery.incarnation).then_some((gateway, slot))
    }

    /// Return whether the answer to the current call of an instance is arriving.
    fn is_delivered(&self, to: usize, step: u64) -> bool {
        let is_current = self.instances[to].step == step;
        is_current
            && (self.deliveries.iter()).any(|d| d.to == to && d.step == step && d.slot.is_none())
    }

    /// Let the answers on their way share the links of their ends. Those that an instance has given
    /// up end.
    fn advance_deliveries(&mut self) {
        let now = at(self.now);
        let bytes_per_ms = self.links.map_or(f64::MAX, |links| links.bytes_per_ms);
        let is_current = |delivery: &Delivery| {
            let to = &self.instances[delivery.to];
            let current = delivery.slot.map_or(to.step, |_| to.fetch_step);
            let from = delivery.from.map(|from| self.instances[from].incarnation);
            delivery.step == current && from.is_none_or(|from| from == delivery.incarnation)
        };
        let deliveries = std::mem::take(&mut self.deliveries);
        let (mut deliveries, mut over): (Vec<_>, Vec<_>) =
            deliveries.into_iter().partition(is_current);
        let mut sent = vec![0_u64; self.instances.len()];
        let mut received = vec![0_u64; self.instances.len()];
        for delivery in &deliveries {
            if let Some(from) = delivery.from {
                sent[from] += 1;
            }
            received[delivery.to] += 1;
        }
        for delivery in &mut deliveries {
            let streams = delivery.from.map_or(0, |from| sent[from]);
            let streams = streams.max(received[delivery.to]);
            let is_still = |number: usize| {
                self.instances[number].frozen_until > self.now || self.is_cut(number)
            };
            if !is_still(delivery.to) && !delivery.from.is_some_and(is_still) {
                let bytes = bytes_per_ms * TRANSFER_STEP_MS as f64 / streams as f64;
                delivery.left_bytes -= bytes;
                delivery.progress.on_received(now, Size::new(bytes as u64));
                if let Some((gateway, slot)) = self.sender(delivery) {
                    gateway.copy_slots().on_taken(now, slot);
                }
            }
        }
        let is_over = |delivery: &Delivery| {
            delivery.left_bytes <= 0.0 || delivery.progress.stalls_at() <= now
        };
        let (ended, left): (Vec<_>, Vec<_>) = deliveries.into_iter().partition(is_over);
        over.extend(ended);
        self.deliveries = left;
        if !self.deliveries.is_empty() {
            self.push(self.now + TRANSFER_STEP_MS, Event::Advance);
        }
        for delivery in over {
            if let Some((gateway, slot)) = self.sender(&delivery) {
                gateway.copy_slots().end(slot);
            }
            let (to, step) = (delivery.to, delivery.step);
            let reply = match delivery.reply {
                reply if delivery.left_bytes <= 0.0 => reply,
                Reply::Configuration(_) => Reply::ConfigurationFailed,
                Reply::Copy(_) => Reply::CopyFailed,
                _ => Reply::Failed,
            };
            let event = match (delivery.slot, delivery.from) {
                (Some(_), Some(from)) => Event::Fetched(to, step, addr_of(from), reply),
                _ => Event::Answer(to, step, reply),
            };
            self.push(self.now, event);
        }
    }

    /// Answer the watch of an instance if there is something to answer.
    fn answer_watch(&mut self, number: usize) {
        let instance = &self.instances[number];
        let Doing::Watching(after) = instance.doing else {
            return;
        };
        let step = instance.step;
        if self.outage_at(number).is_none()
            && !self.is_cut(number)
            && !instance.hangs
            && let Some(reply) = self.store.watch(after.revision)
        {
            let delay = self.store.call_ms(self.now);
            self.send_answer(None, number, step, delay, reply);
        }
    }

    fn answer(&mut self, number: usize, reply: Reply) {
        let now = at(self.now);
        let lost = self.is_cut(number) && matches!(reply, Reply::All(..) | Reply::Changes(..));
        let instance = &mut self.instances[number];
        let Some(gateway) = &mut instance.gateway else {
            return;
        };
        let answers = matches!(reply, Reply::All(..) | Reply::Changes(..));
        if (lost && matches!(instance.doing, Doing::Watching(_))) || (answers && instance.hangs) {
            // The connection is dead from now on; the call ends by its timeout.
            instance.hangs = true;
            return;
        }
        if answers || matches!(reply, Reply::HistoryLost) {
            instance.late.clear();
        }
        let mut pause = 0;
        match reply {
            _ if lost => instance.reader.on_failure(now, gateway, "cut", 0.5),
            Reply::All(position, items) => {
                let (servers, others): (Vec<_>, Vec<_>) = items
                    .into_iter()
                    .partition(|item| matches!(item.content, Content::Server(..)));
                instance
                    .reader
                    .on_read_all(now, gateway, position, servers, others);
            }
            Reply::Changes(position, items) => {
                instance.reader.on_changes(now, gateway, position, items);
            }
            Reply::HistoryLost => instance.reader.on_history_lost(),
            Reply::Failed | Reply::Late => {
                if matches!(reply, Reply::Late) && !instance.hangs {
                    instance.late.push_back((instance.step, instance.began));
                    let late = instance.late.iter().map(|(_, began)| at(*began));
                    if let Some(index) = store_reader::late_call_to_end(now, late) {
                        instance.late.remove(index);
                    }
                }
                let jitter = (number % 7) as f64 / 7.0;
                instance.reader.on_failure(now, gateway, "failed", jitter);
            }
            Reply::Copy(copy) => {
                gateway.on_peer_evacuations(now, copy.position, &copy.evacuations);
                if let Some(omitted) = copy.omitted {
                    gateway.on_omitted_configuration(omitted);
                }
                gateway.on_peer_copy(now, copy.position, copy.partial, copy.items);
            }
            Reply::Configuration(_) | Reply::ConfigurationRefused | Reply::ConfigurationFailed => {}
            Reply::CopyFailed => pause = COPY_PAUSE_MS,
        }
        let step = instance.step;
        self.note_version(number);
        self.wake_fetch(number);
        if pause > 0 {
            self.push(self.now + pause, Event::Decide(number, step));
        } else {
            self.decide(number);
        }
    }

    fn put(&mut self, writes: impl IntoIterator<Item = Write>) {
        for write in writes {
            self.store.append(self.now, write);
        }
        for number in 0..self.instances.len() {
            self.answer_watch(number);
        }
    }

    fn go_down(&mut self, outage: Outage) {
        self.store.outage = Some(outage);
        self.store.down_at = self.now;
        for number in 0..self.instances.len() {
            let instance = &mut self.instances[number];
            instance.late.clear();
            if !matches!(instance.doing, Doing::Watching(_)) {
                continue;
            }
            let step = instance.step;
            match outage {
                Outage::Reset => {
                    self.push(self.now + 1, Event::Answer(number, step, Reply::Failed));
                }
                Outage::Silent => instance.hangs = true,
            }
        }
    }

    fn come_back(&mut self, age: Option<u64>) {
        self.store.outage = None;
        self.store_calm_since = self.now;
        if let Some(age) = age {
            let copied = self.store.down_at.saturating_sub(age);
            self.store.restore(copied);
        }
        for number in 0..self.instances.len() {
            self.answer_watch(number);
        }
    }

    /// Check one instance against what was acknowledged long enough ago.
    fn check(&mut self, number: usize) {
        let instance = &self.instances[number];
        let Some(gateway) = &instance.gateway else {
            return;
        };
        let version = gateway
            .configuration()
            .map_or(0, |config| config.version.get());
        let mut broken = Vec::new();
        if version < self.seen[number] {
            broken.push(format!("version {version} after {}", self.seen[number]));
        }
        let seen = version.max(self.seen[number]);
        let calm = instance.calm_since == 0 || self.now >= instance.calm_since + CONTACT_MS;
        let store_calm = self.store.outage.is_none()
            && (self.store_calm_since == 0 || self.now >= self.store_calm_since + CONTACT_MS);
        if calm && store_calm {
            let due = |at: u64, bound: u64| at + bound <= self.now;
            let wanted = self
                .store
                .acknowledged
                .iter()
                .filter(|(at, _)| due(*at, self.apply_ms));
            let wanted = wanted.filter_map(|(_, write)| match write {
                Write::Configuration(version) => Some(*version),
                Write::Server(_) | Write::Evacuation(_) | Write::Removal(_) => None,
            });
            let wanted = wanted.max().unwrap_or(0);
            if version < wanted {
                broken.push(format!("version {version} where {wanted} is confirmed"));
            }
            let mut latest = BTreeMap::new();
            for (at, write) in &self.store.acknowledged {
                latest.insert(write.key(), (*at, write));
            }
            for (_, backend) in gateway.registry().iter() {
                let entry = &backend.announcement;
                let drains = self.store.acknowledged.iter().any(|(at, write)| {
                    due(*at, DRAIN_MS)
                        && matches!(write, Write::Server(other)
                            if other.key() == entry.key()
                                && other.state == AnnouncedState::Draining)
                });
                let is_gone = latest.get(entry.id.as_str()).is_some_and(|(at, write)| {
                    due(*at, DRAIN_MS) && matches!(write, Write::Removal(_))
                });
                if (drains || is_gone) && backend.standing == Standing::Ready {
                    broken.push(format!("{} is used, which has left", entry.id));
                }
            }
            for (key, (at, write)) in &latest {
                if !key.starts_with(EVACUATION_PREFIX) || !due(*at, APPLY_MS) {
                    continue;
                }
                let is_evacuated = gateway.evacuations().get(&zone_of(key)).is_some();
                match write {
                    Write::Evacuation(zone) if !is_evacuated => {
                        broken.push(format!("{zone} is not evacuated"));
                    }
                    Write::Removal(key) if is_evacuated => {
                        broken.push(format!("{key} is in force and was removed"));
                    }
                    _ => {}
                }
            }
            for (at, write) in latest.into_values() {
                if let Write::Server(entry) = write
                    && entry.state == AnnouncedState::Ready
                    && due(at, APPLY_MS)
                    && gateway
                        .registry()
                        .get(entry.key())
                        .is_none_or(|backend| backend.standing != Standing::Ready)
                {
                    broken.push(format!("{} is ready and not used", entry.id));
                }
            }
        }
        self.seen[number] = seen;
        for what in broken {
            self.violations.push(Violation {
                at: self.now,
                instance: number,
                what,
            });
        }
    }
}
