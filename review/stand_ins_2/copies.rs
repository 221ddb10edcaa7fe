//! Case: an instance that takes its peers' copy of the store can't take one that holds another
//! writer's entries, and never learns of changes again.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::entries;
use crate::gateway;
use crate::gateway::Deployment;
use crate::gateway::Gateway;
use crate::gateway::wait_for;
use crate::http;
use crate::plain::Service;
use crate::record::Record;
use crate::store::Store;

const ZONE: &str = "keflavik";
const HOST: &str = "ficu95.example";
const KEPT_KEY: &str = "n2ctnfzs989anu6wsjnb";
const REVOKED_KEY: &str = "anfqasnmgkcuyj8pjbvk";
/// The smallest machines of the site.
const MEMORY_MB: u32 = 160;
/// The number of entries that the other writer writes.
const ENTRIES: usize = 25;
/// `ConfigApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_secs(3);
/// Beyond it, so that the bound isn't missed by a little only.
const MARGIN: Duration = Duration::from_secs(5);
const REQUESTS: usize = 20;

pub fn run(temp: &Path, trouble: bool, record: &Arc<Record>) -> Outcome {
    let service = Service::new(Duration::from_millis(20), None, record.clone());
    let (store, store_addr) = Store::start();
    for number in 1..=3 {
        let id = format!("i-{number}");
        let addr = service.start(&id);
        store.put(&format!("servers/{id}"), &format!(
            "{{\"Service\":\"bokhald\",\"Address\":\"{addr}\",\"Zone\":\"{ZONE}\",\"Version\":\"v1\",\
             \"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,\"Sequence\":4,\"born\":1790000000000}}"
        ));
    }
    store.put("op/config", &config(7, &[KEPT_KEY, REVOKED_KEY]));
    let net = gateway::free_net(3);
    let zones = [ZONE];
    let deployment = Deployment {
        dir: temp,
        net,
        store: store_addr,
        zones: &zones,
        instances: 3,
        memory_mb: MEMORY_MB,
    };
    let mut instances: Vec<Gateway> = (1..=3).map(|host| deployment.start(host, ZONE)).collect();
    let knows_all = |g: &Gateway| g.is_ready() && g.status("peers") == "2";
    if !wait_for(Duration::from_secs(10), || instances.iter().all(knows_all)) {
        record.note("the instances are not ready");
        return Outcome::CannotRun;
    }
    // By then two of them read the store for the third.
    thread::sleep(Duration::from_secs(3));
    if trouble {
        let value = entries::unreadable();
        for number in 0..ENTRIES {
            store.put(&format!("servers/batch-{number:04}"), &value);
        }
        record.note(format!("another writer has written {ENTRIES} entries"));
        thread::sleep(Duration::from_secs(2));
    }
    store.put("op/config", &config(9, &[KEPT_KEY]));
    record.note("the store acknowledges version 9, without the key of the second tenant");
    thread::sleep(CONFIG_APPLY + MARGIN);
    let mut stale = 0;
    for number in 0..REQUESTS {
        for instance in &instances {
            let id = format!("late-{number}-{}", instance.name);
            let answer = send(instance.caller_addr(), &id, REVOKED_KEY);
            record.note(format!(
                "client's answer to {id}, with the revoked key: {answer}"
            ));
            stale += service.runs(&id);
        }
    }
    for instance in &mut instances {
        let version = instance.status("config_version");
        let text = format!(
            "{}: version {version}, {} MB",
            instance.name,
            instance.resident_mb()
        );
        record.note(text);
        if instance.has_ended() {
            record.note(format!("{} has ended by itself", instance.name));
        }
    }
    record.note(format!("{stale} requests ran with the revoked key"));
    if stale > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

fn send(addr: SocketAddr, id: &str, key: &str) -> String {
    let exchange = || {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        stream.write_all(format!(
            "GET /lookup/{id} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\n\
             Authorization: Bearer {key}\r\n\r\n"
        ).as_bytes())?;
        http::read(&mut BufReader::new(stream))
    };
    exchange().map_or_else(
        |error: std::io::Error| error.to_string(),
        |answer| answer.start,
    )
}

/// Return a version of the configuration in which each key is that of a tenant.
fn config(version: u32, keys: &[&str]) -> String {
    let tenant = |(number, key): (usize, &&str)| {
        format!("{{\"Name\":\"tenant{number}\",\"ApiKeys\":[\"{key}\"],\"Priority\":1}}")
    };
    let tenants: Vec<String> = keys.iter().enumerate().map(tenant).collect();
    format!(
        "{{\"Version\":{version},\"RouteTable\":[{{\"Name\":\"r-lookup\",\"Host\":\"{HOST}\",\
         \"Prefix\":\"/lookup/\",\"Kind\":\"idempotent\",\"TimeoutMs\":1500,\"SloMs\":300,\
         \"Priority\":2,\"Service\":\"bokhald\",\"MaxAttempts\":2,\"Anonymous\":false}}],\
         \"Services\":[{{\"Name\":\"bokhald\",\"HealthPath\":\"/healthz\",\"MaxConnections\":550,\
         \"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{}]}}",
        tenants.join(",")
    )
}
