//! The parts that all cases share: the record, HTTP/1.1 on sockets, the platform's store, the
//! platform that starts and ends processes, backend servers and callers. Standard library only.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Writes what was sent, answered and run to `record.txt`, one line each, with the seconds since
/// the start.
pub struct Record {
    file: Mutex<File>,
    pub began: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = Mutex::new(File::create(path).expect("create the record"));
        Arc::new(Self {
            file,
            began: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} {text}").ok();
    }

    /// Write a line to the record and to standard output.
    pub fn tell(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// A small generator of random numbers (xorshift).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number from 0 to 1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const SYMBOLS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let n = u32::from(group[0]) << 16
            | u32::from(*group.get(1).unwrap_or(&0)) << 8
            | u32::from(*group.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= group.len() {
                out.push(SYMBOLS[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// A socket with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

/// The head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// The path of a request, with its query.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length").parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
    }
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    /// Read more bytes. Return whether there were any.
    fn fill(&mut self) -> std::io::Result<bool> {
        let mut buf = [0; 64 * 1024];
        let count = self.stream.read(&mut buf)?;
        self.ahead.extend_from_slice(&buf[..count]);
        Ok(count > 0)
    }

    /// Read a head. `None` means that the connection ended before its first byte.
    pub fn head(&mut self) -> std::io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.ahead.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                    .collect();
                return Ok(Some(Head {
                    first_line,
                    headers,
                }));
            }
            if !self.fill()? {
                let cut = std::io::ErrorKind::UnexpectedEof;
                return if self.ahead.is_empty() {
                    Ok(None)
                } else {
                    Err(cut.into())
                };
            }
        }
    }

    fn take(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            if !self.fill()? {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..count).collect())
    }

    fn line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Read the body that belongs to a head. `on_bytes` gets the pieces as they arrive.
    pub fn body(&mut self, head: &Head, mut on_bytes: impl FnMut(&[u8])) -> std::io::Result<()> {
        if head.is_chunked() {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16)
                    .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
                let chunk = self.take(size + 2)?;
                if size == 0 {
                    return Ok(());
                }
                on_bytes(&chunk[..size]);
            }
        }
        let length = head.length().unwrap_or(0);
        on_bytes(&self.take(length)?);
        Ok(())
    }

    /// Return whether the other side has closed the idle connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        self.stream.set_nonblocking(true).ok();
        let peeked = self.stream.peek(&mut byte);
        self.stream.set_nonblocking(false).ok();
        !matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Send an answer with a body of known length.
    pub fn answer(&mut self, status: u16, headers: &str, body: &[u8]) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        self.send(&[head.as_bytes(), body].concat())
    }
}

/// How the store responds.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    /// It answers nothing (`platform_down`, silent).
    Silent,
}

struct Items {
    mode: StoreMode,
    revision: u64,
    /// The revision and value of each key; a removed one has no value.
    items: BTreeMap<String, (u64, Option<String>)>,
}

