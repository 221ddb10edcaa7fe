//! Check the log, the status and the memory of a gateway process from outside.

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
use oleanderpass_platform_stand_in::backend_server::EndlessPart;
use oleanderpass_platform_stand_in::backend_server::Mode;
use oleanderpass_platform_stand_in::caller::Answer;
use oleanderpass_platform_stand_in::caller::Call;
use oleanderpass_platform_stand_in::caller::read_answer;
use oleanderpass_platform_stand_in::documents::KEY;
use oleanderpass_platform_stand_in::documents::announcement;
use oleanderpass_platform_stand_in::documents::configuration;
use oleanderpass_platform_stand_in::store::Mode as StoreMode;
use oleanderpass_platform_stand_in::store::Store;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tempfile::TempDir;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The objective of the stand-in's routes (`SloMs` of its configuration).
const OBJECTIVE: Duration = Duration::from_millis(300);

/// The limit of each wait. Only a run that fails reaches it.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// The memory that the process may use, in bytes.
const MEMORY: u64 = 64 << 20;

/// The pause of an engine. It is longer than the gateway's timeout for the next event.
const ENGINE_PAUSE: Duration = Duration::from_millis(1_300);

/// The pause of an engine that has died. It outlasts each request.
const FOREVER: Duration = Duration::from_secs(60);

const CALLER_PORT: u16 = 18_227;
const METRICS_PORT: u16 = 18_464;
const PEER_PORT: u16 = 17_340;
const STORE_PORT: u16 = 18_223;

/// A gateway process with its store and backend servers. Nothing reads its standard output.
struct Gateway {
    ip: IpAddr,
    child: Child,
    /// The directory of its settings file.
    settings: TempDir,
    store: Store,
    plain: Vec<BackendServer>,
    engines: Vec<BackendServer>,
}

impl Gateway {
    async fn start(number: u8) -> Self {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 78, 0, number));
        let store = Store::start(SocketAddr::new(ip, STORE_PORT)).await.unwrap();
        let mut plain = Vec::new();
        let mut engines = Vec::new();
        for (service, servers) in [("plain", &mut plain), ("engines", &mut engines)] {
            for index in 0..3 {
                let id = format!("i-{service}-{index}");
                let server = BackendServer::start(&id, ip).await.unwrap();
                store.put_server(&id, &announcement(service, server.addr, "ready", 1));
                servers.push(server);
            }
        }
        store.put_configuration(&configuration(7, &[KEY]));
        let dir = tempfile::tempdir().unwrap();
        let settings = dir.path().join("settings.yaml");
        let text = format!(
            "instance: edge-1\nzone: hafnir\nip: \"{ip}\"\ncaller_addr: \"{ip}:{CALLER_PORT}\"\n\
             readiness_addr: \"{ip}:18220\"\nmetrics_port: {METRICS_PORT}\npeer_port: 17340\n\
             seeds: \"\"\nstore_addr: \"{ip}:{STORE_PORT}\"\nstop_time_s: 8\n\
             retry_ratio: 0.2\nretry_slack: 102\nreservation_max_ms: 20000\n\
             memory_mb: {}\n",
            MEMORY >> 20
        );
        fs::write(&settings, text).unwrap();
        let gateway = Self {
            ip,
            child: spawn(&dir),
            settings: dir,
            store,
            plain,
            engines,
        };
        gateway.wait_until_serving().await;
        gateway
    }

    /// Kill the process, start it again and wait until it serves.
    async fn restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = spawn(&self.settings);
        self.wait_until_serving().await;
    }

    async fn wait_until_serving(&self) {
        let start = Instant::now();
        while !self.is_serving().await {
            assert!(start.elapsed() < WAIT_LIMIT, "the gateway does not serve");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Return whether the gateway serves a request.
    async fn is_serving(&self) -> bool {
        let answer = Call::new("start", "/look/0").send(self.caller_addr()).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    fn caller_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    /// Send a signal to the process.
    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).unwrap()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Return the most memory that the process has used, in bytes.
    fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kb = line.unwrap().split_whitespace().nth(1).unwrap();
        kb.parse::<u64>().unwrap() * 1_024
    }

    /// Send `calls` requests to `path` from each of `callers` callers. Return the statuses of the
    /// answers, with 0 for none.
    async fn call_often(&self, path: &'static str, callers: usize, calls: usize) -> Vec<u16> {
        // Long prompts that have less time are refused at once.
        let timeout_ms = if path.starts_with("/report/") {
            10_000
        } else {
            1_500
        };
        let addr = self.caller_addr();
        let mut tasks = JoinSet::new();
        for caller in 0..callers {
            tasks.spawn(async move {
                let mut statuses = Vec::new();
                for number in 0..calls {
                    let mut call = Call::new(&format!("c{caller}-{number}"), path);
                    call.timeout_ms = timeout_ms;
                    let mut stream = TcpStream::connect(addr).await.unwrap();
                    stream.write_all(&call.bytes()).await.unwrap();
                    let answer = read_answer(&mut stream, WAIT_LIMIT).await;
                    assert!(
                        answer.status != 200 || answer.complete,
                        "a cut answer looks whole"
                    );
                    statuses.push(answer.status);
                }
                statuses
            });
        }
        tasks.join_all().await.concat()
    }
}

