//! Run entry instances as processes, and their stand-ins in the test process.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use oleanderpass_config::canonical::digest;
use oleanderpass_proto::platform::BackendServer;
use oleanderpass_proto::platform::EntryInstance;
use oleanderpass_proto::platform::InstanceList;
use oleanderpass_stand_in::platform::Platform;
use oleanderpass_stand_in::platform::PlatformConfig;
use oleanderpass_stand_in::service::Service;
use oleanderpass_stand_in::service::ServiceConfig;
use serde_json::Value;
use serde_json::json;
use tokio::runtime::Runtime;
use ureq::Agent;

const API_KEY: &str = "process-test-key";
const ZONE: &str = "hafnir";

/// The limit of each wait and of each HTTP call. Only a test that fails reaches it.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// A signal to an instance.
pub(crate) enum Signal {
    Kill,
    Stop,
    Continue,
    Terminate,
}

/// What a caller sees of one answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) generation: u64,
}

/// Entry instances as processes, with a platform and a plain service in the test process.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    pub(crate) service: Service,
    /// Tells the fleets of one test process apart.
    number: u8,
    /// The processes by index of the instance; `None` once [`Fleet::wait_for_exit`] has returned.
    children: Vec<Option<Child>>,
    _runtime: Runtime,
}

impl Fleet {
    /// Start the fleet and wait until all instances are ready. `number` must differ between the
    /// tests of one process, because the addresses depend on it.
    pub(crate) fn start(number: u8, instances: usize, service: ServiceConfig) -> Self {
        let runtime = Runtime::new().unwrap();
        let guard = runtime.enter();
        let platform = Platform::start(PlatformConfig::default()).unwrap();
        let service = Service::start(service).unwrap();
        drop(guard);
        platform.set_document(document(1));
        let mut fleet = Self {
            platform,
            service,
            number,
            children: (0..instances).map(|_| None).collect(),
            _runtime: runtime,
        };
        fleet.platform.set_instances(fleet.instance_list());
        for index in 0..instances {
            fleet.spawn(index);
        }
        for index in 0..instances {
            wait_for("an instance to be ready", || fleet.is_ready(index));
        }
        // An instance forwards a ticket only to an owner that is a known member.
        for index in 0..instances {
            wait_for("an instance to know its peers", || {
                fleet.status(index)["counts"]["peers"]["alive"] == json!(instances - 1)
            });
        }
        fleet
    }

