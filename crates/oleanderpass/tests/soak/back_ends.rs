//! Check what instances do about a prompt part that crashes engines, and about limits that plain
//! servers name, while one of the instances is disturbed.

use std::time::Duration;
use std::time::Instant;

use oleanderpass_platform_stand_in::caller::Call;
use oleanderpass_platform_stand_in::documents::announcement;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use tokio::task::JoinHandle;

use crate::fleet::Fleet;

/// The part that crashes engines.
const CRASHING_PART: &str = "0bad";

/// The time of the check.
const LENGTH: Duration = Duration::from_secs(11);

/// The time after a crash until the engine is back.
const RESTART_TIME: Duration = Duration::from_millis(1_000);

/// The time after which instances must act on what others know. Source: the published bound.
const CONTACT: Duration = Duration::from_secs(3);

/// The number of crashes after which a part must be known, and the most requests with it that may
/// reach engines later. Source: the published bound.
const KNOWN_CRASHES: usize = 5;
const MAX_LATE: usize = 3;

/// The limit that the plain servers name, in requests per second, and the most requests in
/// [`WINDOW`]: one and a half times the limit and five more. Source: the published bound.
const LIMIT: f64 = 1.5;
const WINDOW: Duration = Duration::from_secs(4);
const MAX_IN_WINDOW: usize = 14;

/// Run the check, with a disturbance that the seed chooses.
pub(crate) async fn check(fleet: &mut Fleet, rng: &mut Pcg64Mcg, violations: &mut Vec<String>) {
    for index in 0..fleet.servers.len() {
        let server = &mut fleet.servers[index];
        if server.service == "engines" {
            server.stand_in.set_crashing_part(Some(CRASHING_PART));
            announce_directly(fleet, index);
        } else {
            server.stand_in.set_limit(Some(LIMIT));
        }
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let start = Instant::now();
    let disturbance = rng.random_range(0..4);
    let victim = rng.random_range(0..fleet.instances.len());
    let mut disturbed = start;
    let mut calls: Vec<(Instant, JoinHandle<bool>)> = Vec::new();
    let mut restarts: Vec<(usize, Instant)> = Vec::new();
    let mut crashes = vec![0; fleet.servers.len()];
    for round in 0..LENGTH.as_millis() / 50 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        if round == 20 {
            disturbed = disturb(fleet, victim, disturbance).await;
        }
        for (index, server) in fleet.servers.iter().enumerate() {
            let now = server.stand_in.crashes().len();
            if now > std::mem::replace(&mut crashes[index], now) {
                restarts.push((index, Instant::now() + RESTART_TIME));
            }
        }
        for (index, _) in restarts.extract_if(.., |(_, at)| Instant::now() >= *at) {
            let id = fleet.servers[index].id.clone();
            fleet.servers[index].stand_in.restart(&id).await.unwrap();
            announce_directly(fleet, index);
        }
        send(fleet, rng, usize::try_from(round).unwrap(), &mut calls);
    }
    check_crashes(fleet, disturbed, violations);
    check_limits(fleet, disturbed, violations);
    let late = |at: &Instant| *at > disturbed + 2 * CONTACT;
    let mut served = (0, 0);
    for (at, call) in calls {
        let complete = call.await.unwrap();
        if late(&at) {
            served = (served.0 + usize::from(complete), served.1 + 1);
        }
    }
    if 2 * served.0 < served.1 {
        violations.push(format!(
            "{} of {} harmless requests served",
            served.0, served.1
        ));
    }
    for index in 0..fleet.servers.len() {
        fleet.servers[index].stand_in.set_crashing_part(None);
        fleet.servers[index].stand_in.set_limit(None);
        if restarts.iter().any(|(waiting, _)| *waiting == index) {
            let id = fleet.servers[index].id.clone();
            fleet.servers[index].stand_in.restart(&id).await.unwrap();
        }
        fleet.restart_server(index);
    }
    tokio::time::sleep(CONTACT).await;
}

