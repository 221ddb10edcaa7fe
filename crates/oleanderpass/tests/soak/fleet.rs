//! Run instances as processes and their stand-ins in the test process. Connections to the store and
//! to backend servers pass through proxies.

use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use oleanderpass_platform_stand_in::backend_server::BackendServer;
use oleanderpass_platform_stand_in::caller::Call;
use oleanderpass_platform_stand_in::documents::announcement;
use oleanderpass_platform_stand_in::documents::configuration;
use oleanderpass_platform_stand_in::store::Store;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

use crate::proxy::Proxy;

const INSTANCES: u8 = 3;
const CALLER_PORT: u16 = 18_227;
const READINESS_PORT: u16 = 18_220;
const METRICS_PORT: u16 = 18_464;
const PEER_PORT: u16 = 17_340;
const STORE_PORT: u16 = 18_223;
const STORE_PROXY_PORT: u16 = 18_224;

/// The limit of each wait. Only a run that fails reaches it.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// An instance process.
pub(crate) struct Instance {
    pub(crate) ip: IpAddr,
    /// The proxy between this instance and the store.
    pub(crate) store_proxy: Proxy,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
}

impl Instance {
    pub(crate) fn caller_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    pub(crate) fn spawn(&mut self) {
        let log = File::options()
            .append(true)
            .create(true)
            .open(&self.log_path)
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_oleanderpass"))
            .args(["gateway", "--settings"])
            .arg(&self.settings_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Send a signal to the process, which this run has started.
    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().unwrap();
        let pid = Pid::from_raw(i32::try_from(child.id()).unwrap()).unwrap();
        // The process may have exited on its own, which the checks of the run report.
        kill_process(pid, signal).ok();
    }

    /// Wait until the process has exited.
    pub(crate) async fn wait_for_exit(&mut self) {
        let start = Instant::now();
        let child = self.child.as_mut().unwrap();
        while child.try_wait().unwrap().is_none() {
            assert!(start.elapsed() < WAIT_LIMIT, "a process does not exit");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Return whether the process is running.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.as_mut().unwrap().try_wait().unwrap().is_none()
    }

    pub(crate) async fn is_ready(&self) -> bool {
        let mut call = Call::new("", "/oleanderpass/readyz");
        call.method = "GET";
        call.timeout_ms = 500;
        let addr = SocketAddr::new(self.ip, READINESS_PORT);
        call.send(addr)
            .await
            .is_ok_and(|answer| answer.status == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            child.kill().ok();
            child.wait().ok();
        }
    }
}

/// A backend server behind a proxy.
pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    pub(crate) stand_in: BackendServer,
    pub(crate) proxy: Proxy,
    /// The incarnation in its entry (`born`).
    pub(crate) incarnation: u64,
}

/// The instances and stand-ins of one run.
pub(crate) struct Fleet {
    pub(crate) instances: Vec<Instance>,
    pub(crate) servers: Vec<Server>,
    pub(crate) store: Store,
    /// The API keys of the organisation in the next configuration.
    pub(crate) api_keys: Vec<String>,
    /// The version of the last configuration that was published.
    version: u64,
    /// Holds the settings and logs. `None` once the logs are kept.
    dir: Option<tempfile::TempDir>,
}

impl Fleet {
    pub(crate) async fn start(seed: u64) -> Self {
        // Each seed has its own addresses, so that no run is affected by leftovers of another.
        let block = u8::try_from(seed % 250).unwrap();
        let ip = |number: u8| IpAddr::V4(Ipv4Addr::new(127, 90, block, number));
        let store_addr = SocketAddr::new(ip(100), STORE_PORT);
        let store = Store::start(store_addr).await.unwrap();
        let dir = tempfile::tempdir().unwrap();
        let mut fleet = Self {
            instances: Vec::new(),
            servers: Vec::new(),
            store,
            api_keys: vec!["key-0".to_owned()],
            version: 1,
            dir: None,
        };
        for (service, count) in [("engines", 4), ("plain", 3)] {
            for number in 0..count {
                let id = format!("i-{service}-{number}");
                let stand_in = BackendServer::start(&id, ip(101)).await.unwrap();
                let proxy = Proxy::start(SocketAddr::new(ip(102), 0), stand_in.addr).await;
                fleet.servers.push(Server {
                    id,
                    service,
                    stand_in,
                    proxy,
                    incarnation: 1,
                });
                fleet.announce(fleet.servers.len() - 1, "ready");
            }
        }
        fleet.publish_configuration();
        for number in 1..=INSTANCES {
            let store_proxy =
                Proxy::start(SocketAddr::new(ip(number), STORE_PROXY_PORT), store_addr).await;
            let settings_path = dir.path().join(format!("{number}.yaml"));
            let ip = ip(number);
            let peer_seed =
                SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 90, block, 1)), PEER_PORT);
            let text = format!(
                "instance: edge-{number}\nzone: hafnir\nip: \"{ip}\"\n\
                 caller_addr: \"{ip}:{CALLER_PORT}\"\nreadiness_addr: \"{ip}:{READINESS_PORT}\"\n\
                 metrics_port: {METRICS_PORT}\npeer_port: {PEER_PORT}\nseeds: \"{peer_seed}\"\n\
                 store_addr: \"{}\"\nstop_time_s: 8\nretry_ratio: 0.2\nretry_slack: 102\n\
                 reservation_max_ms: 20000\n",
                store_proxy.addr
            );
            fs::write(&settings_path, text).unwrap();
            let log_path = dir.path().join(format!("{number}.log"));
            let mut instance = Instance {
                ip,
                store_proxy,
                settings_path,
                log_path,
                child: None,
            };
            instance.spawn();
            fleet.instances.push(instance);
        }
        fleet.dir = Some(dir);
        fleet.wait_until_ready().await;
        fleet
    }

    /// Keep the logs of a run that failed. Return their directory.
    pub(crate) fn keep_logs(&mut self) -> Option<PathBuf> {
        self.dir.take().map(tempfile::TempDir::keep)
    }

    pub(crate) async fn wait_until_ready(&self) {
        let start = Instant::now();
        for instance in &self.instances {
            while !instance.is_ready().await {
                assert!(start.elapsed() < WAIT_LIMIT, "an instance is not ready");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Write the entry of a server to the store.
    pub(crate) fn announce(&self, index: usize, state: &str) {
        let server = &self.servers[index];
        let entry = announcement(server.service, server.proxy.addr, state, server.incarnation);
        self.store.put_server(&server.id, &entry);
    }

    /// Announce a server as ready in a new incarnation.
    pub(crate) fn restart_server(&mut self, index: usize) {
        self.servers[index].incarnation += 1;
        self.announce(index, "ready");
    }

    /// Publish the next version of the configuration, with the current API keys.
    pub(crate) fn publish_configuration(&mut self) {
        self.version += 1;
        self.publish_again();
    }

    /// Publish the version of the configuration that was published last.
    pub(crate) fn publish_again(&self) {
        let keys: Vec<&str> = self.api_keys.iter().map(String::as_str).collect();
        self.store
            .put_configuration(&configuration(self.version, &keys));
    }
}
