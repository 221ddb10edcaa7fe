//! Case: another writer's entries, which no instance can read, fill the memory of the machines.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::gateway;
use crate::gateway::Deployment;
use crate::gateway::Gateway;
use crate::gateway::wait_for;
use crate::http;
use crate::plain::Service;
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 3] = ["keflavik", "grindavik", "hafnir"];
const HOST: &str = "ficu95.example";
/// The smallest machines of the site.
const MEMORY_MB: u32 = 160;
/// `ValueBytes`, the largest value in the store.
const VALUE_BYTES: usize = 1_048_576;
/// The number of entries that the other writer writes.
const ENTRIES: usize = 165;
/// The pause between two of them.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// The delay after which the platform starts a process again that it has killed.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The time for which the machines are watched after the last entry.
const WATCHED: Duration = Duration::from_secs(30);
/// A process that ends by itself so often is a fault. Source: the rules.
const MAX_ENDS: usize = 3;

pub fn run(temp: &Path, trouble: bool, record: &Arc<Record>) -> Outcome {
    let service = Service::new(Duration::from_millis(20), None, record.clone());
    let (store, store_addr) = Store::start();
    for (number, zone) in (1..).zip(ZONES) {
        let id = format!("i-{number}");
        let addr = service.start(&id);
        store.put(&format!("servers/{id}"), &format!(
            "{{\"Service\":\"bokhald\",\"Address\":\"{addr}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":4,\"born\":1790000000000}}"
        ));
    }
    store.put("op/config", &config());
    let net = gateway::free_net(3);
    let deployment = Deployment {
        dir: temp,
        net,
        store: store_addr,
        zones: &ZONES,
        instances: 3,
        memory_mb: MEMORY_MB,
    };
    let mut instances: Vec<Gateway> = (1..)
        .zip(ZONES)
        .map(|(host, zone)| deployment.start(host, zone))
        .collect();
    if !wait_for(Duration::from_secs(10), || {
        instances.iter().all(Gateway::is_ready)
    }) {
        record.note("the instances are not ready");
        return Outcome::CannotRun;
    }
    let value = unreadable();
    let began = Instant::now();
    let write_time = WRITE_INTERVAL * ENTRIES as u32;
    let mut written = 0;
    let mut ends = vec![0; instances.len()];
    let mut answers: Vec<(bool, bool)> = Vec::new();
    let mut last_note = Instant::now();
    while began.elapsed() < write_time + WATCHED {
        let due = (began.elapsed().as_millis() / WRITE_INTERVAL.as_millis()) as usize;
        while trouble && written < ENTRIES.min(due) {
            store.put(&format!("servers/batch-{written:04}"), &value);
            written += 1;
        }
        for (index, instance) in instances.iter_mut().enumerate() {
            let resident = instance.resident_mb();
            let has_ended = instance.has_ended();
            if resident > MEMORY_MB || has_ended {
                // The platform kills a process whose memory exceeds that of its machine.
                record.note(format!("{} has {resident} MB and is killed", instance.name));
                instance.kill();
                ends[index] += 1;
                thread::sleep(RESTART_DELAY);
                *instance = deployment.start(index as u8 + 1, ZONES[index]);
            }
        }
        let number = answers.len();
        let instance = &instances[number % instances.len()];
        let answered = lookup(instance.caller_addr(), number);
        answers.push((began.elapsed() >= write_time, answered));
        if last_note.elapsed() >= Duration::from_secs(1) {
            last_note = Instant::now();
            let resident: Vec<u32> = instances.iter().map(Gateway::resident_mb).collect();
            record.note(format!("{written} foreign entries; memory {resident:?} MB"));
        }
        if ends.iter().all(|count| *count >= MAX_ENDS) {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let served = |late: bool| {
        let of: Vec<bool> = answers
            .iter()
            .filter(|(l, _)| *l == late)
            .map(|(_, ok)| *ok)
            .collect();
        format!("{} of {}", of.iter().filter(|ok| **ok).count(), of.len())
    };
    record.note(format!(
        "lookups answered with success: {} while entries were written",
        served(false)
    ));
    record.note(format!(
        "lookups answered with success: {} after that",
        served(true)
    ));
    record.note(format!("the processes ended {ends:?} times"));
    let at_fault = ends.iter().filter(|count| **count >= MAX_ENDS).count();
    if at_fault >= 2 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Send a lookup. Return whether it is answered with success.
fn lookup(addr: SocketAddr, number: usize) -> bool {
    let exchange =
        || {
            let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(1_500)))?;
            stream.write_all(format!(
            "GET /lookup/{number} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: lookup-{number}\r\n\
             Deadline-Ms: 1500\r\n\r\n"
        ).as_bytes())?;
            http::read(&mut BufReader::new(stream))
        };
    exchange().is_ok_and(|answer: http::Message| answer.status() == 200)
}

/// Return a value that is no JSON.
pub fn unreadable() -> String {
    let mut state: u32 = 1;
    let mut text = String::with_capacity(VALUE_BYTES);
    while text.len() + 4 <= VALUE_BYTES {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        text += &format!("{:04x}", state >> 16);
    }
    text
}

fn config() -> String {
    format!(
        "{{\"Version\":7,\"RouteTable\":[{{\"Name\":\"r-lookup\",\"Host\":\"{HOST}\",\
         \"Prefix\":\"/lookup/\",\"Kind\":\"idempotent\",\"TimeoutMs\":1500,\"SloMs\":300,\
         \"Priority\":2,\"Service\":\"bokhald\",\"MaxAttempts\":2,\"Anonymous\":false}}],\
         \"Services\":[{{\"Name\":\"bokhald\",\"HealthPath\":\"/healthz\",\"MaxConnections\":550,\
         \"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
    )
}
