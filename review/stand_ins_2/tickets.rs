//! Case: an instance that is back after a loss of power uses the tickets of its earlier lifetime.
//!
//! Four zones with an engine each. The engine with the lowest key serves short streams; the others
//! are K, M and N. Other callers' streams on them make the choice of servers predictable:
//!
//! - At first M has the most free memory and K the next, so a long prompt is run by M, with a ticket
//!   at K.
//! - When some of these streams have ended, N has the most free memory and K the next, so the next
//!   long prompt is run by N, with a ticket at K.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::engine::Engines;
use crate::gateway;
use crate::gateway::Deployment;
use crate::gateway::Gateway;
use crate::gateway::wait_for;
use crate::http;
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 4] = ["keflavik", "grindavik", "hafnir", "vogar"];
/// Source: the site file `grown/mispill-grown.toml`.
const CAPACITY: u64 = 197_200;
/// The prompt of an archive review. Source: the same.
const LONG_PROMPT: u32 = 190_000;
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const HOST: &str = "ficu95.example";
/// How long the machine has no power.
const DARK: Duration = Duration::from_millis(300);

/// A caller's stream, which ends when this is dropped.
struct Caller(TcpStream);

impl Drop for Caller {
    fn drop(&mut self) {
        let _ = self.0.shutdown(std::net::Shutdown::Both);
    }
}

struct Case {
    record: Arc<Record>,
    engines: Arc<Engines>,
}

impl Case {
    /// Send a request and leave its answer to a thread that records the end.
    fn send(&self, to: &Gateway, id: &str, path: &str, prompt: u32, events: u32) -> Option<Caller> {
        self.record.note(format!(
            "client sends {id} ({prompt} prompt tokens, {path}) to {}",
            to.name
        ));
        let addr: SocketAddr = to.caller_addr();
        let mut stream = TcpStream::connect(addr).ok()?;
        let head = format!(
            "POST {path}gen?events={events} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n\
             Model: m\r\nToken-Count: {prompt},200\r\nPrefix-Hash: {:x}:{prompt}\r\n\
             Deadline-Ms: 15000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 2\r\n\r\nhi",
            std::process::id() as u64 + u64::from(prompt)
        );
        stream.write_all(head.as_bytes()).ok()?;
        let reader = stream.try_clone().ok()?;
        let record = self.record.clone();
        let id = id.to_owned();
        thread::spawn(move || {
            let mut reader = BufReader::new(reader);
            let result = http::read_head(&mut reader);
            let status = result.map_or_else(|error| error.to_string(), |head| head.start);
            record.note(format!("client's answer to {id}: {status}"));
            loop {
                match http::read_chunk(&mut reader) {
                    Ok(chunk) if chunk.is_empty() => {
                        return record.note(format!("{id} is complete"));
                    }
                    Ok(_) => {}
                    Err(error) => return record.note(format!("{id} ends early: {error}")),
                }
            }
        });
        Some(Caller(stream))
    }

    /// Send a request and wait until an engine runs it. Return the zone of the engine too.
    fn place(
        &self,
        to: &Gateway,
        id: &str,
        path: &str,
        prompt: u32,
        events: u32,
    ) -> Option<(Caller, String)> {
        let caller = self.send(to, id, path, prompt, events)?;
        wait_for(Duration::from_secs(3), || self.engines.run(id).is_some());
        let zone = self.engines.zone(self.engines.run(id)?.engine);
        Some((caller, zone))
    }
}

pub fn run(temp: &Path, trouble: bool, record: &Arc<Record>) -> Outcome {
    run_case(temp, trouble, record).unwrap_or(Outcome::CannotRun)
}

