//! Measure an instance of the decision core.

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
use super::document::CALLERS_PER_ORGANISATION;
use super::document::yaml;
use super::measurement::format_bytes;
use super::measurement::format_time;
use super::measurement::median_time_ns;
use super::measurement::memory_in_child_process;
use super::measurement::memory_per_value;
use super::measurement::table_row;

/// Measure all fleet sizes and return a table.
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
        let memory_bytes = memory_in_child_process("core", index)?;
        text += &measure_row(size, memory_bytes)?;
    }
    Ok(text)
}

/// Return the memory of an instance, in bytes.
///
/// # Errors
///
/// Return an error when an instance can't be built or memory can't be read.
pub fn instance_memory(size: Size) -> eyre::Result<f64> {
    memory_per_value((40_000 / size.backend_servers).clamp(8, 400), || {
        InstanceDriver::new(size)
    })
}

/// An instance and the virtual time and inputs that drive it.
struct InstanceDriver {
    instance: Instance,
    now_ms: u64,
    /// The number of requests so far, which is part of their ids.
    requests: u64,
    /// The actions of the last event.
    actions: Vec<Action>,
}

impl InstanceDriver {
    /// Start an instance that has the document, the list of all instances and backend servers, and
    /// the state and load of its zone's engines.
    fn new(size: Size) -> eyre::Result<Self> {
        let identity = Identity {
            instance: "entry-000".parse()?,
            incarnation: Incarnation::new(1_000),
            zone: "zone-0".parse()?,
        };
        let mut driver = Self {
            instance: Instance::new(identity, 7).with_fleet_key(FleetKey([9; 32])),
            now_ms: 1_000,
            requests: 0,
            actions: Vec::new(),
        };
        let text = yaml(size.organisations, CALLERS_PER_ORGANISATION, 1)?;
        let document = parse_yaml(&text).map_err(|errors| eyre!("{errors}"))?;
        driver.handle(Event::Document(Arc::new(document)));
        driver.handle(Event::InstanceList(Arc::new(instance_list(size)?)));
        for _ in 0..30 {
            driver.tick();
        }
        for number in (0..size.backend_servers).step_by(size.zones) {
            driver.handle(Event::EngineState(Box::new(engine_state(number))));
            driver.handle(Event::LoadReport(server_load(number)?));
        }
        Ok(driver)
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.instance.handle(
            Timestamp::from_millis(self.now_ms),
            event,
            &mut self.actions,
        );
    }

    /// Advance the time by a tick of 100 ms.
    fn tick(&mut self) {
        self.now_ms += 100;
        self.handle(Event::Tick);
    }

    /// Run one request from its arrival to its end.
    fn run_request(&mut self) -> eyre::Result<()> {
        self.requests += 1;
        let identity = self.instance.identity();
        let id = RequestId {
            instance: identity.instance.clone(),
            incarnation: identity.incarnation,
            number: self.requests,
        };
        let mut key = [0; 32];
        key[31] = 1;
        self.handle(Event::Request(Box::new(NewRequest {
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
        let attempt = self.actions.iter().find_map(|action| match action {
            Action::StartAttempt(start) => Some((start.req.clone(), start.attempt)),
            _ => None,
        });
        let (req, attempt) =
            attempt.ok_or_else(|| eyre!("the instance started no attempt: {:?}", self.actions))?;
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
            self.handle(Event::Attempt {
                req,
                attempt,
                progress,
            });
        }
        Ok(())
    }
}

fn measure_row(size: Size, memory_bytes: f64) -> eyre::Result<String> {
    let mut driver = InstanceDriver::new(size)?;
    driver.run_request()?;
    let request_ns = median_time_ns(200, || driver.run_request().is_ok());
    let tick_ns = median_time_ns(20, || driver.tick());
    let report = server_load(0)?;
    let report_ns = median_time_ns(200, || driver.handle(Event::LoadReport(report.clone())));
    let instances = Arc::new(instance_list(size)?);
    let list_ns = median_time_ns(5, || driver.handle(Event::InstanceList(instances.clone())));
    let mut cells = vec![format!("{} / {}", size.instances, size.backend_servers)];
    cells.extend([request_ns, tick_ns, report_ns, list_ns].map(format_time));
    cells.push(format_bytes(memory_bytes));
    Ok(table_row(&cells))
}

fn engine_id(number: usize) -> String {
    format!("engine-{number:05}")
}

fn instance_list(size: Size) -> eyre::Result<InstanceList> {
    let mut list = InstanceList::default();
    for number in 0..size.instances {
        list.entry_instances.push(ListedInstance {
            id: format!("entry-{number:03}").parse()?,
            zone: format!("zone-{}", number % size.zones).parse()?,
            peer_addr: format!("127.0.0.1:{}", 10_000 + number).parse()?,
            state: Lifecycle::Live,
        });
    }
    for number in 0..size.backend_servers {
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

fn engine_state(number: usize) -> EngineState {
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

fn server_load(number: usize) -> eyre::Result<ServerLoad> {
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