    /// Start the process of an instance.
    pub(crate) fn spawn(&mut self, index: usize) {
        let settings = format!(
            "instance: entry-{index}\nzone: {ZONE}\ncaller_addr: {}\npeer_addr: {}\n\
             operator_addr: {}\nplatform_addr: {}\nconfig_key: {}\nfleet_key: {}\nlog: warn\n",
            self.addr(index, 8000),
            self.addr(index, 7000),
            self.addr(index, 9000),
            self.platform.addr(),
            PlatformConfig::default().key,
            "5a".repeat(32),
        );
        let name = format!(
            "process-{}-{}-{index}.yaml",
            std::process::id(),
            self.number
        );
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::write(&path, settings).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_oleanderpass"))
            .arg("serve")
            .arg("--settings")
            .arg(path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        self.children[index] = Some(child);
    }

    /// Send a signal to an instance.
    pub(crate) fn signal(&self, index: usize, signal: Signal) {
        let name = match signal {
            Signal::Kill => "-KILL",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Terminate => "-TERM",
        };
        let pid = self.children[index].as_ref().unwrap().id().to_string();
        let status = Command::new("kill").arg(name).arg(pid).status().unwrap();
        assert!(status.success());
    }

    /// Wait until the process of an instance has ended.
    pub(crate) fn wait_for_exit(&mut self, index: usize) {
        let mut child = self.children[index].take().unwrap();
        wait_for("an instance to exit", || {
            child.try_wait().unwrap().is_some()
        });
    }

    /// Return whether an instance reports ready.
    pub(crate) fn is_ready(&self, index: usize) -> bool {
        agent()
            .get(format!("http://{}/readyz", self.addr(index, 9000)))
            .call()
            .is_ok_and(|resp| resp.status() == 200)
    }

    /// Fetch the status of an instance.
    pub(crate) fn status(&self, index: usize) -> Value {
        let url = format!("http://{}/status", self.addr(index, 9000));
        let mut resp = agent().get(url).call().unwrap();
        serde_json::from_str(&resp.body_mut().read_to_string().unwrap()).unwrap()
    }

    /// Request an execution ticket for the charge route from an instance.
    pub(crate) fn request_ticket(&self, index: usize) -> String {
        let mut resp = agent()
            .post(format!("http://{}/v1/tickets", self.addr(index, 8000)))
            .header("authorization", format!("Bearer {API_KEY}"))
            .send(r#"{"route": "charge"}"#)
            .unwrap();
        let text = resp.body_mut().read_to_string().unwrap();
        let value: Value = serde_json::from_str(&text).unwrap();
        value["ticket"].as_str().unwrap().to_owned()
    }

    /// Send a request to a route. It is an error if no complete answer arrives.
    pub(crate) fn call(
        &self,
        index: usize,
        route: &str,
        ticket: Option<&str>,
        timeout_ms: u64,
    ) -> Result<Answer, ureq::Error> {
        call(self.caller_addr(index), route, ticket, timeout_ms)
    }

    /// Return the address of an instance for callers.
    pub(crate) fn caller_addr(&self, index: usize) -> SocketAddr {
        self.addr(index, 8000)
    }

    /// Return the platform's instance list, with the entry instances and the plain service.
    pub(crate) fn instance_list(&self) -> InstanceList {
        InstanceList {
            version: 1,
            entry_instances: (0..self.children.len())
                .map(|index| EntryInstance {
                    id: format!("entry-{index}"),
                    zone: ZONE.to_owned(),
                    peer_addr: self.addr(index, 7000).to_string(),
                    state: "live".to_owned(),
                })
                .collect(),
            backend_servers: vec![BackendServer {
                id: "bokhald-1".to_owned(),
                service: "bokhald".to_owned(),
                zone: ZONE.to_owned(),
                addr: self.service.addr().to_string(),
                state: "live".to_owned(),
            }],
        }
    }

    /// Return the address of a port of an instance. Each test process and each fleet has its own
    /// loopback addresses, so that the fixed ports don't collide.
    fn addr(&self, index: usize, port: u16) -> SocketAddr {
        let pid = std::process::id();
        let byte = |value: u32| u8::try_from(value % 250).unwrap();
        let host = self.number * 32 + u8::try_from(index).unwrap() + 1;
        SocketAddr::from((
            Ipv4Addr::new(127, 1 + byte(pid / 250), byte(pid), host),
            port,
        ))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Send a request to a route through the instance at `addr`.
pub(crate) fn call(
    addr: SocketAddr,
    route: &str,
    ticket: Option<&str>,
    timeout_ms: u64,
) -> Result<Answer, ureq::Error> {
    let mut req = agent()
        .post(format!("http://{addr}/svc/{route}/run"))
        .header("authorization", format!("Bearer {API_KEY}"))
        .header("oleanderpass-timeout-ms", timeout_ms.to_string());
    if let Some(ticket) = ticket {
        req = req.header("oleanderpass-ticket", ticket);
    }
    let mut resp = req.send("{}")?;
    let header = |name: &str| {
        let value = resp.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_owned()
    };
    let answer = Answer {
        status: resp.status().as_u16(),
        outcome: header("oleanderpass-outcome"),
        generation: header("oleanderpass-generation").parse().unwrap_or(0),
    };
    resp.body_mut().read_to_string()?;
    Ok(answer)
}

/// Wait until a condition holds. `what` describes it in the message of a failure.
pub(crate) fn wait_for(what: &str, condition: impl FnMut() -> bool) {
    let mut condition = condition;
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_LIMIT, "waited too long for {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Return the document of a generation. Documents of different generations differ in nothing else.
pub(crate) fn document(generation: u64) -> String {
    let key = digest(API_KEY.as_bytes());
    format!(
        "generation: {generation}
environment: {{ name: process-test, zones: [{ZONE}] }}
services:
  - {{ id: bokhald, kind: plain, checks_deadline: true, concurrent_requests: 64 }}
routes:
  - {{ id: balance, service: bokhald, idempotent: true }}
  - {{ id: charge, service: bokhald, idempotent: false, ticket: required }}
organisations:
  - id: medlar
    class: large
    routes: [balance, charge]
    callers: [{{ id: counter, key_sha256: {key} }}]
"
    )
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(WAIT_LIMIT))
        .max_idle_connections(0)
        .build()
        .into()
}