/// The platform's store, read only for the system.
pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<Items>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind the store");
        let store = Arc::new(Self {
            addr: listener.local_addr().unwrap(),
            state: Mutex::new(Items {
                mode: StoreMode::Up,
                revision: 100,
                items: BTreeMap::new(),
            }),
            changed: Condvar::new(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(head)) = conn.head() {
                        // A silent store holds the call and then gives up the connection.
                        let Some((status, body)) = store.call(head.path()) else {
                            return;
                        };
                        let kind = "Content-Type: application/json\r\n";
                        if conn.answer(status, kind, body.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state
            .items
            .insert(key.to_owned(), (revision, Some(value.to_owned())));
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (revision, None));
        self.changed.notify_all();
    }

    pub fn set_mode(&self, mode: StoreMode) {
        self.state.lock().unwrap().mode = mode;
        self.changed.notify_all();
    }

    fn call(&self, path: &str) -> Option<(u16, String)> {
        let (call, query) = path.split_once('?').unwrap_or((path, ""));
        let get = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(n, _)| *n == name)
                .map(|(_, v)| v.replace("%2F", "/"))
                .next()
        };
        let number = |name: &str| get(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        let give_up = Instant::now() + Duration::from_secs(60);
        let until = Instant::now() + Duration::from_millis(number("WaitMs"));
        loop {
            if state.mode == StoreMode::Silent {
                if Instant::now() > give_up {
                    return None;
                }
                state = self
                    .changed
                    .wait_timeout(state, Duration::from_millis(500))
                    .unwrap()
                    .0;
                if state.mode == StoreMode::Up {
                    // The channel on which an answer was lost returns nothing further.
                    return None;
                }
                continue;
            }
            let at = state.revision;
            match call {
                "/oleanderpass/kv-key" => {
                    let key = get("Key").unwrap_or_default();
                    return Some(match state.items.get(&key) {
                        Some((revision, Some(value))) => (
                            200,
                            format!("{},\"At\":{at}}}", item(&key, *revision, value)),
                        ),
                        _ => (404, "{}".to_owned()),
                    });
                }
                "/oleanderpass/kv-range" => {
                    let prefix = get("Prefix").unwrap_or_default();
                    let entries: Vec<String> = state
                        .items
                        .iter()
                        .filter(|(key, _)| key.starts_with(&prefix))
                        .filter_map(|(key, (revision, value))| {
                            Some(item(key, *revision, value.as_ref()?) + "}")
                        })
                        .collect();
                    let entries = entries.join(",");
                    return Some((
                        200,
                        format!("{{\"Entries\":[{entries}],\"HasMore\":false,\"At\":{at}}}"),
                    ));
                }
                "/oleanderpass/kv-watch" => {
                    let after = number("After");
                    let events: Vec<String> = state
                        .items
                        .iter()
                        .filter(|(_, (revision, _))| *revision > after)
                        .map(|(key, (revision, value))| match value {
                            Some(value) => item(key, *revision, value) + "}",
                            None => format!(
                                "{{\"Key\":\"{key}\",\"Revision\":{revision},\"Deleted\":true}}"
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events = events.join(",");
                        return Some((200, format!("{{\"events\":[{events}],\"At\":{at}}}")));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                _ => return Some((404, "{}".to_owned())),
            }
        }
    }
}

/// An item of the store, without the closing brace.
fn item(key: &str, revision: u64, value: &str) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{revision},\"Created\":{revision},\
         \"LeaseId\":0",
        base64(value.as_bytes())
    )
}

/// The bounds and limits of a small deployment. Source: the site `mispill`.
pub const MEMORY_MB: u64 = 260;
pub const ZONES: [&str; 3] = ["keflavik", "grindavik", "hafnir"];

/// An edge machine and its one process.
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// How often the platform ended the process because it exceeded its memory.
    pub memory_ends: AtomicU64,
    /// How often the process ended by itself in another way.
    pub exits: AtomicU64,
    /// The largest memory seen, in MB.
    pub peak_mb: AtomicU64,
    /// Whether the case itself ended the process, so that its exit is no finding.
    ended_by_case: AtomicBool,
    /// Whether the machine has lost its power and stays dark for [`DARK`].
    is_dark: AtomicBool,
    /// Whether the platform forwards new channels to the machine.
    in_rotation: AtomicBool,
}

/// The platform: starts the processes, ends those that exceed their memory, and starts them again.
pub struct Platform {
    pub machines: Vec<Arc<Machine>>,
    folder: PathBuf,
    over: Arc<AtomicBool>,
    watchers: Mutex<Vec<thread::JoinHandle<()>>>,
}

/// How long a machine that lost its power stays dark. Source: the default of `for_s`.
pub const DARK: Duration = Duration::from_secs(5);

/// The delay between the end of a process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(500);

fn free_port(ips: &[IpAddr]) -> u16 {
    for _ in 0..200 {
        let probe = TcpListener::bind((ips[0], 0)).expect("find a free port");
        let port = probe.local_addr().unwrap().port();
        drop(probe);
        let free = |ip: &IpAddr| {
            TcpListener::bind((*ip, port)).is_ok() && std::net::UdpSocket::bind((*ip, port)).is_ok()
        };
        if ips.iter().all(free) {
            return port;
        }
    }
    panic!("no free port");
}

impl Platform {
    /// Start one machine in each of the first `count` zones.
    pub fn start(record: &Arc<Record>, store: &Store, count: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("create a temporary folder");
        // All instances use the same port for peers, so each has a loopback address of its own.
        let net = (std::process::id() % 200) as u8 + 20;
        let ips: Vec<IpAddr> = (0..count)
            .map(|i| IpAddr::V4(Ipv4Addr::new(127, 77, net, 10 + i as u8)))
            .collect();
        let ports: Vec<u16> = (0..4).map(|_| free_port(&ips)).collect();
        let seeds: Vec<String> = ips.iter().map(|ip| format!("{ip}:{}", ports[3])).collect();
        let machines: Vec<Arc<Machine>> = ips
            .iter()
            .enumerate()
            .map(|(i, ip)| {
                let name = format!("edge-{}-1", ZONES[i]);
                let settings = folder.join(format!("{name}.yaml"));
                // deploy/gateway.yaml, filled in.
                let text = format!(
                    "instance: \"{name}\"\nzone: \"{}\"\nip: \"{ip}\"\n\
                     caller_addr: \"{ip}:{}\"\nreadiness_addr: \"{ip}:{}\"\n\
                     metrics_port: {}\npeer_port: {}\nseeds: \"{}\"\nstore_addr: \"{}\"\n\
                     stop_time_s: 8\nretry_ratio: 0.2\nretry_slack: 102\n\
                     reservation_max_ms: 20000\n",
                    ZONES[i],
                    ports[0],
                    ports[1],
                    ports[2],
                    ports[3],
                    seeds.join(","),
                    store.addr
                );
                std::fs::write(&settings, text).expect("write the settings");
                Arc::new(Machine {
                    log: folder.join(format!("{name}.log")),
                    name,
                    zone: ZONES[i],
                    callers: SocketAddr::new(*ip, ports[0]),
                    ready: SocketAddr::new(*ip, ports[1]),
                    settings,
                    child: Mutex::new(None),
                    memory_ends: AtomicU64::new(0),
                    exits: AtomicU64::new(0),
                    peak_mb: AtomicU64::new(0),
                    ended_by_case: AtomicBool::new(false),
                    is_dark: AtomicBool::new(false),
                    in_rotation: AtomicBool::new(true),
                })
            })
            .collect();
        let over = Arc::new(AtomicBool::new(false));
        let mut watchers = Vec::new();
        for machine in &machines {
            machine.spawn(record);
            let (machine, record, over) = (machine.clone(), record.clone(), over.clone());
            watchers.push(thread::spawn(move || machine.watch(&record, &over)));
        }
        Self {
            machines,
            folder,
            over,
            watchers: Mutex::new(watchers),
        }
    }

    /// Ask each machine once a second whether it is ready. Two misses take it out of rotation.
    pub fn balance(&self) {
        for machine in &self.machines {
            let (machine, over) = (machine.clone(), self.over.clone());
            thread::spawn(move || {
                let mut misses = 0;
                while !over.load(Ordering::SeqCst) {
                    misses = if machine.is_ready() { 0 } else { misses + 1 };
                    machine.in_rotation.store(misses < 2, Ordering::SeqCst);
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
    }

    /// Return the machine that gets a new channel of a caller in the zone of the machine with this
    /// index. Without one in rotation there, the platform uses the nearest zones.
    pub fn choose(&self, zone: usize, draw: u64) -> Arc<Machine> {
        let in_rotation = |m: &&Arc<Machine>| m.in_rotation.load(Ordering::SeqCst);
        let own = &self.machines[zone];
        let others: Vec<&Arc<Machine>> = self.machines.iter().filter(in_rotation).collect();
        if in_rotation(&own) || others.is_empty() {
            return own.clone();
        }
        others[draw as usize % others.len()].clone()
    }

    /// Wait until all machines are ready. Exits with 2 if they aren't in time.
    pub fn wait_until_ready(&self, record: &Record) {
        let end = Instant::now() + Duration::from_secs(10);
        while !self.machines.iter().all(|m| m.is_ready()) {
            if Instant::now() > end {
                record.tell("the machines do not become ready");
                self.stop();
                std::process::exit(2);
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// End all processes and remove the temporary folder.
    pub fn stop(&self) {
        self.over.store(true, Ordering::SeqCst);
        for machine in &self.machines {
            machine.kill();
        }
        for watcher in self.watchers.lock().unwrap().drain(..) {
            watcher.join().ok();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            std::fs::remove_dir_all(&self.folder).ok();
        } else {
            println!("logs are in {}", self.folder.display());
        }
    }
}

impl Machine {
    fn spawn(&self, record: &Record) {
        let log = File::options()
            .append(true)
            .create(true)
            .open(&self.log)
            .expect("open a log");
        let child = Command::new("target/release/oleanderpass")
            .arg("gateway")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("OLEANDERPASS_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("share a log"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                record.line(&format!("platform: starts {}", self.name));
                *self.child.lock().unwrap() = Some(child);
            }
            Err(error) => {
                record.tell(&format!(
                    "target/release/oleanderpass does not start: {error}"
                ));
                std::process::exit(2);
            }
        }
    }

    /// Let the machine lose its power for [`DARK`].
    pub fn lose_power(&self, record: &Record) {
        record.tell(&format!("{} loses its power for {DARK:?}", self.name));
        self.ended_by_case.store(true, Ordering::SeqCst);
        self.is_dark.store(true, Ordering::SeqCst);
        self.kill();
    }

    /// Replace a line of the settings file, and tell the process with SIGHUP.
    pub fn change_settings(&self, record: &Record, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.settings).expect("read the settings");
        std::fs::write(&self.settings, text.replace(from, to)).expect("write the settings");
        record.tell(&format!(
            "platform: the settings of {} change to {to}; SIGHUP",
            self.name
        ));
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            let pid = child.id().to_string();
            Command::new("kill").args(["-HUP", &pid]).status().ok();
        }
    }

    /// Ask the process to stop, and kill it after `GraceS` (8 s). It is started again afterwards.
    pub fn stop_gracefully(self: &Arc<Self>, record: &Arc<Record>) {
        let Some(pid) = self.child.lock().unwrap().as_ref().map(Child::id) else {
            return;
        };
        record.tell(&format!("platform: SIGTERM to {}", self.name));
        self.ended_by_case.store(true, Ordering::SeqCst);
        Command::new("kill")
            .args(["-TERM", &pid.to_string()])
            .status()
            .ok();
        let (machine, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(8));
            let mut child = machine.child.lock().unwrap();
            if let Some(child) = child.as_mut().filter(|child| child.id() == pid) {
                if child.try_wait().is_ok_and(|status| status.is_none()) {
                    record.line(&format!(
                        "platform: SIGKILL to {} after GraceS",
                        machine.name
                    ));
                    child.kill().ok();
                }
            }
        });
    }

    fn kill(&self) {
        if let Some(child) = self.child.lock().unwrap().as_mut() {
            child.kill().ok();
        }
    }

    fn memory_mb(&self) -> Option<u64> {
        let pid = self.child.lock().unwrap().as_ref()?.id();
        let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1024)
    }

    /// Act as the platform: end the process if it exceeds its memory, and start it again whenever
    /// it has ended.
    fn watch(&self, record: &Record, over: &AtomicBool) {
        let mut over_memory = false;
        while !over.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
            let ended = match self.child.lock().unwrap().as_mut() {
                Some(child) => child.try_wait().ok().flatten(),
                None => None,
            };
            if let Some(status) = ended {
                if over.load(Ordering::SeqCst) {
                    break;
                }
                let by_case = self.ended_by_case.swap(false, Ordering::SeqCst);
                if !by_case && !over_memory {
                    self.exits.fetch_add(1, Ordering::SeqCst);
                }
                over_memory = false;
                record.line(&format!("platform: {} has ended: {status}", self.name));
                let dark = self.is_dark.swap(false, Ordering::SeqCst);
                thread::sleep(if dark { DARK } else { RESTART_DELAY });
                if !over.load(Ordering::SeqCst) {
                    self.spawn(record);
                }
                continue;
            }
            let Some(mb) = self.memory_mb() else { continue };
            self.peak_mb.fetch_max(mb, Ordering::SeqCst);
            if mb > MEMORY_MB && !over_memory {
                over_memory = true;
                self.memory_ends.fetch_add(1, Ordering::SeqCst);
                record.tell(&format!(
                    "platform: {} has {mb} MB, MemoryMb is {MEMORY_MB}: killed",
                    self.name
                ));
                self.kill();
            }
        }
        if let Some(child) = self.child.lock().unwrap().as_mut() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<bool> {
            let stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            let mut conn = Conn::new(stream);
            conn.send(b"GET /oleanderpass/readyz HTTP/1.1\r\nHost: x\r\n\r\n")?;
            Ok(conn.head()?.is_some_and(|head| head.status() == 200))
        };
        ask().unwrap_or(false)
    }
}

/// A backend server: its entry in the store and the requests that it ran.
pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    pub addr: SocketAddr,
    born: u64,
}

