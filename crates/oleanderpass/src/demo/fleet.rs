//! Start the stand-ins and entry instances of the demo in this process.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use eyre::bail;
use oleanderpass_entry::daemon::Addrs;
use oleanderpass_entry::daemon::Daemon;
use oleanderpass_entry::settings::Settings;
use oleanderpass_proto::platform::BackendServer;
use oleanderpass_proto::platform::EntryInstance;
use oleanderpass_proto::platform::InstanceList;
use oleanderpass_proto::settings as raw;
use oleanderpass_stand_in::engine::Engine;
use oleanderpass_stand_in::engine::EngineConfig;
use oleanderpass_stand_in::platform::Platform;
use oleanderpass_stand_in::platform::PlatformConfig;
use oleanderpass_stand_in::service::Service;
use oleanderpass_stand_in::service::ServiceConfig;
use tokio::runtime::Runtime;

use crate::demo::caller::Caller;
use crate::demo::document::ENGINE_MEMORY_TOKENS;
use crate::demo::document::ENGINE_SERVICE;
use crate::demo::document::MODEL;
use crate::demo::document::PLAIN_SERVICE;
use crate::demo::document::PREFILL_TOKENS_PER_S;
use crate::demo::document::TOKEN_MS;
use crate::demo::document::ZONES;
use crate::demo::document::document;

/// Number of engines in each zone. The longest prompt needs the memory of three.
const ENGINES_PER_ZONE: usize = 3;
/// Number of entry instances, spread evenly over the zones.
const INSTANCES: usize = 7;
/// Timeout for all instances to become ready, from the end of their start.
const READY_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval between two checks of the readiness of an instance.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The running fleet. Its entry instances run until the process ends.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    pub(crate) engines: Vec<Engine>,
    pub(crate) services: Vec<Service>,
    /// The addresses of the entry instances.
    instances: Vec<Addrs>,
    /// Runs the stand-ins. Dropping it stops them.
    _runtime: Runtime,
}

impl Fleet {
    /// Start everything and wait until all instances are ready.
    ///
    /// # Errors
    ///
    /// Fails if a stand-in or instance can't start, or if an instance is not ready in time.
    pub(crate) fn start() -> eyre::Result<Self> {
        let runtime = Runtime::new().wrap_err("start the runtime of the stand-ins")?;
        let handle = runtime.handle().clone();
        let platform = Platform::start(PlatformConfig::default()).wrap_err("start the platform")?;
        platform.set_document(document(1));
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            instances: Vec::new(),
            _runtime: runtime,
        };
        let mut list = InstanceList::default();
        let guard = handle.enter();
        for zone in ZONES {
            fleet.start_backend_servers(zone, &mut list)?;
        }
        drop(guard);
        fleet.start_instances(list)?;
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    fn start_backend_servers(&mut self, zone: &str, list: &mut InstanceList) -> eyre::Result<()> {
        for _ in 0..ENGINES_PER_ZONE {
            let id = format!("{ENGINE_SERVICE}-{:02}", self.engines.len() + 1);
            let engine = Engine::start(engine_config(&id)).wrap_err("start an engine")?;
            list.backend_servers.push(backend_server_entry(
                &id,
                ENGINE_SERVICE,
                zone,
                engine.addr(),
            ));
            self.engines.push(engine);
        }
        let id = format!("{PLAIN_SERVICE}-{zone}");
        let cfg = ServiceConfig {
            id: id.clone(),
            checks_deadline: true,
            ..ServiceConfig::default()
        };
        let service = Service::start(cfg).wrap_err("start a plain service")?;
        list.backend_servers.push(backend_server_entry(
            &id,
            PLAIN_SERVICE,
            zone,
            service.addr(),
        ));
        self.services.push(service);
        Ok(())
    }

    fn start_instances(&mut self, mut list: InstanceList) -> eyre::Result<()> {
        let fleet_key = format!("{:032x}", rand::random::<u128>()).repeat(2);
        let mut daemons = Vec::new();
        for index in 0..INSTANCES {
            let (id, zone) = (format!("entry-{}", index + 1), ZONES[index % ZONES.len()]);
            let settings = raw::Settings {
                instance: id.clone(),
                zone: zone.to_owned(),
                caller_addr: "127.0.0.1:0".to_owned(),
                peer_addr: "127.0.0.1:0".to_owned(),
                operator_addr: "127.0.0.1:0".to_owned(),
                platform_addr: self.platform.addr().to_string(),
                config_key: PlatformConfig::default().key,
                fleet_key: fleet_key.clone(),
                ..raw::Settings::default()
            };
            let daemon = Daemon::bind(&Settings::try_from(&settings)?)?;
            self.instances.push(daemon.addrs());
            list.entry_instances.push(EntryInstance {
                id,
                zone: zone.to_owned(),
                peer_addr: daemon.addrs().peer.to_string(),
                state: "live".to_owned(),
            });
            daemons.push(daemon);
        }
        // The ports are known only after all instances are bound. No instance reads the list before
        // it runs.
        self.platform.set_instances(list);
        for daemon in daemons {
            thread::spawn(move || daemon.run());
        }
        Ok(())
    }

    fn wait_until_ready(&self) -> eyre::Result<()> {
        let start = Instant::now();
        for addrs in &self.instances {
            while !is_ready(addrs) {
                if start.elapsed() > READY_TIMEOUT {
                    bail!(
                        "the instance with operator port {} is not ready",
                        addrs.operator
                    );
                }
                thread::sleep(READY_POLL_INTERVAL);
            }
        }
        Ok(())
    }

    /// Return the number of entry instances.
    pub(crate) fn instance_count(&self) -> usize {
        self.instances.len()
    }

    /// Return a client of the instance with this number, modulo the number of instances.
    pub(crate) fn caller(&self, number: u64) -> Caller {
        let index = usize::try_from(number).unwrap_or(0) % self.instances.len();
        Caller::new(self.instances[index].caller)
    }

    /// Return how often the plain services ran a request whose path contains `route`.
    pub(crate) fn count_executions(&self, route: &str) -> usize {
        let executions = self.services.iter().flat_map(Service::executions);
        executions
            .filter(|execution| execution.path.contains(route))
            .count()
    }
}

fn is_ready(addrs: &Addrs) -> bool {
    let url = format!("http://{}/readyz", addrs.operator);
    ureq::get(url).call().is_ok()
}

fn engine_config(id: &str) -> EngineConfig {
    EngineConfig {
        id: id.to_owned(),
        models: vec![MODEL.to_owned()],
        memory_tokens: ENGINE_MEMORY_TOKENS,
        prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
        token_ms: TOKEN_MS,
        checks_fencing: true,
        checks_deadline: true,
        ..EngineConfig::default()
    }
}

/// Return the entry of a backend server in the platform's instance list.
fn backend_server_entry(id: &str, service: &str, zone: &str, addr: SocketAddr) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: zone.to_owned(),
        addr: addr.to_string(),
        state: "live".to_owned(),
    }
}