/// Start a process with the settings in a directory.
fn spawn(dir: &TempDir) -> Child {
    Command::new(env!("CARGO_BIN_EXE_oleanderpass"))
        .args(["gateway", "--settings"])
        .arg(dir.path().join("settings.yaml"))
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap()
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

/// Guards against an `explain` command that asks nobody, sends a request to a server, shows the key
/// or reports another decision than the instance takes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn explanation_of_a_gateway() {
    let gateway = Gateway::start(22).await;
    let dir = tempfile::tempdir().unwrap();
    let key_file = dir.path().join("key");
    fs::write(&key_file, format!("{KEY}\n")).unwrap();
    let settings = gateway.settings.path().join("settings.yaml");
    let addr = SocketAddr::new(gateway.ip, METRICS_PORT).to_string();
    let explain = |args: &[&str]| {
        Command::new(env!("CARGO_BIN_EXE_oleanderpass"))
            .args(["explain", "--host", "shop.example", "--key-file"])
            .arg(&key_file)
            .args(args)
            .output()
            .unwrap()
    };
    let requests = || -> usize {
        let servers = gateway.plain.iter().chain(&gateway.engines);
        servers.map(|server| server.arrivals().len()).sum()
    };
    let before = requests();
    let chat = ["--path", "/chat/7?a=b&c=d", "--prompt", "5000"];
    // The address, and the settings file that names it.
    let by_settings = ["--settings", settings.to_str().unwrap()];
    for whom in [&[addr.as_str()][..], &by_settings] {
        let output = explain(&[whom, &chat].concat());
        let text = String::from_utf8(output.stdout).unwrap();
        let errors = String::from_utf8(output.stderr).unwrap();
        assert!(output.status.success(), "{errors}");
        for expected in ["outcome: sent", "route: chat", "primary: i-engines-"] {
            assert!(text.contains(expected), "no `{expected}` in:\n{text}");
        }
        assert!(!text.contains(KEY) && !errors.contains(KEY), "{text}");
    }
    let output = explain(&[&addr, "--path", "/report/7", "--prompt", "900000", "--json"]);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["outcome"]["result"], "refused");
    assert_eq!(report["outcome"]["shortage"], "memory");
    assert_eq!(report["servers"].as_array().unwrap().len(), 3);
    assert_eq!(report["servers"][0]["held_back"][0], "memory");
    assert_eq!(
        requests(),
        before,
        "an explanation sent a request to a server"
    );
}

