//! Run an entry instance on loopback with scripted backend servers and a stand-in platform.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use oleanderpass_entry::core_loop::CoreSender;
use oleanderpass_entry::daemon::Addrs;
use oleanderpass_entry::daemon::Daemon;
use oleanderpass_entry::settings::Settings;
use oleanderpass_proto::platform::BackendServer;
use oleanderpass_proto::platform::InstanceList;
use oleanderpass_proto::settings as raw;
use oleanderpass_stand_in::platform::Platform;
use oleanderpass_stand_in::platform::PlatformConfig;
use sha2::Digest;
use sha2::Sha256;
use tokio::net::TcpSocket;

/// The API key of the tests' caller.
pub(crate) const API_KEY: &str = "medlar";

/// The timeout of every wait for an event that must happen; a test whose event is missing fails
/// after it.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A running entry instance. Its drop starts the graceful shutdown.
pub(crate) struct Entry {
    pub(crate) addrs: Addrs,
    core: CoreSender,
    /// Keeps the platform running; `None` when the test owns it.
    platform: Option<Platform>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.core.shut_down();
    }
}

/// Return the environment document of the tests.
pub(crate) fn document() -> String {
    let key = hex::encode(Sha256::digest(API_KEY));
    format!(
        "generation: 7
environment: {{ name: trial, zones: [hafnir] }}
services:
  - {{ id: skald, kind: engine, memory_tokens: 100000, prefill_tokens_per_s: 10000, concurrent_requests: 64 }}
  - {{ id: bokhald, kind: plain, concurrent_requests: 64 }}
models:
  - {{ id: lay, version: v1, service: skald, max_prompt_tokens: 100000 }}
routes:
  - {{ id: charge, service: bokhald, idempotent: false, ticket: optional }}
  - {{ id: read, service: bokhald, idempotent: true }}
organisations:
  - id: counter
    class: large
    models: [lay]
    routes: [charge, read]
    callers: [{{ id: till, key_sha256: {key} }}]
"
    )
}

/// Start a platform that serves the tests' document and an instance list with both backend servers.
pub(crate) fn spawn_platform(engine: SocketAddr, plain: SocketAddr) -> Platform {
    let platform = Platform::start(PlatformConfig::default()).unwrap();
    platform.set_document(document());
    platform.set_instances(instance_list(engine, plain));
    platform
}

/// Return an instance list with both backend servers and no entry instance.
pub(crate) fn instance_list(engine: SocketAddr, plain: SocketAddr) -> InstanceList {
    let server = |id: &str, service: &str, addr: SocketAddr| BackendServer {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: "hafnir".to_owned(),
        addr: addr.to_string(),
        state: "live".to_owned(),
    };
    InstanceList {
        backend_servers: vec![
            server("skald-1", "skald", engine),
            server("bokhald-1", "bokhald", plain),
        ],
        ..InstanceList::default()
    }
}

/// Start a platform, and an instance whose engine and plain service are at the given addresses.
pub(crate) fn spawn_entry(engine: SocketAddr, plain: SocketAddr, limits: raw::Limits) -> Entry {
    let platform = spawn_platform(engine, plain);
    let mut entry = spawn_instance("hafnir-1", platform.addr(), limits);
    entry.platform = Some(platform);
    entry
}

/// Start an instance that reads a given platform.
pub(crate) fn spawn_instance(id: &str, platform: SocketAddr, limits: raw::Limits) -> Entry {
    start_instance(&settings(id, platform, limits))
}

/// Return the settings of an instance on free ports.
pub(crate) fn settings(id: &str, platform: SocketAddr, limits: raw::Limits) -> raw::Settings {
    raw::Settings {
        instance: id.to_owned(),
        zone: "hafnir".to_owned(),
        caller_addr: "127.0.0.1:0".to_owned(),
        peer_addr: "127.0.0.1:0".to_owned(),
        operator_addr: "127.0.0.1:0".to_owned(),
        platform_addr: platform.to_string(),
        config_key: "environment".to_owned(),
        fleet_key: "5a".repeat(32),
        limits: Some(limits),
        ..raw::Settings::default()
    }
}

/// Start an instance and wait until it is ready.
pub(crate) fn start_instance(settings: &raw::Settings) -> Entry {
    let daemon = Daemon::bind(&Settings::try_from(settings).unwrap()).unwrap();
    let mut entry = Entry {
        addrs: daemon.addrs(),
        core: daemon.core(),
        platform: None,
        thread: None,
    };
    entry.thread = Some(thread::spawn(move || daemon.run()));
    entry.wait_ready();
    entry
}

