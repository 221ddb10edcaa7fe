//! Start a gateway process from the template of the deploy file, under a condition that a test
//! names.

use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use oleanderpass_platform_stand_in::caller::Answer;
use oleanderpass_platform_stand_in::caller::Call;
use oleanderpass_platform_stand_in::documents::KEY;
use oleanderpass_platform_stand_in::documents::configuration;
use oleanderpass_platform_stand_in::store::Mode;
use oleanderpass_platform_stand_in::store::Store;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tempfile::TempDir;

pub(crate) const CALLER_PORT: u16 = 8_227;
pub(crate) const READINESS_PORT: u16 = 8_220;
pub(crate) const METRICS_PORT: u16 = 9_464;
pub(crate) const PEER_PORT: u16 = 7_340;
const STORE_PORT: u16 = 8_223;

/// The time within which an instance is ready or names what it lacks.
pub(crate) const LIMIT: Duration = Duration::from_secs(10);

/// The time from the signal to stop until the platform kills the process (`Bounds.GraceS`).
pub(crate) const STOP_TIME: Duration = Duration::from_secs(8);

/// The fields of the template, as `review/` fills them in. `IP` stands for the address.
const FIELDS: [(&str, &str); 18] = [
    ("NodeName", "edge-1"),
    ("Zone", "hafnir"),
    ("Ip", "IP"),
    ("Listen.Frontend", "IP:8227"),
    ("Listen.Ready", "IP:8220"),
    ("InternalPorts.0", "7340"),
    ("SeedNodes", "IP:8229"),
    ("Platform.Address", "IP:8223"),
    ("Bounds.GraceS", "8"),
    ("Bounds.RetryBudgetRatio", "0.2"),
    ("Bounds.RetrySlack", "102"),
    ("Bounds.HoldMaxMs", "20000"),
    ("Limits.MemoryMb", "260"),
    ("Limits.MaxFds", "4100"),
    ("Bounds.EvacuateMs", ""),
    ("Bounds.ColdOverrun", ""),
    ("Bounds.ColdSlack", ""),
    ("Zones|json", "{\"hafnir\":\"south\"}"),
];