impl Server {
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"Slots\":{},\"State\":\"{state}\",\"ColdLeftMs\":0,\"Sequence\":4,\"born\":{}}}",
            self.service, self.addr, self.zone, self.slots, self.born
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }
}

/// A running backend server.
#[derive(Clone)]
pub struct Running {
    pub server: Arc<Server>,
    gone: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Running {
    /// End the server: accept no further connections and close the open ones.
    pub fn crash(&self) {
        self.gone.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections, so that it closes its socket.
        TcpStream::connect(self.server.addr).ok();
        for stream in self.open.lock().unwrap().drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
    }
}

/// Start a backend server. `handle` answers one request whose body was read, and returns whether
/// the connection stays open. A request for another server is answered with 421 and not run.
pub fn start_server(
    id: &str,
    service: &'static str,
    zone: &'static str,
    slots: u32,
    handle: impl Fn(&Server, &mut Conn, &Head) -> std::io::Result<bool> + Send + Sync + 'static,
) -> Running {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a server");
    let server = Arc::new(Server {
        id: id.to_owned(),
        service,
        zone,
        slots,
        addr: listener.local_addr().unwrap(),
        born: unix_ms(),
    });
    let running = Running {
        server,
        gone: Arc::default(),
        open: Arc::default(),
    };
    let handle = Arc::new(handle);
    let accepting = running.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if accepting.gone.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                accepting.open.lock().unwrap().push(copy);
            }
            let (serving, handle) = (accepting.clone(), handle.clone());
            thread::spawn(move || {
                let address = stream.peer_addr().ok();
                let mut conn = Conn::new(stream);
                while let Ok(Some(head)) = conn.head() {
                    if serving.gone.load(Ordering::SeqCst) || conn.body(&head, |_| {}).is_err() {
                        break;
                    }
                    let expected = head.get("expect-instance");
                    if !expected.is_empty() && expected != serving.server.id {
                        if conn.answer(421, "Not-Executed: 1\r\n", b"").is_err() {
                            break;
                        }
                        continue;
                    }
                    if !handle(&serving.server, &mut conn, &head).unwrap_or(false) {
                        break;
                    }
                }
                let mut open = serving.open.lock().unwrap();
                open.retain(|copy| copy.peer_addr().ok() != address);
            });
        }
    });
    running
}

