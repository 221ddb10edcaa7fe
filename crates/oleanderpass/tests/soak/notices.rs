//! Check what instances do about servers that ask for a pause or say that they are leaving, while
//! one of the instances is disturbed.

use std::time::Duration;
use std::time::Instant;

use oleanderpass_platform_stand_in::backend_server::BackendServer;
use oleanderpass_platform_stand_in::caller::Call;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::back_ends::disturb;
use crate::fleet::Fleet;

/// The pause that servers ask for, and for how long they do.
const PAUSE: &str = "2";
const PAUSES_TIME: Duration = Duration::from_millis(3_500);

/// The most contacts of one instance in a pause. Source: the published bound. All instances have
/// the same address here, and one of them starts again.
const MAX_IN_PAUSE: usize = 2;

/// The time for which a server says that it is leaving, and the part of it after which it gets
/// nothing more, except the first request of an instance that starts again.
const LEAVING_TIME: Duration = Duration::from_millis(3_000);
const LEARNING_TIME: Duration = Duration::from_millis(1_500);
const MAX_LATE: usize = 1;

/// The time between two requests.
const GAP: Duration = Duration::from_millis(25);

/// Run the checks, with disturbances that the seed chooses.
pub(crate) async fn check(fleet: &mut Fleet, rng: &mut Pcg64Mcg, violations: &mut Vec<String>) {
    let plain = |fleet: &Fleet| -> Vec<BackendServer> {
        let servers = fleet.servers.iter();
        let plain = servers.filter(|server| server.service == "plain");
        plain.map(|server| server.stand_in.clone()).collect()
    };
    let servers = plain(fleet);
    servers
        .iter()
        .for_each(|server| server.set_pause(Some(PAUSE)));
    send(fleet, rng, "pause", PAUSES_TIME).await;
    for server in &servers {
        server.set_pause(None);
        let allowed = MAX_IN_PAUSE * (fleet.instances.len() + 1);
        let contacts = server.contacts_in_pause();
        if contacts > allowed {
            violations.push(format!("{contacts} contacts in a pause, {allowed} allowed"));
        }
    }
    let leaving = fleet
        .servers
        .iter()
        .position(|s| s.service == "plain")
        .unwrap();
    let server = fleet.servers[leaving].stand_in.clone();
    server.set_leaving(true);
    let began = Instant::now();
    send(fleet, rng, "leaving", LEAVING_TIME).await;
    let late = server.arrivals();
    let late = late.iter().filter(|a| a.at > began + LEARNING_TIME).count();
    if late > MAX_LATE {
        violations.push(format!("{late} requests reached a server that is leaving"));
    }
    server.set_leaving(false);
    fleet.restart_server(leaving);
    let before = server.arrivals().len();
    send(fleet, rng, "new", LEAVING_TIME).await;
    if server.arrivals().len() == before {
        violations.push("a new lifetime at the address of a server that left gets nothing".into());
    }
    fleet.wait_until_ready().await;
}

/// Send requests to all instances for some time, and disturb one of them near its start.
async fn send(fleet: &mut Fleet, rng: &mut Pcg64Mcg, name: &str, time: Duration) {
    let began = Instant::now();
    let victim = rng.random_range(0..fleet.instances.len());
    let kind = rng.random_range(0..4);
    let mut calls = Vec::new();
    let mut is_disturbed = false;
    while began.elapsed() < time {
        if !is_disturbed && began.elapsed() > time / 8 {
            is_disturbed = true;
            disturb(fleet, victim, kind).await;
        }
        let instance = rng.random_range(0..fleet.instances.len());
        let addr = fleet.instances[instance].caller_addr();
        let mut call = Call::new(&format!("after-{name}-{}", calls.len()), "/look/1");
        call.key = "key-new".to_owned();
        calls.push(tokio::spawn(async move { call.send(addr).await }));
        tokio::time::sleep(GAP).await;
    }
    for call in calls {
        // Requests to the disturbed instance may fail.
        call.await.unwrap().ok();
    }
}