/// Announce a server in a new incarnation at its own address. Behind a proxy, a crashed server
/// would still accept connections.
fn announce_directly(fleet: &mut Fleet, index: usize) {
    fleet.restart_server(index);
    let server = &fleet.servers[index];
    let addr = server.stand_in.addr;
    let entry = announcement(server.service, addr, "ready", server.incarnation);
    fleet.store.put_server(&server.id, &entry);
}

/// Disturb an instance. Return when that was over.
pub(crate) async fn disturb(fleet: &mut Fleet, victim: usize, kind: u32) -> Instant {
    let instance = &mut fleet.instances[victim];
    match kind {
        0 => {}
        1 => {
            instance.signal(Signal::KILL);
            instance.wait_for_exit().await;
            instance.spawn();
        }
        2 => {
            instance.signal(Signal::STOP);
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            instance.signal(Signal::CONT);
        }
        _ => {
            instance.signal(Signal::HUP);
            instance.signal(Signal::KILL);
            instance.wait_for_exit().await;
            tokio::time::sleep(Duration::from_millis(500)).await;
            instance.spawn();
        }
    }
    Instant::now()
}

/// Send the requests of one round. Harmless streams are added to `calls`.
fn send(
    fleet: &Fleet,
    rng: &mut Pcg64Mcg,
    round: usize,
    calls: &mut Vec<(Instant, JoinHandle<bool>)>,
) {
    let mut post = |id: String, path: &str, parts: Option<String>| {
        let instance = rng.random_range(0..fleet.instances.len());
        let addr = fleet.instances[instance].caller_addr();
        let mut call = Call::new(&id, path);
        call.key = "key-new".to_owned();
        call.body = format!("body of {id}");
        call.extra_headers = parts.map_or_else(String::new, |parts| {
            format!("Prefix-Hash: {parts},{round:x}:900\r\n")
        });
        tokio::spawn(async move {
            let answer = call.send(addr).await;
            answer.is_ok_and(|answer| answer.status == 200 && answer.complete)
        })
    };
    let first = format!("{:x}:800", 100 + round % 5);
    if round.is_multiple_of(3) {
        let parts = format!("{first},{CRASHING_PART}:60");
        post(format!("after-crash-{round}"), "/chat/1", Some(parts));
    }
    let call = post(format!("after-chat-{round}"), "/chat/1", Some(first));
    calls.push((Instant::now(), call));
    post(format!("after-look-{round}"), "/look/1", None);
}

fn check_crashes(fleet: &Fleet, disturbed: Instant, violations: &mut Vec<String>) {
    let servers = || fleet.servers.iter().map(|server| &server.stand_in);
    let mut crashes: Vec<Instant> = servers().flat_map(|server| server.crashes()).collect();
    crashes.sort_unstable();
    let Some(known) = crashes.get(KNOWN_CRASHES - 1) else {
        return;
    };
    let from = (*known).max(disturbed) + CONTACT;
    let late = servers()
        .flat_map(|server| server.arrivals())
        .filter(|arrival| arrival.ran && arrival.at > from)
        .filter(|arrival| {
            arrival
                .request
                .header("prefix-hash")
                .contains(CRASHING_PART)
        })
        .count();
    if late > MAX_LATE {
        violations.push(format!(
            "{late} requests with a crashing part reached engines late, {} crashes",
            crashes.len()
        ));
    }
}

fn check_limits(fleet: &Fleet, disturbed: Instant, violations: &mut Vec<String>) {
    for server in fleet.servers.iter().filter(|s| s.service == "plain") {
        let arrivals = server.stand_in.arrivals();
        let named = arrivals.iter().find(|arrival| {
            arrival
                .request
                .header("attempt-id")
                .starts_with("after-look")
        });
        let Some(named) = named else {
            continue;
        };
        let from = named.at.max(disturbed) + CONTACT;
        let times: Vec<Instant> = arrivals
            .iter()
            .map(|a| a.at)
            .filter(|at| *at > from)
            .collect();
        for (index, start) in times.iter().enumerate() {
            let in_window = times[index..]
                .iter()
                .take_while(|at| **at < *start + WINDOW);
            let count = in_window.count();
            if count > MAX_IN_WINDOW {
                violations.push(format!("{}: {count} requests in 4 s", server.id));
                break;
            }
        }
    }
}