/// The headers that a sound server adds to its answer to a request.
pub fn seal(head: &Head) -> String {
    let id = head.get("attempt-id");
    format!("Attempt-Id: {id}\r\nResponse-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n")
}

/// Send a stream of events with a pause after each.
pub fn stream_events(
    conn: &mut Conn,
    head: &Head,
    events: u64,
    pause: Duration,
) -> std::io::Result<bool> {
    conn.send(
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n{}\r\n",
            seal(head)
        )
        .as_bytes(),
    )?;
    let first = head
        .get("last-event-id")
        .parse::<u64>()
        .map_or(0, |last| last + 1);
    for number in first..events {
        thread::sleep(pause);
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        conn.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    conn.send(b"0\r\n\r\n")?;
    Ok(true)
}

/// What a caller saw of the answer to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A whole answer with this status.
    Whole(u16),
    /// The connection ended or broke within the answer.
    Part(u16),
    /// The connection ended or broke without a byte of an answer.
    Closed,
    /// No whole answer before the caller's time limit.
    TimedOut,
}

impl std::fmt::Display for Seen {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Whole(status) => write!(f, "{status}, whole"),
            Self::Part(status) => write!(f, "{status}, cut off"),
            Self::Closed => f.write_str("channel closed without an answer"),
            Self::TimedOut => f.write_str("no answer in time"),
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}