/// Guards against bytes without end of several servers at once that fill the memory of the process,
/// so that the platform ends it with the requests of all callers.
#[test_case(3, "/look/7", 16, EndlessPart::HeaderLine, 65_536; "header line in large pieces")]
#[test_case(4, "/chat/7", 16, EndlessPart::HeaderLine, 1; "header line in small pieces")]
#[test_case(5, "/chat/7", 16, EndlessPart::InterimHeads, 100; "interim heads")]
#[test_case(17, "/look/7", 300, EndlessPart::StalledHeaderLine(400_000), 1; "many stalled header lines")]
#[test_case(6, "/chat/7", 16, EndlessPart::Failure, 65_536; "failure of a stream")]
#[test_case(7, "/order/7", 16, EndlessPart::Failure, 65_536; "failure of a call")]
#[test_case(8, "/order/7", 16, EndlessPart::Chunks, 65_536; "call in large pieces")]
#[test_case(9, "/look/7", 16, EndlessPart::Chunks, 1; "call in small pieces")]
#[test_case(10, "/chat/7", 16, EndlessPart::Chunks, 65_536; "event in large pieces")]
#[test_case(11, "/chat/7", 16, EndlessPart::Chunks, 1; "event in small pieces")]
#[test_case(12, "/report/7", 16, EndlessPart::Order, 65_536; "order")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_without_end_dont_fill_the_memory(
    number: u8,
    path: &'static str,
    callers: usize,
    part: EndlessPart,
    piece_bytes: usize,
) {
    let gateway = Gateway::start(number).await;
    for server in gateway.plain.iter().chain(&gateway.engines).skip(1) {
        server.set_mode(Mode::Endless { part, piece_bytes });
    }
    let statuses = gateway.call_often(path, callers, 3).await;
    let servers = gateway.plain.iter().chain(&gateway.engines);
    let sent: usize = servers.clone().map(BackendServer::endless_bytes).sum();
    let peak = gateway.peak_memory();
    println!("{statuses:?}; {sent} bytes sent; peak memory {peak}");
    assert!(sent > 0, "no server sent bytes without end");
    assert!(peak < MEMORY, "peak memory {peak}");
    assert!(!statuses.contains(&0), "requests have no answer");
    servers.for_each(|server| server.set_mode(Mode::Healthy));
    let answer = Call::new("later", "/look/7")
        .send(gateway.caller_addr())
        .await
        .unwrap();
    assert_eq!((answer.status, answer.complete), (200, true));
}

/// Guards against a tunnel that keeps what its peer doesn't read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tunnels_dont_fill_the_memory() {
    const TUNNELS: usize = 100;
    let gateway = Gateway::start(16).await;
    let server = &gateway.plain[0];
    server.set_mode(Mode::Endless {
        part: EndlessPart::Failure,
        piece_bytes: 65_536,
    });
    let mut tunnels = Vec::new();
    for _ in 0..TUNNELS {
        let mut stream = TcpStream::connect((gateway.ip, PEER_PORT)).await.unwrap();
        let target = server.addr;
        let connect = format!("CONNECT {target} HTTP/1.1\r\nHost: {target}\r\n\r\n");
        stream.write_all(connect.as_bytes()).await.unwrap();
        stream
            .write_all(&Call::new("a1", "/look/7").bytes())
            .await
            .unwrap();
        tunnels.push(stream);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let peak = gateway.peak_memory();
    println!("{} bytes sent; peak memory {peak}", server.endless_bytes());
    assert!(
        server.endless_bytes() > 0,
        "no server sent bytes without end"
    );
    assert!(peak < MEMORY, "peak memory {peak}");
}

/// Guards against a store that sends bytes without end and so fills the memory of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_without_end_doesnt_fill_the_memory() {
    let gateway = Gateway::start(13).await;
    gateway.store.set_mode(StoreMode::Endless);
    gateway.store.put_configuration(&configuration(8, &[KEY]));
    tokio::time::sleep(Duration::from_secs(12)).await;
    let peak = gateway.peak_memory();
    println!("peak memory {peak}");
    assert!(peak < MEMORY, "peak memory {peak}");
    let answer = Call::new("a1", "/look/7")
        .send(gateway.caller_addr())
        .await
        .unwrap();
    assert_eq!((answer.status, answer.complete), (200, true));
}

/// Guards against a bound on the memory that keeps sound large answers from their callers.
#[test_case(14, "/look/7"; "call")]
#[test_case(15, "/chat/7"; "event")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_answer_arrives_whole(number: u8, path: &str) {
    const LEN: usize = 12 << 20;
    let gateway = Gateway::start(number).await;
    for server in gateway.plain.iter().chain(&gateway.engines) {
        server.set_mode(Mode::Large(LEN));
    }
    let answer = Call::new("a1", path)
        .send(gateway.caller_addr())
        .await
        .unwrap();
    assert_eq!((answer.status, answer.complete), (200, true));
    let data = answer.body.matches('x').count();
    assert_eq!(data, LEN);
    assert!(
        gateway.peak_memory() < MEMORY,
        "peak memory {}",
        gateway.peak_memory()
    );
}