fn run_case(temp: &Path, trouble: bool, record: &Arc<Record>) -> Option<Outcome> {
    let engines = Engines::new(CAPACITY, record.clone());
    let (store, store_addr) = Store::start();
    let born = std::process::id();
    for zone in ZONES {
        let id = format!("i-{zone}-{born}");
        let addr = engines.start(&id, zone);
        store.put(&format!("servers/{id}"), &format!(
            "{{\"Service\":\"skald\",\"Address\":\"{addr}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":12,\"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"unified\",\
             \"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\"Sequence\":4,\
             \"born\":{}}}", 1_790_000_000_000_u64 + u64::from(born)
        ));
    }
    store.put("op/config", &config());
    let net = gateway::free_net(5);
    let deployment = Deployment {
        dir: temp,
        net,
        store: store_addr,
        zones: &ZONES,
        instances: 5,
        memory_mb: 260,
    };
    let mut others: Vec<Gateway> = Vec::new();
    for (host, zone) in (1..).zip(ZONES) {
        others.push(deployment.start(host, zone));
    }
    let limit = Duration::from_secs(10);
    let all_ready = || {
        others
            .iter()
            .all(|g| g.is_ready() && g.status("peers") == "3")
    };
    if !wait_for(limit, all_ready) {
        record.note("the instances are not ready");
        return None;
    }
    let case = Case {
        record: record.clone(),
        engines: engines.clone(),
    };

    // The engine of the short streams; K is in the zone of the instance under test.
    let (probe, short) = case.place(&others[0], "probe", "/short/", 2_000, 2)?;
    drop(probe);
    let long: Vec<&Gateway> = others.iter().filter(|g| g.zone != short).collect();
    let (k, m, n) = (long[0], long[1], long[2]);
    record.note(format!(
        "short streams: {short}; K: {}, M: {}, N: {}",
        k.zone, m.zone, n.zone
    ));
    let mut callers = Vec::new();
    for (to, id, prompt) in [
        (n, "n1", 10_000),
        (n, "n2", 10_000),
        (n, "n3", 10_000),
        (k, "k1", 8_000),
        (k, "k2", 3_000),
        (m, "m1", 6_000),
    ] {
        let (caller, zone) = case.place(to, id, "/review/", prompt, 280)?;
        if zone != to.zone {
            record.note(format!("{id} runs in {zone}, not in {}", to.zone));
            return None;
        }
        callers.push((id, caller));
        // Its prompt is read by then, so that its engine has nothing pending for the next one.
        thread::sleep(Duration::from_millis(450));
    }

    let mut instance = deployment.start(5, &k.zone);
    let knows_all = |g: &Gateway| g.is_ready() && g.status("peers") == "4";
    if !wait_for(limit, || knows_all(&instance)) {
        record.note("the instance under test is not ready");
        return None;
    }
    // All instances know the load of the others by now.
    thread::sleep(Duration::from_millis(600));
    let first = case.place(&instance, "first", "/review/", LONG_PROMPT, 120)?;
    let run = engines.run("first")?;
    let ticket = run.helpers.iter().find_map(|(_, ticket)| ticket.clone())?;
    record.note(format!("first runs in {}, ticket {ticket}", first.1));
    // Other callers' streams end.
    callers.retain(|(id, _)| !matches!(*id, "n1" | "n2" | "n3" | "k1"));
    // The power fails just after the ticket was renewed.
    let orders = engines.orders(&ticket);
    wait_for(Duration::from_secs(2), || engines.orders(&ticket) > orders);
    if trouble {
        record.note(format!("{} loses power", instance.name));
        engines.lose_power(true);
        instance.kill();
        thread::sleep(DARK);
        instance = deployment.start(5, &k.zone);
        record.note(format!("{} starts again", instance.name));
        if !wait_for(Duration::from_secs(3), || knows_all(&instance)) {
            record.note("the instance under test is not ready again");
            return None;
        }
        record.note(format!("{} is ready again", instance.name));
    }
    // Each of the others has told its load to the new lifetime by then.
    thread::sleep(Duration::from_millis(500));
    let second = case.send(&instance, "second", "/review/", LONG_PROMPT, 5)?;
    wait_for(Duration::from_secs(4), || {
        engines.run("second").is_some_and(|run| run.ended)
    });
    let (one, two) = (engines.run("first")?, engines.run("second"));
    record.note(format!("first: {one:?}"));
    record.note(format!("second: {two:?}"));
    drop((first, second, callers));
    if others.iter_mut().any(Gateway::has_ended) || instance.has_ended() {
        record.note("an instance has ended by itself");
    }
    let conflicts = engines.conflicts();
    record.note(format!("{} conflicts", conflicts.len()));
    Some(if conflicts.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}

/// Return the configuration: a route for short streams and one for long ones.
fn config() -> String {
    let route = |name: &str, slo: u32, gap: u32, timeout: u32| {
        format!(
            "{{\"Name\":\"r-{name}\",\"Host\":\"{HOST}\",\"Prefix\":\"/{name}/\",\
             \"Kind\":\"streaming\",\"TimeoutMs\":{timeout},\"SloMs\":{slo},\"Priority\":1,\
             \"Service\":\"skald\",\"MaxAttempts\":2,\"Anonymous\":false,\"Sticky\":true,\
             \"Resumable\":true,\"GapTargetMs\":{gap}}}"
        )
    };
    let routes = [
        route("short", 300, 250, 10_000),
        route("review", 3_000, 1_000, 15_000),
    ];
    format!(
        "{{\"Version\":7,\"RouteTable\":[{}],\"Services\":[{{\"Name\":\"skald\",\
         \"HealthPath\":\"/healthz\",\"MaxConnections\":648,\"Protocol\":\"h1\",\"Tls\":false,\
         \"Engine\":{{\"Slots\":12,\"KvCapacity\":{CAPACITY},\"KvBytes\":327680,\
         \"LinkMbps\":400000.0,\"Stride\":48,\"Models\":[{{\"Name\":\"m\"}}],\"step_ms\":1.02,\
         \"per_seq_ms\":0.00226,\"context_per_k\":0.00431,\"read_per_s\":206000.0,\
         \"pairs_per_m\":0.138,\"chunk\":2048,\"report_lag_ms\":200.0,\"LoadsPerS\":0.0,\
         \"loads_at_once\":8,\"delays\":[],\"usual\":{{\"prompt\":12316,\"answer\":1303}},\
         \"HopMs\":0.075}}}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"hule930\",\
         \"ApiKeys\":[\"{KEY}\"],\"Priority\":1}}]}}",
        routes.join(",")
    )
}
