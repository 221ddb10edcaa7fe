//! Case: a route is removed while one of its requests runs, and the answer of the run is lost.
//!
//! `/orders/charge/` is non-idempotent and lies below `/orders/`, which is idempotent. Of all answers,
//! one in 41 is lost.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::Trouble;
use crate::gateway;
use crate::gateway::Deployment;
use crate::gateway::wait_for;
use crate::http;
use crate::plain::Service;
use crate::record::Record;
use crate::store::Store;

const ZONE: &str = "keflavik";
const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// The time for which a charge runs.
const WORK: Duration = Duration::from_millis(400);
const CHARGE: &str = "charge-1";
/// The number of lookups before the charge.
const LOOKUPS: usize = 40;
/// The time from the arrival of the charge to the change of the configuration.
const CHANGE_AFTER: Duration = Duration::from_millis(100);

pub fn run(temp: &Path, trouble: Trouble, record: &Arc<Record>) -> Outcome {
    let service = Service::new(
        WORK,
        (trouble != Trouble::None).then_some(CHARGE),
        record.clone(),
    );
    let (store, store_addr) = Store::start();
    for number in 1..=3 {
        let id = format!("i-{number}");
        let addr = service.start(&id);
        store.put(&format!("servers/{id}"), &format!(
            "{{\"Service\":\"bokhald\",\"Address\":\"{addr}\",\"Zone\":\"{ZONE}\",\"Version\":\"v1\",\
             \"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":4,\"born\":1790000000000}}"
        ));
    }
    store.put("op/config", &config(7, true));
    let net = gateway::free_net(1);
    let zones = [ZONE];
    let deployment = Deployment {
        dir: temp,
        net,
        store: store_addr,
        zones: &zones,
        instances: 1,
        memory_mb: 260,
    };
    let mut instance = deployment.start(1, ZONE);
    if !wait_for(Duration::from_secs(10), || instance.is_ready()) {
        record.note("the instance is not ready");
        return Outcome::CannotRun;
    }
    let addr = instance.caller_addr();
    let lookups = (0..LOOKUPS).map(|number| {
        let path = format!("/orders/lookup/{number}");
        let record = record.clone();
        // Six at a time, as many as a server runs concurrently.
        thread::sleep(WORK / 6);
        thread::spawn(move || send(addr, &record, &format!("lookup-{number}"), "GET", &path))
    });
    let lookups: Vec<_> = lookups.collect();
    let answered = lookups.into_iter().filter_map(|lookup| lookup.join().ok());
    let answered = answered
        .filter(|answer| answer.starts_with("HTTP/1.1 200"))
        .count();
    record.note(format!(
        "{answered} of {LOOKUPS} lookups are answered with success"
    ));
    let sender = record.clone();
    let charge = thread::spawn(move || send(addr, &sender, CHARGE, "POST", "/orders/charge/1"));
    if !wait_for(Duration::from_secs(1), || service.runs(CHARGE) > 0) {
        record.note("no server runs the charge");
        return Outcome::CannotRun;
    }
    if trouble == Trouble::All {
        thread::sleep(CHANGE_AFTER);
        store.put("op/config", &config(9, false));
        record.note("the store acknowledges version 9, without the route /orders/charge/");
    }
    let _ = charge.join();
    thread::sleep(2 * WORK);
    let runs = service.runs(CHARGE);
    let version = instance.status("config_version");
    record.note(format!(
        "{CHARGE} ran {runs} times; configuration in force: {version}"
    ));
    if instance.has_ended() {
        record.note("the instance has ended by itself");
    }
    if runs > 1 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Send a request, record what happens, and return the first line of the answer.
fn send(addr: SocketAddr, record: &Record, id: &str, method: &str, path: &str) -> String {
    record.note(format!("client sends {id}: {method} {path}"));
    let exchange = || {
        let mut stream = TcpStream::connect(addr)?;
        let body = if method == "POST" {
            "Content-Length: 3\r\n\r\n100"
        } else {
            "\r\n"
        };
        stream.write_all(format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\n\
             Authorization: Bearer {KEY}\r\n{body}"
        ).as_bytes())?;
        http::read(&mut BufReader::new(stream))
    };
    let answer = exchange().map_or_else(|error: std::io::Error| error.to_string(), |a| a.start);
    record.note(format!("client's answer to {id}: {answer}"));
    answer
}

/// Return a version of the configuration, with or without the route for charges.
fn config(version: u32, has_charges: bool) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"Prefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
             \"TimeoutMs\":1500,\"SloMs\":300,\"Priority\":2,\"Service\":\"bokhald\",\
             \"MaxAttempts\":{attempts},\"Anonymous\":false}}"
        )
    };
    let mut routes = vec![route("r-orders", "/orders/", "idempotent", 2)];
    if has_charges {
        routes.push(route("r-charge", "/orders/charge/", "non_idempotent", 1));
    }
    format!(
        "{{\"Version\":{version},\"RouteTable\":[{}],\"Services\":[{{\"Name\":\"bokhald\",\
         \"HealthPath\":\"/healthz\",\"MaxConnections\":100,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[\"{KEY}\"],\
         \"Priority\":1}}]}}",
        routes.join(",")
    )
}
