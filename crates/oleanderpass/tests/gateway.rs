//! Check the log and the status of a gateway process, which its operators depend on.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::fs;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use oleanderpass_platform_stand_in::backend_server::BackendServer;
use oleanderpass_platform_stand_in::caller::Call;
use oleanderpass_platform_stand_in::documents::KEY;
use oleanderpass_platform_stand_in::documents::announcement;
use oleanderpass_platform_stand_in::documents::configuration;
use oleanderpass_platform_stand_in::store::Store;

/// The objective of the stand-in's routes (`SloMs` of its configuration).
const OBJECTIVE: Duration = Duration::from_millis(300);

/// The limit of each wait. Only a run that fails reaches it.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

const CALLER_PORT: u16 = 18_227;
const METRICS_PORT: u16 = 18_464;
const STORE_PORT: u16 = 18_223;

/// A gateway process with its store and backend servers. Nothing reads its standard output.
struct Gateway {
    ip: IpAddr,
    child: Child,
    _store: Store,
    _servers: Vec<BackendServer>,
}

impl Gateway {
    async fn start(number: u8) -> Self {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 78, 0, number));
        let store = Store::start(SocketAddr::new(ip, STORE_PORT)).await.unwrap();
        let mut servers = Vec::new();
        for index in 0..3 {
            let id = format!("i-plain-{index}");
            let server = BackendServer::start(&id, ip).await.unwrap();
            store.put_server(&id, &announcement("plain", server.addr, "ready", 1));
            servers.push(server);
        }
        store.put_configuration(&configuration(7, &[KEY]));
        let dir = tempfile::tempdir().unwrap();
        let settings = dir.path().join("settings.yaml");
        let text = format!(
            "instance: edge-1\nzone: hafnir\nip: \"{ip}\"\ncaller_addr: \"{ip}:{CALLER_PORT}\"\n\
             readiness_addr: \"{ip}:18220\"\nmetrics_port: {METRICS_PORT}\npeer_port: 17340\n\
             seeds: \"\"\nstore_addr: \"{ip}:{STORE_PORT}\"\nstop_time_s: 8\n\
             retry_ratio: 0.2\nretry_slack: 102\nreservation_max_ms: 20000\n"
        );
        fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_oleanderpass"))
            .args(["gateway", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let gateway = Self {
            ip,
            child,
            _store: store,
            _servers: servers,
        };
        let start = Instant::now();
        while !gateway.is_serving().await {
            assert!(start.elapsed() < WAIT_LIMIT, "the gateway does not serve");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        gateway
    }

    /// Return whether the gateway serves a request.
    async fn is_serving(&self) -> bool {
        let answer = Call::new("start", "/look/0").send(self.caller_addr()).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    fn caller_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Guards against a log that blocks requests when the reader of standard output stops reading. The
/// pipe holds about 200 lines and the queue of the log 2,000; the requests of this test log more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_log_pipe_does_not_slow_requests() {
    const CALLERS: usize = 10;
    const CALLS: usize = 150;
    const PAUSE: Duration = Duration::from_millis(40);
    let gateway = Arc::new(Gateway::start(1).await);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let addr = gateway.caller_addr();
            tokio::spawn(async move {
                let mut times = Vec::new();
                for call in 0..CALLS {
                    let start = Instant::now();
                    let call = Call::new(&format!("c{caller}-{call}"), "/look/7");
                    let answer = call.send(addr).await.unwrap();
                    assert_eq!((answer.status, answer.complete), (200, true));
                    times.push(start.elapsed());
                    tokio::time::sleep(PAUSE).await;
                }
                times
            })
        })
        .collect();
    let mut times = Vec::new();
    for caller in callers {
        times.extend(caller.await.unwrap());
    }
    times.sort_unstable();
    let p95 = times[times.len() * 95 / 100];
    println!("p95 {p95:?}, longest {:?}", times[times.len() - 1]);
    assert!(p95 < OBJECTIVE, "p95 {p95:?} while nothing reads the log");
}

/// Guards against a `status` command that works only for instances started with `serve` and not for
/// those started with `gateway`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_shows_the_state_of_a_gateway() {
    let gateway = Gateway::start(2).await;
    let addr = SocketAddr::new(gateway.ip, METRICS_PORT).to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_oleanderpass"))
        .args(["status", &addr])
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    for expected in ["ready: true", "config_version: 7", "server: i-plain-2"] {
        assert!(text.contains(expected), "no `{expected}` in:\n{text}");
    }
}
