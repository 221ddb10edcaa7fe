//! Measure the decision core.

use std::sync::Arc;

use eyre::eyre;
use oleanderpass_config::document::parse_yaml;
use oleanderpass_core::action::Action;
use oleanderpass_core::event::AttemptEnd;
use oleanderpass_core::event::Event;
use oleanderpass_core::event::InstanceList;
use oleanderpass_core::event::Lifecycle;
use oleanderpass_core::event::ListedInstance;
use oleanderpass_core::event::ListedServer;
use oleanderpass_core::event::NewRequest;
use oleanderpass_core::event::Priority;
use oleanderpass_core::event::Progress;
use oleanderpass_core::event::ServerLoad;
use oleanderpass_core::event::Source;
use oleanderpass_core::event::Target;
use oleanderpass_core::instance::Identity;
use oleanderpass_core::instance::Instance;
use oleanderpass_proto::engine::EngineState;
use oleanderpass_proto::engine::LoadedModel;
use oleanderpass_ticket::FleetKey;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::id::RequestId;
use oleanderpass_types::size::Tokens;

use super::SIZES;
use super::Size;
use super::document::CALLERS;
use super::document::yaml;
use super::gauge::memory;
use super::gauge::memory_apart;
use super::gauge::row;
use super::gauge::show_bytes;
use super::gauge::show_time;
use super::gauge::time;

/// Measure all sizes.
///
/// # Errors
///
/// Return an error when an instance can't be built or memory can't be read.
pub fn table() -> eyre::Result<String> {
    let mut text = String::from(
        "| Instances / workers | A request, from arrival to end | Tick | Load report | \
         Instance list | Memory of an instance |\n|---|---|---|---|---|---|\n",
    );
    for (index, size) in SIZES.into_iter().enumerate() {
        let bytes = memory_apart("core", index)?;
        text += &measure(size, bytes)?;
    }
    Ok(text)
}

/// Measure the memory of an instance.
///
/// # Errors
///
/// Return an error when an instance can't be built or memory can't be read.
pub fn instance_memory(size: Size) -> eyre::Result<f64> {
    memory((40_000 / size.workers).clamp(8, 400), || Driven::new(size))
}

/// An instance with its time.
struct Driven {
    instance: Instance,
    now: u64,
    requests: u64,
    out: Vec<Action>,
}

impl Driven {
    /// Start an instance that knows the document, all workers and the models of its zone's engines.
    fn new(size: Size) -> eyre::Result<Self> {
        let identity = Identity {
            instance: "entry-000".parse()?,
            incarnation: Incarnation::new(1_000),
            zone: "zone-0".parse()?,
        };
        let mut driven = Self {
            instance: Instance::new(identity, 7).with_fleet_key(FleetKey([9; 32])),
            now: 1_000,
            requests: 0,
            out: Vec::new(),
        };
        let text = yaml(size.organisations, CALLERS, 1)?;
        let document = parse_yaml(&text).map_err(|errors| eyre!("{errors}"))?;
        driven.event(Event::Document(Arc::new(document)));
        driven.event(Event::InstanceList(Arc::new(list(size)?)));
        for _ in 0..30 {
            driven.pass();
        }
        for number in (0..size.workers).step_by(size.zones) {
            driven.event(Event::EngineState(Box::new(state(number))));
            driven.event(Event::LoadReport(load(number)?));
        }
        Ok(driven)
    }

    fn event(&mut self, event: Event) {
        self.out.clear();
        self.instance
            .handle(Timestamp::from_millis(self.now), event, &mut self.out);
    }

    fn pass(&mut self) {
        self.now += 100;
        self.event(Event::Tick);
    }

    /// Play one request from its arrival to its end.
    fn request(&mut self) -> eyre::Result<()> {
        self.requests += 1;
        let identity = self.instance.identity();
        let id = RequestId {
            instance: identity.instance.clone(),
            incarnation: identity.incarnation,
            number: self.requests,
        };
        let mut key = [0; 32];
        key[31] = 1;
        self.event(Event::Request(Box::new(NewRequest {
            id,
            source: Source::Caller(Digest(key)),
            target: Target::Model {
                model: "model-0".parse()?,
                adapter: None,
            },
            ticket: None,
            timeout: Some(Millis::from_secs(60)),
            priority: Priority::Interactive,
            idempotent: None,
            prompt: Tokens::new(4_000),
            max_output: Tokens::new(200),
            prefixes: Vec::new(),
            body_hash: self.requests,
        })));
        let started = self.out.iter().find_map(|action| match action {
            Action::StartAttempt(start) => Some((start.req.clone(), start.attempt)),
            _ => None,
        });
        let (req, attempt) = started.ok_or_else(|| eyre!("not started: {:?}", self.out))?;
        let ended = Progress::Ended(AttemptEnd::Completed {
            output: Tokens::new(200),
            answer: None,
        });
        for progress in [
            Progress::Sending,
            Progress::Started,
            Progress::FirstToken,
            ended,
        ] {
            let req = req.clone();
            self.event(Event::Attempt {
                req,
                attempt,
                progress,
            });
        }
        Ok(())
    }
}

fn measure(size: Size, bytes: f64) -> eyre::Result<String> {
    let mut driven = Driven::new(size)?;
    driven.request()?;
    let requested = time(200, || driven.request().is_ok());
    let ticked = time(20, || driven.pass());
    let report = load(0)?;
    let reported = time(200, || driven.event(Event::LoadReport(report.clone())));
    let listed = Arc::new(list(size)?);
    let list_time = time(5, || driven.event(Event::InstanceList(listed.clone())));
    let mut cells = vec![format!("{} / {}", size.instances, size.workers)];
    cells.extend([requested, ticked, reported, list_time].map(show_time));
    cells.push(show_bytes(bytes));
    Ok(row(&cells))
}

fn engine_id(number: usize) -> String {
    format!("engine-{number:05}")
}

fn list(size: Size) -> eyre::Result<InstanceList> {
    let mut list = InstanceList::default();
    for number in 0..size.instances {
        list.entry_instances.push(ListedInstance {
            id: format!("entry-{number:03}").parse()?,
            zone: format!("zone-{}", number % size.zones).parse()?,
            peer_addr: format!("127.0.0.1:{}", 10_000 + number).parse()?,
            state: Lifecycle::Live,
        });
    }
    for number in 0..size.workers {
        list.backend_servers.push(ListedServer {
            id: engine_id(number).parse()?,
            service: "engines".parse()?,
            zone: format!("zone-{}", number % size.zones).parse()?,
            addr: format!("127.0.0.1:{}", 20_000 + number).parse()?,
            state: Lifecycle::Live,
        });
    }
    Ok(list)
}

fn state(number: usize) -> EngineState {
    let loaded = |model: usize| LoadedModel {
        model: format!("model-{model}"),
        version: "v1".into(),
        adapters: Vec::new(),
        state: "ready".into(),
    };
    EngineState {
        server: engine_id(number),
        incarnation: 1,
        role: String::new(),
        models: (0..4).map(loaded).collect(),
        fencing: 1,
    }
}

fn load(number: usize) -> eyre::Result<ServerLoad> {
    Ok(ServerLoad {
        server: engine_id(number).parse()?,
        incarnation: Incarnation::new(1),
        state: Lifecycle::Live,
        running: 6,
        queued: 0,
        queued_prefill: Tokens::new(2_000),
        memory_used: Tokens::new(60_000),
        memory: Tokens::new(450_000),
        age: Millis::new(100),
    })
}
