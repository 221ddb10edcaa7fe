//! Stand-ins for the platform's store, backend servers and callers, and the processes of a small
//! deployment. Only the standard library is used.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    began: Instant,
}

impl Record {
    pub fn create(dir: &Path) -> io::Result<Self> {
        let file = fs::File::create(dir.join("record.txt"))?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        })
    }

    /// Write a line with the time since the start, also to the standard output.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.began.elapsed().as_secs_f64());
        print!("{line}");
        self.quiet_line_raw(&line);
    }

    /// Write a line to the record only.
    pub fn quiet(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.began.elapsed().as_secs_f64());
        self.quiet_line_raw(&line);
    }

    fn quiet_line_raw(&self, line: &str) {
        let mut file = self.file.lock().expect("record");
        file.write_all(line.as_bytes()).expect("write the record");
    }
}

/// The head of an HTTP message, and the length of its body.
#[derive(Clone, Debug)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn len(&self) -> usize {
        self.get("content-length").parse().unwrap_or(0)
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1).unwrap_or("");
        status.parse().unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Read a head, or `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(Some(Head {
        first: first.trim_end().to_owned(),
        headers,
    }))
}

/// Read the body of a message. Return it and whether it is complete.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<(Vec<u8>, bool)> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").contains("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return Ok((body, false));
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return Ok((body, false));
            };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Ok((body, false));
            }
            if size == 0 {
                return Ok((body, true));
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    body.resize(head.len(), 0);
    let complete = reader.read_exact(&mut body).is_ok();
    Ok((body, complete))
}

#[derive(Default)]
struct Items {
    revision: u64,
    /// Each item's revision and value. A removed item has none.
    items: BTreeMap<String, (u64, Option<String>)>,
}

/// A way to the store, for one instance.
#[derive(Clone)]
pub struct StorePath {
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl StorePath {
    /// Cut the path: nothing is answered, and connections that are open now stay silent. Or heal it
    /// for new connections.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    items: Arc<(Mutex<Items>, Condvar)>,
}

impl Store {
    pub fn new() -> Self {
        let store = Self {
            items: Arc::default(),
        };
        store.items.0.lock().expect("store").revision = 100;
        store
    }

    /// Listen at a further address.
    pub fn listen(&self, ip: IpAddr) -> io::Result<StorePath> {
        let listener = TcpListener::bind((ip, 0))?;
        let path = StorePath {
            addr: listener.local_addr()?,
            cut: Arc::default(),
        };
        let (store, cut) = (self.clone(), path.cut.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, cut) = (store.clone(), cut.clone());
                thread::spawn(move || store.serve(stream, &cut).ok());
            }
        });
        Ok(path)
    }

    /// Write an item, or remove it.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let mut items = self.items.0.lock().expect("store");
        items.revision += 1;
        let revision = items.revision;
        items
            .items
            .insert(key.to_owned(), (revision, value.map(str::to_owned)));
        self.items.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, cut: &AtomicBool) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
            let get = |name: &str| -> String {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                let mut values = pairs.filter(|(key, _)| *key == name);
                values.next().map_or(String::new(), |(_, v)| decode(v))
            };
            let body = match path {
                "/oleanderpass/kv-range" => self.range(&get("Prefix"), &get("After")),
                "/oleanderpass/kv-watch" => self.watch(
                    &get("Prefix"),
                    get("After").parse().unwrap_or(0),
                    Duration::from_millis(get("WaitMs").parse().unwrap_or(0)),
                ),
                _ => "{}".to_owned(),
            };
            if cut.load(Ordering::SeqCst) {
                // What was sent is lost for good on this connection.
                while read_head(&mut reader)?.is_some() {}
                return Ok(());
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all(head.as_bytes())?;
            writer.write_all(body.as_bytes())?;
        }
        Ok(())
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let items = self.items.0.lock().expect("store");
        let found = items.items.iter().filter(|(key, (_, value))| {
            key.starts_with(prefix) && key.as_str() > after && value.is_some()
        });
        let entries: Vec<String> = found.map(|(key, item)| json(key, item)).collect();
        format!(
            "{{\"Entries\":[{}],\"HasMore\":false,\"At\":{}}}",
            entries.join(","),
            items.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut items = self.items.0.lock().expect("store");
        loop {
            let found = items
                .items
                .iter()
                .filter(|(key, (revision, _))| key.starts_with(prefix) && *revision > after);
            let mut found: Vec<_> = found.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(_, (revision, _))| *revision);
                let events: Vec<String> = found.iter().map(|(key, item)| json(key, item)).collect();
                return format!(
                    "{{\"events\":[{}],\"At\":{}}}",
                    events.join(","),
                    items.revision
                );
            }
            items = self.items.1.wait_timeout(items, left).expect("store").0;
        }
    }
}

fn json(key: &str, (revision, value): &(u64, Option<String>)) -> String {
    match value {
        Some(value) => format!(
            "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{revision},\"Created\":{revision},\"LeaseId\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Deleted\":true}}"),
    }
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(data: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in data.chunks(3) {
        let word = part
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for index in 0..4 {
            if index <= part.len() {
                out.push(char::from(
                    ALPHABET[(word >> (18 - 6 * index)) as usize & 63],
                ));
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// Return a free port for TCP and UDP on all of these addresses.
pub fn free_port(ips: &[IpAddr]) -> u16 {
    'next: loop {
        let probe = TcpListener::bind((ips[0], 0)).expect("a free port");
        let port = probe.local_addr().expect("a port").port();
        drop(probe);
        for ip in ips {
            if TcpListener::bind((*ip, port)).is_err() || UdpSocket::bind((*ip, port)).is_err() {
                continue 'next;
            }
        }
        return port;
    }
}

/// The ports of all instances of a run.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub callers: u16,
    pub ready: u16,
    pub metrics: u16,
    pub peers: u16,
}

impl Ports {
    pub fn choose(ips: &[IpAddr]) -> Self {
        Self {
            callers: free_port(ips),
            ready: free_port(ips),
            metrics: free_port(ips),
            peers: free_port(ips),
        }
    }
}

/// An entry instance as a process.
pub struct Gateway {
    pub name: String,
    pub ip: IpAddr,
    pub ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    pub child: Child,
}

impl Gateway {
    /// Start an instance with the command of the deploy file. The fields are those of the template
    /// `deploy/gateway.yaml`, filled in as on the sheet of mispill.
    pub fn start(
        dir: &Path,
        name: &str,
        zone: &str,
        ip: IpAddr,
        ports: Ports,
        seeds: &[IpAddr],
        store: SocketAddr,
        memory_mb: u64,
    ) -> io::Result<Self> {
        let seeds: Vec<String> = seeds.iter().map(|ip| format!("{ip}:8229")).collect();
        let text = format!(
            "instance: \"{name}\"\nzone: \"{zone}\"\nip: \"{ip}\"\n\
             caller_addr: \"{ip}:{}\"\nreadiness_addr: \"{ip}:{}\"\nmetrics_port: {}\n\
             peer_port: {}\nseeds: \"{}\"\nstore_addr: \"{store}\"\nstop_time_s: 8\n\
             retry_ratio: 0.2\nretry_slack: 102\nreservation_max_ms: 20000\n\
             memory_mb: {memory_mb}\nmax_fds: 4100\n\
             zone_regions: {{\"keflavik\":\"reykjanes\",\"grindavik\":\"reykjanes\",\"hafnir\":\"reykjanes\"}}\n",
            ports.callers,
            ports.ready,
            ports.metrics,
            ports.peers,
            seeds.join(","),
        );
        let settings = dir.join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        let log = dir.join(format!("{name}.log"));
        let child = run(&settings, &log)?;
        Ok(Self {
            name: name.to_owned(),
            ip,
            ports,
            settings,
            log,
            child,
        })
    }

    /// Kill the process and wait for its end.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Start the process again, as the platform does after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = run(&self.settings, &self.log)?;
        Ok(())
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.callers)
    }

    /// Return the resident memory of the process in megabytes, or `None` if it has ended.
    pub fn resident_mb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1024)
    }

    pub fn is_ready(&self) -> bool {
        let addr = SocketAddr::new(self.ip, self.ports.ready);
        get(addr, "/oleanderpass/readyz").is_ok_and(|(status, _)| status == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn run(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new("target/release/oleanderpass")
        .arg("gateway")
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("OLEANDERPASS_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::inherit())
        .spawn()
}

/// Send a GET request on a new connection. Return the status and the body.
pub fn get(addr: SocketAddr, path: &str) -> io::Result<(u16, String)> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let mut writer = stream.try_clone()?;
    write!(
        writer,
        "GET {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n"
    )?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let (body, _) = read_body(&mut reader, &head)?;
    Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
}

/// Return the entry of a backend server.
pub fn entry(service: &str, addr: SocketAddr, zone: &str, slots: u32, born: u64) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{addr}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
         \"Slots\":{slots},\"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"unified\",\
         \"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\"Sequence\":0,\"born\":{born}}}"
    )
}

/// Return a route of the configuration.
pub fn route(
    name: &str,
    kind: &str,
    service: &str,
    timeout: u64,
    slo: u64,
    attempts: u32,
) -> String {
    let stream = kind == "streaming";
    format!(
        "{{\"Name\":\"r-{name}\",\"Host\":\"{HOST}\",\"Prefix\":\"/{name}/\",\"Kind\":\"{kind}\",\
         \"TimeoutMs\":{timeout},\"SloMs\":{slo},\"Priority\":1,\"Service\":\"{service}\",\
         \"MaxAttempts\":{attempts},\"Anonymous\":false,\"Sticky\":{stream},\"Resumable\":{stream},\
         \"GapTargetMs\":250}}"
    )
}

/// Return a configuration with these routes, an engine service `skald` and a plain service
/// `bokhald`.
pub fn configuration(version: u64, routes: &[String], keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"Version\":{version},\"RouteTable\":[{}],\"Services\":[\
         {{\"Name\":\"skald\",\"HealthPath\":\"/healthz\",\"MaxConnections\":264,\"Protocol\":\"h1\",\
         \"Tls\":false,\"Engine\":{{\"Slots\":16,\"KvCapacity\":232000,\"KvBytes\":327680,\"Stride\":43,\
         \"step_ms\":1.02,\"per_seq_ms\":0.00226,\"context_per_k\":0.00431,\"read_per_s\":206000.0,\
         \"pairs_per_m\":0.138,\"chunk\":2048}}}},\
         {{\"Name\":\"bokhald\",\"HealthPath\":\"/healthz\",\"MaxConnections\":100,\"Protocol\":\"h1\",\
         \"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[{}],\"Priority\":1}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Set the receive buffer and the segment size of the connections that a listener accepts.
pub fn set_receiving(listener: &TcpListener, buffer: i32, segment: i32) -> io::Result<()> {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    for (level, name, value) in [
        (SOL_SOCKET, SO_RCVBUF, buffer),
        (IPPROTO_TCP, TCP_MAXSEG, segment),
    ] {
        // SAFETY: the descriptor is open, and the value is an `int` of the given length.
        let result = unsafe { setsockopt(listener.as_raw_fd(), level, name, &value, 4) };
        if result != 0 {
            return Err(io::Error::last_os_error());
        }
    }
    Ok(())
}

/// Send a POST request with a key on a new connection. Return the status of the answer.
pub fn post(addr: SocketAddr, path: &str, id: &str, body: &[u8]) -> io::Result<u16> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut writer = stream.try_clone()?;
    write!(
        writer,
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )?;
    writer.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let (_, complete) = read_body(&mut reader, &head)?;
    Ok(if complete { head.status() } else { 0 })
}