/// Guards against a stream that is cut because its engine pauses or dies while the process stops and
/// a new configuration has come into force.
#[test_case(18, true, false, ENGINE_PAUSE; "SIGTERM")]
#[test_case(19, false, true, ENGINE_PAUSE; "a new configuration")]
#[test_case(20, true, true, ENGINE_PAUSE; "SIGTERM and a new configuration")]
#[test_case(21, true, true, FOREVER; "SIGTERM and a new configuration and a dead engine")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopping_gateway_completes_the_stream_of_a_silent_engine(
    number: u8,
    stops: bool,
    reconfigures: bool,
    length: Duration,
) {
    const EVENTS: u64 = 8;
    // The engine pauses before the last event, when a stopping instance no longer admits streams.
    const GAP: Duration = Duration::from_millis(400);
    let gateway = Gateway::start(number).await;
    let pause = Mode::Pause {
        event: EVENTS - 1,
        length,
    };
    for engine in &gateway.engines {
        engine.set_stream(EVENTS, GAP);
        engine.set_mode(pause);
    }
    let mut call = Call::new("a1", "/chat/7");
    call.timeout_ms = 9_000;
    let addr = gateway.caller_addr();
    let call = tokio::spawn(async move { call.send(addr).await.unwrap() });
    let has_arrived = || gateway.engines.iter().any(|e| !e.arrivals().is_empty());
    let start = Instant::now();
    while !has_arrived() {
        assert!(start.elapsed() < WAIT_LIMIT, "the stream does not begin");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Only the stream in progress pauses.
    let engines = gateway.engines.iter();
    engines.for_each(|engine| engine.set_mode(Mode::Healthy));
    if stops {
        gateway.signal(Signal::TERM);
    }
    if reconfigures {
        gateway.store.put_configuration(&configuration(8, &[KEY]));
    }
    let answer = call.await.unwrap();
    let expected: String = (0..EVENTS)
        .map(|n| format!("id: {n}\ndata: token {n}\n\n"))
        .collect();
    assert_eq!((answer.status, answer.complete), (200, true), "{answer:?}");
    assert_eq!(answer.body, expected);
}

/// The size of an upload that no buffer on its way holds, in bytes.
const UPLOAD: usize = 3_800_000;

/// Send uploads to a path from several callers at once, which the memory of the process has room
/// for. Return the answers by the ids of the requests.
async fn upload_often(gateway: &Gateway, path: &'static str) -> Vec<(String, Answer)> {
    const CALLERS: usize = 4;
    const CALLS: usize = 6;
    let addr = gateway.caller_addr();
    let mut tasks = JoinSet::new();
    for caller in 0..CALLERS {
        tasks.spawn(async move {
            let mut answers = Vec::new();
            for number in 0..CALLS {
                let mut call = Call::new(&format!("u{caller}-{number}"), path);
                call.body = "x".repeat(UPLOAD);
                let answer = call.send(addr).await.unwrap();
                answers.push((call.id, answer));
            }
            answers
        });
    }
    tasks.join_all().await.concat()
}

/// Guards against a part of an answer that reaches the caller as a whole one: a server answers an
/// upload while it is being written, without a length, and resets the connection.
#[test_case(22, "/look/7", 0; "call at once")]
#[test_case(23, "/look/7", UPLOAD - 10_000; "call near the end")]
#[test_case(24, "/order/7", 0; "call that runs once at once")]
#[test_case(25, "/order/7", UPLOAD - 10_000; "call that runs once near the end")]
#[test_case(26, "/chat/7", 0; "stream at once")]
#[test_case(27, "/chat/7", UPLOAD - 10_000; "stream near the end")]
#[test_case(33, "/report/7", 0; "order")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn part_of_an_early_answer_is_not_whole(number: u8, path: &'static str, read_bytes: usize) {
    let gateway = Gateway::start(number).await;
    for server in gateway.plain.iter().chain(&gateway.engines) {
        server.set_mode(Mode::EarlyReset(read_bytes));
    }
    let answers = upload_often(&gateway, path).await;
    let servers = gateway.plain.iter().chain(&gateway.engines);
    let arrivals: Vec<_> = servers.flat_map(BackendServer::arrivals).collect();
    let runs = |id: &str| {
        let of_request = arrivals
            .iter()
            .filter(|a| a.request.header("attempt-id") == id);
        of_request.count()
    };
    assert!(
        arrivals.len() >= answers.len() / 2,
        "hardly any server answered"
    );
    for (id, answer) in &answers {
        let is_whole = (200..300).contains(&answer.status) && answer.complete;
        assert!(!is_whole, "a part looks whole: {answer:?}");
        let may_repeat = path != "/order/7";
        assert!(may_repeat || runs(id) <= 1, "{id} ran {} times", runs(id));
    }
}