/// What differs from an ordinary start.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Change {
    /// The settings come from another template.
    Template(&'static str),
    /// A field of the template has this value.
    Fill(&'static str, &'static str),
    /// A text of the settings is another one.
    Replace(&'static str, &'static str),
    /// The file of the settings has only its first bytes.
    CutSettings(usize),
    /// There is no file of the settings.
    NoSettings,
    /// Another process listens on a TCP port of the instance.
    HoldTcp(u16),
    /// Another process has the UDP port of the instance.
    HoldUdp,
    /// Nothing listens at the address of the store.
    NoStore,
    /// How the store responds.
    Store(Mode),
    /// The configuration in the store, or none.
    Configuration(Option<&'static [u8]>),
    /// A shell runs this before the process takes its place.
    Shell(&'static str),
}

/// A process and what it depends on.
pub(crate) struct Start {
    pub(crate) ip: IpAddr,
    pub(crate) store: Option<Store>,
    child: Child,
    dir: TempDir,
    held: (Vec<TcpListener>, Vec<UdpSocket>),
}

impl Start {
    /// Start a process. `number` is the last byte of its IP address.
    pub(crate) async fn new(number: u8, changes: &[Change]) -> Self {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 74, 0, number));
        let dir = tempfile::tempdir().unwrap();
        let mut template = include_str!("../../../../deploy/gateway.yaml");
        let mut fields: Vec<(&str, String)> = Vec::new();
        let mut held = (Vec::new(), Vec::new());
        let mut config = Some(configuration(7, &[KEY]).to_string().into_bytes());
        let mut shell = String::new();
        let mut has_store = true;
        let mut mode = Mode::Up;
        for change in changes {
            match *change {
                Change::Template(text) => template = text,
                Change::Fill(field, value) => fields.push((field, value.to_owned())),
                Change::HoldTcp(port) => {
                    held.0.push(TcpListener::bind((ip, port)).unwrap());
                }
                Change::HoldUdp => held.1.push(UdpSocket::bind((ip, PEER_PORT)).unwrap()),
                Change::NoStore => has_store = false,
                Change::Store(chosen) => mode = chosen,
                Change::Configuration(value) => config = value.map(<[u8]>::to_vec),
                Change::Shell(command) => shell = format!("{command}; "),
                Change::Replace(..) | Change::CutSettings(_) | Change::NoSettings => {}
            }
        }
        // A field that is named first wins over its ordinary value.
        let ordinary = FIELDS.map(|(field, value)| (field, value.to_owned()));
        fields.extend(ordinary);
        let mut settings = template.to_owned();
        for (field, value) in fields {
            let value = value.replace("IP", &ip.to_string());
            settings = settings.replace(&format!("{{{{{field}}}}}"), &value);
        }
        let path = dir.path().join("settings.yaml");
        for change in changes {
            match *change {
                Change::Replace(from, to) => settings = settings.replace(from, to),
                Change::CutSettings(len) => settings.truncate(len),
                _ => {}
            }
        }
        if !changes.iter().any(|c| matches!(c, Change::NoSettings)) {
            fs::write(&path, settings).unwrap();
        }
        let mut start = Self {
            ip,
            store: None,
            child: Command::new("sh")
                .arg("-c")
                .arg(format!("{shell}exec \"$0\" gateway"))
                .arg(env!("CARGO_BIN_EXE_oleanderpass"))
                .env("OLEANDERPASS_SETTINGS", path)
                .stdin(Stdio::null())
                .stdout(File::create(dir.path().join("log")).unwrap())
                .stderr(File::create(dir.path().join("errors")).unwrap())
                .spawn()
                .unwrap(),
            dir,
            held,
        };
        if has_store {
            start.start_store(mode, config).await;
        }
        start
    }

    async fn start_store(&mut self, mode: Mode, config: Option<Vec<u8>>) {
        let store = Store::start(SocketAddr::new(self.ip, STORE_PORT));
        let store = store.await.unwrap();
        store.set_mode(mode);
        if let Some(value) = config {
            store.put_bytes("op/config", value);
        }
        self.store = Some(store);
    }

    /// Provide what the instance lacks.
    pub(crate) async fn mend(&mut self) {
        self.held = (Vec::new(), Vec::new());
        if self.store.is_none() {
            self.start_store(Mode::Up, None).await;
        }
        let store = self.store.as_ref().unwrap();
        store.set_mode(Mode::Up);
        store.put_configuration(&configuration(8, &[KEY]));
    }

    /// Return the answer to a GET request, or nothing if the port isn't open.
    pub(crate) async fn get(&self, port: u16, path: &str) -> Option<Answer> {
        let mut call = Call::new("", path);
        call.method = "GET";
        call.send(SocketAddr::new(self.ip, port)).await.ok()
    }

    /// Wait until the readiness check at a port has this result and the body of its answer, or the
    /// whole status, has all texts.
    pub(crate) async fn wait_for(&mut self, port: u16, ready: bool, texts: &[&str]) {
        let began = Instant::now();
        loop {
            let check = self.get(port, "/oleanderpass/readyz").await;
            let status = check.as_ref().map_or(0, |answer| answer.status);
            let body = check.map_or_else(String::new, |answer| answer.body);
            let holds = status == if ready { 200 } else { 503 };
            if holds && texts.iter().all(|text| body.contains(text)) {
                return;
            }
            let ended = self.child.try_wait().unwrap();
            assert!(
                ended.is_none() && began.elapsed() < LIMIT,
                "{ended:?}, readyz {status}: {body}\n{}",
                self.output()
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Wait until a page has this text.
    pub(crate) async fn wait_for_page(&self, port: u16, path: &str, text: &str) {
        let began = Instant::now();
        while !self
            .get(port, path)
            .await
            .is_some_and(|answer| answer.body.contains(text))
        {
            assert!(began.elapsed() < LIMIT, "no {text}\n{}", self.output());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Wait until the process has written these texts.
    pub(crate) async fn wait_for_output(&self, texts: &[&str]) {
        let began = Instant::now();
        while !texts.iter().all(|text| self.output().contains(text)) {
            assert!(began.elapsed() < LIMIT, "{}", self.output());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Remove what follows a text from the file of the settings.
    pub(crate) fn cut_settings(&self, text: &str) {
        let path = self.dir.path().join("settings.yaml");
        let settings = fs::read_to_string(&path).unwrap();
        let end = settings.find(text).unwrap();
        fs::write(path, &settings[..end]).unwrap();
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.child.id()).unwrap()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Wait until the process has ended by itself.
    pub(crate) async fn wait_for_end(&mut self, limit: Duration) -> ExitStatus {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(
                began.elapsed() < limit,
                "the process runs\n{}",
                self.output()
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub(crate) fn errors(&self) -> String {
        fs::read_to_string(self.dir.path().join("errors")).unwrap()
    }

    /// Return the log, and what the process wrote to standard error.
    pub(crate) fn output(&self) -> String {
        let log = fs::read_to_string(self.dir.path().join("log")).unwrap();
        log + &self.errors()
    }
}

impl Drop for Start {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