impl Entry {
    fn wait_ready(&self) {
        // The number of tries bounds the wait; the time to become ready is not asserted.
        for _ in 0..1_000 {
            let (status, _, _) = exchange(self.addrs.operator, "GET /readyz", &[], b"");
            if status == 200 {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("the instance did not become ready");
    }

    /// Start the graceful shutdown.
    pub(crate) fn shut_down(&self) {
        self.core.shut_down();
    }

    /// Wait until the instance has stopped.
    pub(crate) fn join(mut self) {
        self.thread.take().unwrap().join().unwrap();
    }

    /// Send a request of the tests' caller and return status, head and body.
    pub(crate) fn call(&self, line: &str, headers: &[&str], body: &[u8]) -> (u16, String, String) {
        let authorization = format!("authorization: Bearer {API_KEY}");
        let mut all = vec![authorization.as_str()];
        all.extend_from_slice(headers);
        exchange(self.addrs.caller, line, &all, body)
    }

    /// Return the text of the metrics.
    pub(crate) fn metrics(&self) -> String {
        exchange(self.addrs.operator, "GET /metrics", &[], b"").2
    }
}

/// Reserve an address that refuses connections until the socket is dropped. A closed listener
/// would free its port for another test.
pub(crate) fn closed_port() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = socket.local_addr().unwrap();
    (socket, addr)
}

/// Open a connection with a read timeout.
pub(crate) fn connect(addr: SocketAddr) -> TcpStream {
    let tcp = TcpStream::connect(addr).unwrap();
    tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    tcp
}

/// Build the head of a request.
pub(crate) fn head(line: &str, headers: &[&str], length: usize) -> String {
    let mut head = format!("{line} HTTP/1.1\r\nhost: test\r\ncontent-length: {length}\r\n");
    for header in headers {
        head.push_str(header);
        head.push_str("\r\n");
    }
    head.push_str("\r\n");
    head
}

/// Send a request on a connection of its own and return status, head and body.
pub(crate) fn exchange(
    addr: SocketAddr,
    line: &str,
    headers: &[&str],
    body: &[u8],
) -> (u16, String, String) {
    let mut tcp = connect(addr);
    let mut all = vec!["connection: close"];
    all.extend_from_slice(headers);
    tcp.write_all(head(line, &all, body.len()).as_bytes())
        .unwrap();
    // The server may answer and close before it has read the body.
    let _ = tcp.write_all(body);
    read_answer(tcp)
}

/// Read an answer up to the end of the connection.
pub(crate) fn read_answer(mut tcp: TcpStream) -> (u16, String, String) {
    let mut answer = Vec::new();
    let mut buf = [0; 4_096];
    // The server may reset the connection after the answer; that ends the read as a close does.
    while let Ok(count) = tcp.read(&mut buf) {
        if count == 0 {
            break;
        }
        answer.extend_from_slice(&buf[..count]);
    }
    let answer = String::from_utf8(answer).unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    (status.unwrap_or(0), head.to_owned(), body.to_owned())
}

/// A request that a scripted server received, with its connection.
pub(crate) struct ReceivedRequest {
    pub(crate) line: String,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
    pub(crate) tcp: TcpStream,
}

impl ReceivedRequest {
    /// Return the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Send a whole answer.
    pub(crate) fn answer(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n");
        self.tcp.write_all(head.as_bytes()).unwrap();
        self.tcp.write_all(body.as_bytes()).unwrap();
    }

    /// Send the head of a stream that ends with the connection.
    pub(crate) fn begin_stream(&mut self) {
        let head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
            connection: close\r\n\r\n";
        self.tcp.write_all(head).unwrap();
    }

    /// Send an event of the stream with this id.
    pub(crate) fn event(&mut self, id: &str, seq: u64, text: &str) {
        let event = serde_json::json!({ "id": id, "seq": seq, "text": text });
        self.tcp
            .write_all(format!("data: {event}\n\n").as_bytes())
            .unwrap();
    }

    /// Send the last event of the stream.
    pub(crate) fn done(&mut self, id: &str, seq: u64) {
        let event = serde_json::json!({ "id": id, "seq": seq, "done": true });
        self.tcp
            .write_all(format!("data: {event}\n\n").as_bytes())
            .unwrap();
    }
}

/// A backend server whose answers the test writes.
pub(crate) struct ScriptedServer {
    pub(crate) addr: SocketAddr,
    requests: Receiver<ReceivedRequest>,
}

impl ScriptedServer {
    /// Start a server. Polls of load, state and holds are answered with 404 and not passed to the
    /// test.
    pub(crate) fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (tx, requests) = mpsc::channel();
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let tx = tx.clone();
                thread::spawn(move || serve(tcp, &tx));
            }
        });
        Self { addr, requests }
    }

    /// Wait for the next request.
    pub(crate) fn next(&self) -> ReceivedRequest {
        self.requests.recv_timeout(TEST_TIMEOUT).unwrap()
    }

    /// Return whether a request has arrived that [`ScriptedServer::next`] has not yet returned.
    pub(crate) fn has_more(&self) -> bool {
        self.requests.try_recv().is_ok()
    }
}

fn serve(tcp: TcpStream, tx: &mpsc::Sender<ReceivedRequest>) {
    loop {
        let Some(mut received) = read_request(&tcp) else {
            return;
        };
        let is_poll = received.line.starts_with("GET ") && !received.line.contains("/svc");
        if is_poll
            && ["/load", "/state", "/holds"]
                .iter()
                .any(|path| received.line.contains(path))
        {
            received.answer("404 Not Found", "", "");
            continue;
        }
        let _ = tx.send(received);
        return;
    }
}

/// Read a request with its body, or `None` at the end of the connection.
pub(crate) fn read_request(tcp: &TcpStream) -> Option<ReceivedRequest> {
    let mut reader = BufReader::new(tcp.try_clone().ok()?);
    let mut head = String::new();
    loop {
        let start = head.len();
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
        if head[start..].trim().is_empty() {
            break;
        }
    }
    let mut received = ReceivedRequest {
        line: head.lines().next()?.to_owned(),
        head,
        body: Vec::new(),
        tcp: tcp.try_clone().ok()?,
    };
    let length = received
        .header("content-length")
        .map_or(0, |text| text.parse().unwrap());
    received.body.resize(length, 0);
    reader.read_exact(&mut received.body).ok()?;
    Some(received)
}
