//! Start the project's own process with the command and the template of the deploy file.

use std::fs;
use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

const CALLER_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const CONTROL_PORT: u16 = 8229;
/// Source: the deploy file.
const METRICS_PORT: u16 = 9464;
const PEER_PORT: u16 = 7340;

/// A deployment on loopback addresses of its own, which no other process uses.
pub struct Deployment<'a> {
    pub dir: &'a Path,
    pub net: [u8; 2],
    pub store: SocketAddr,
    pub zones: &'a [&'a str],
    /// The number of instances that may be started.
    pub instances: u8,
    /// The memory of each machine, in MB.
    pub memory_mb: u32,
}

/// A running instance. It is killed when this is dropped.
pub struct Gateway {
    pub name: String,
    pub zone: String,
    pub ip: IpAddr,
    child: Child,
}

/// Return a loopback network whose ports are free.
pub fn free_net(instances: u8) -> [u8; 2] {
    let seed = std::process::id() as u8;
    let nets = (0..200).map(|try_no: u8| [80 + try_no % 100, seed.wrapping_add(try_no)]);
    let ports = [CALLER_PORT, READY_PORT, METRICS_PORT, PEER_PORT];
    let is_free = |net: &[u8; 2]| {
        (1..=instances).all(|host| {
            ports
                .iter()
                .all(|port| TcpListener::bind((addr(*net, host), *port)).is_ok())
        })
    };
    nets.into_iter()
        .find(is_free)
        .expect("a loopback network with free ports")
}

fn addr(net: [u8; 2], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, net[0], net[1], host)
}

impl Deployment<'_> {
    /// Start instance `host`, from 1, in a zone.
    pub fn start(&self, host: u8, zone: &str) -> Gateway {
        let name = format!("edge-{zone}-{host}");
        let ip = IpAddr::V4(addr(self.net, host));
        let seeds: Vec<String> = (1..=self.instances.min(3))
            .map(|host| format!("{}:{CONTROL_PORT}", addr(self.net, host)))
            .collect();
        let zones: Vec<String> = self
            .zones
            .iter()
            .map(|z| format!("\"{z}\":\"region\""))
            .collect();
        let values = [
            ("NodeName", name.clone()),
            ("Zone", zone.to_owned()),
            ("Ip", ip.to_string()),
            ("Listen.Frontend", format!("{ip}:{CALLER_PORT}")),
            ("Listen.Ready", format!("{ip}:{READY_PORT}")),
            ("InternalPorts.0", PEER_PORT.to_string()),
            ("SeedNodes", seeds.join(",")),
            ("Platform.Address", self.store.to_string()),
            ("Bounds.GraceS", "8".to_owned()),
            ("Bounds.RetryBudgetRatio", "0.2".to_owned()),
            ("Bounds.RetrySlack", "102".to_owned()),
            ("Bounds.HoldMaxMs", "20000".to_owned()),
            ("Limits.MemoryMb", self.memory_mb.to_string()),
            ("Limits.MaxFds", "4100".to_owned()),
            ("Bounds.EvacuateMs", String::new()),
            ("Bounds.ColdOverrun", String::new()),
            ("Bounds.ColdSlack", String::new()),
            ("Zones|json", format!("{{{}}}", zones.join(","))),
        ];
        let mut settings = fs::read_to_string("deploy/gateway.yaml").expect("the template");
        for (field, value) in values {
            settings = settings.replace(&format!("{{{{{field}}}}}"), &value);
        }
        let path = self.dir.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("write the settings");
        let log = self.dir.join(format!("{name}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("open a log");
        let child = Command::new("target/release/oleanderpass")
            .arg("gateway")
            .env("OLEANDERPASS_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("share the log"))
            .stderr(log)
            .spawn()
            .expect("start the gateway");
        // The script ends the processes by these ids if it is stopped itself.
        let pid = child.id().to_string();
        fs::write(self.dir.join(format!("{name}.pid")), pid).expect("write the process id");
        Gateway {
            name,
            zone: zone.to_owned(),
            ip,
            child,
        }
    }
}

impl Gateway {
    pub fn caller_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    /// Return a line of the status of the instance, or an empty text.
    pub fn status(&self, name: &str) -> String {
        let answer = http::fetch(SocketAddr::new(self.ip, METRICS_PORT), "/status");
        let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
        let text = text.unwrap_or_default();
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(&format!("{name}: ")));
        line.unwrap_or("").to_owned()
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::fetch(SocketAddr::new(self.ip, READY_PORT), "/oleanderpass/readyz");
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Return the resident memory of the process, in MB, or 0 if it has ended.
    pub fn resident_mb(&self) -> u32 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.trim().strip_suffix("kB")?.trim().parse::<u32>().ok());
        kb.unwrap_or(0) / 1024
    }

    /// Send SIGKILL and wait for the end of the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Return whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)) | Err(_))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Wait until `done`, at most for `limit`. Return whether it is.
pub fn wait_for(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if done() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    done()
}