/// Send a request on a connection and read its answer until the time limit.
pub fn exchange(conn: &mut Conn, request: &[u8], limit: Duration) -> Seen {
    exchange_with_head(conn, request, limit).0
}

/// The same, with the head of the answer if it is whole.
pub fn exchange_with_head(
    conn: &mut Conn,
    request: &[u8],
    limit: Duration,
) -> (Seen, Option<Head>) {
    let end = Instant::now() + limit;
    conn.stream.set_read_timeout(Some(limit)).ok();
    conn.stream.set_write_timeout(Some(limit)).ok();
    if let Err(error) = conn.send(request) {
        return (
            if is_timeout(&error) {
                Seen::TimedOut
            } else {
                Seen::Closed
            },
            None,
        );
    }
    let head = match conn.head() {
        Ok(Some(head)) => head,
        Err(error) if is_timeout(&error) => return (Seen::TimedOut, None),
        Ok(None) | Err(_) => return (Seen::Closed, None),
    };
    let status = head.status();
    let left = end
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    conn.stream.set_read_timeout(Some(left)).ok();
    match conn.body(&head, |_| {}) {
        Ok(()) => (Seen::Whole(status), Some(head)),
        Err(error) if is_timeout(&error) => (Seen::TimedOut, None),
        Err(_) => (Seen::Part(status), None),
    }
}

/// Return whether the disruption is left out (`TROUBLE=0`).
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}