/// Guards against an answer without a final status of HTTP that reaches the caller as an answer.
#[test_case(28, "/look/7"; "call")]
#[test_case(29, "/order/7"; "call that runs once")]
#[test_case(30, "/chat/7"; "stream")]
#[test_case(34, "/report/7"; "order")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_without_a_final_status_is_a_failure(number: u8, path: &'static str) {
    let gateway = Gateway::start(number).await;
    for status in [0, 99, 101, 600, 999] {
        for server in gateway.plain.iter().chain(&gateway.engines) {
            server.set_mode(Mode::Status(status));
        }
        let mut call = Call::new(&format!("s{status}"), path);
        // Long prompts that have less time are refused at once.
        call.timeout_ms = if path == "/report/7" { 10_000 } else { 1_000 };
        let answer = call.send(gateway.caller_addr()).await.unwrap();
        assert!(
            matches!(answer.status, 502..=504),
            "status {status} of the server: {answer:?}"
        );
        assert!(
            !answer.head.contains("response-seal"),
            "status {status}: the failure is said to be the server's"
        );
    }
}

/// Guards against a tunnel that ends in order although its server has reset the connection: the
/// part of an answer without a length that came through it would look whole.
#[test_case(31, 0)]
#[test_case(32, 50_000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tunnel_passes_a_reset_on(number: u8, read_bytes: usize) {
    const TUNNELS: usize = 100;
    let gateway = Gateway::start(number).await;
    let server = &gateway.plain[0];
    server.set_mode(Mode::EarlyReset(read_bytes));
    let (ip, target) = (gateway.ip, server.addr);
    let mut tasks = JoinSet::new();
    for _ in 0..TUNNELS {
        tasks.spawn(async move {
            let mut stream = TcpStream::connect((ip, PEER_PORT)).await.unwrap();
            let connect = format!("CONNECT {target} HTTP/1.1\r\nHost: {target}\r\n\r\n");
            stream.write_all(connect.as_bytes()).await.unwrap();
            let mut call = Call::new("a1", "/look/7").bytes();
            let length = format!("Content-Length: {UPLOAD}");
            let text = String::from_utf8(call).unwrap();
            call = text.replace("Content-Length: 5", &length).into_bytes();
            call.resize(call.len() + 60_000, b'x');
            stream.write_all(&call).await.unwrap();
            // Nothing more is written, so that the reset is seen when reading.
            let mut received = Vec::new();
            let ended = tokio::time::timeout(WAIT_LIMIT, stream.read_to_end(&mut received));
            (ended.await.unwrap().is_ok(), received)
        });
    }
    for (in_order, received) in tasks.join_all().await {
        let text = String::from_utf8_lossy(&received).into_owned();
        assert!(!in_order, "the tunnel ended in order after {text}");
    }
    assert!(
        server.arrivals().len() >= TUNNELS / 2,
        "hardly any tunnel was used"
    );
}

/// Guards against a process that takes the memory that its earlier lifetime reserved for a request:
/// the engine would take its order for a renewal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_gateway_reserves_memory_of_its_own() {
    let mut gateway = Gateway::start(35).await;
    for engine in &gateway.engines {
        engine.set_stream(20, Duration::from_millis(100));
    }
    let mut reserved: Vec<Vec<String>> = Vec::new();
    for id in ["first", "second"] {
        let addr = gateway.caller_addr();
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let mut call = Call::new(id, "/report/1");
        call.timeout_ms = 10_000;
        stream.write_all(&call.bytes()).await.unwrap();
        let began = Instant::now();
        let ids = loop {
            let engines = gateway.engines.iter();
            let ids = engines.flat_map(|engine| engine.reservations().into_keys());
            let earlier = reserved.concat();
            let ids: Vec<String> = ids.filter(|id| !earlier.contains(id)).collect();
            if !ids.is_empty() {
                break ids;
            }
            assert!(
                began.elapsed() < WAIT_LIMIT,
                "{id} has no memory of its own"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        };
        reserved.push(ids);
        if id == "first" {
            gateway.restart().await;
        }
    }
}
