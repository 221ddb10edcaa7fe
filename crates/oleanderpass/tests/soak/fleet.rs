//! Start instances as processes beside stand-ins, each connection through a proxy.

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

/// The end of each wait for the fleet. It only bounds a run that fails.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// An instance.
pub(crate) struct Instance {
    pub(crate) ip: IpAddr,
    pub(crate) store: Proxy,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Instance {
    pub(crate) fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    pub(crate) fn spawn(&mut self) {
        let log = File::options()
            .append(true)
            .create(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_oleanderpass"))
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Send a signal, only to the process that this soak started.
    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().unwrap();
        let pid = Pid::from_raw(i32::try_from(child.id()).unwrap()).unwrap();
        // The process may have ended by itself, which the checks notice.
        kill_process(pid, signal).ok();
    }

    /// Wait until the process has ended.
    pub(crate) async fn ended(&mut self) {
        let began = Instant::now();
        let child = self.child.as_mut().unwrap();
        while child.try_wait().unwrap().is_none() {
            assert!(began.elapsed() < WAIT_LIMIT, "a process does not end");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Return whether the process runs.
    pub(crate) fn runs(&mut self) -> bool {
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
    pub(crate) worker: BackendServer,
    pub(crate) proxy: Proxy,
    born: u64,
}

/// All that a run needs.
pub(crate) struct Fleet {
    pub(crate) instances: Vec<Instance>,
    pub(crate) servers: Vec<Server>,
    pub(crate) store: Store,
    pub(crate) keys: Vec<String>,
    version: u64,
    dir: Option<tempfile::TempDir>,
}

impl Fleet {
    pub(crate) async fn start(seed: u64) -> Self {
        // Each seed has addresses of its own, so that no run meets what another left behind.
        let block = u8::try_from(seed % 250).unwrap();
        let ip = |number: u8| IpAddr::V4(Ipv4Addr::new(127, 90, block, number));
        let store_addr = SocketAddr::new(ip(100), STORE_PORT);
        let store = Store::start(store_addr).await.unwrap();
        let dir = tempfile::tempdir().unwrap();
        let mut fleet = Self {
            instances: Vec::new(),
            servers: Vec::new(),
            store,
            keys: vec!["key-0".to_owned()],
            version: 1,
            dir: None,
        };
        for (service, count) in [("engines", 4), ("plain", 3)] {
            for number in 0..count {
                let id = format!("i-{service}-{number}");
                let worker = BackendServer::start(&id, ip(101)).await.unwrap();
                let proxy = Proxy::start(SocketAddr::new(ip(102), 0), worker.addr).await;
                let born = 1;
                fleet.servers.push(Server {
                    id,
                    service,
                    worker,
                    proxy,
                    born,
                });
                fleet.announce(fleet.servers.len() - 1, "ready");
            }
        }
        fleet.configure();
        for number in 1..=INSTANCES {
            let store =
                Proxy::start(SocketAddr::new(ip(number), STORE_PROXY_PORT), store_addr).await;
            let settings = dir.path().join(format!("{number}.yaml"));
            let ip = ip(number);
            let seed = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 90, block, 1)), PEER_PORT);
            let text = format!(
                "instance: edge-{number}\nzone: hafnir\nip: \"{ip}\"\n\
                 caller_addr: \"{ip}:{CALLER_PORT}\"\nreadiness_addr: \"{ip}:{READINESS_PORT}\"\n\
                 metrics_port: {METRICS_PORT}\npeer_port: {PEER_PORT}\nseeds: \"{seed}\"\n\
                 store_addr: \"{}\"\nstop_time_s: 8\nretry_ratio: 0.2\nretry_slack: 102\n\
                 reservation_max_ms: 20000\n",
                store.addr
            );
            fs::write(&settings, text).unwrap();
            let log = dir.path().join(format!("{number}.log"));
            let mut instance = Instance {
                ip,
                store,
                settings,
                log,
                child: None,
            };
            instance.spawn();
            fleet.instances.push(instance);
        }
        fleet.dir = Some(dir);
        fleet.wait_until_ready().await;
        fleet
    }

    /// Keep the logs of a run that failed, and return where they are.
    pub(crate) fn keep_logs(&mut self) -> Option<PathBuf> {
        self.dir.take().map(tempfile::TempDir::keep)
    }

    pub(crate) async fn wait_until_ready(&self) {
        let began = Instant::now();
        for instance in &self.instances {
            while !instance.is_ready().await {
                assert!(began.elapsed() < WAIT_LIMIT, "an instance is not ready");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Write the entry of a server into the store.
    pub(crate) fn announce(&self, index: usize, state: &str) {
        let server = &self.servers[index];
        let entry = announcement(server.service, server.proxy.addr, state, server.born);
        self.store.put_server(&server.id, &entry);
    }

    /// Let a server come back as a new incarnation.
    pub(crate) fn restart_server(&mut self, index: usize) {
        self.servers[index].born += 1;
        self.announce(index, "ready");
    }

    /// Publish the next configuration with the keys of the moment.
    pub(crate) fn configure(&mut self) {
        self.version += 1;
        let keys: Vec<&str> = self.keys.iter().map(String::as_str).collect();
        self.store
            .put_configuration(&configuration(self.version, &keys));
    }
}
