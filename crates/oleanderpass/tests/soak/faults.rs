//! Draw faults from a seed and inject them.

use std::time::Duration;

use oleanderpass_platform_stand_in::backend_server::Mode;
use oleanderpass_platform_stand_in::store::Mode as StoreMode;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;

use crate::fleet::Fleet;
use crate::proxy::Link;

const LINKS: [Link; 4] = [Link::Slow, Link::Silent, Link::OneWay, Link::Reset];
const STORE_MODES: [StoreMode; 3] = [StoreMode::Busy, StoreMode::Reset, StoreMode::Silent];
const WORKER_MODES: [Mode; 9] = [
    Mode::BreakAfter(2),
    Mode::Refuse,
    Mode::Fail,
    Mode::Crash,
    Mode::Hang,
    Mode::WrongRequest,
    Mode::NoProof,
    Mode::SkipEvent,
    Mode::ExtraAnswer,
];

/// Inject one fault, wait, and undo it. Return its name for the report.
pub(crate) async fn inject(fleet: &mut Fleet, rng: &mut Pcg64Mcg) -> String {
    let time = Duration::from_millis(rng.random_range(200..1_500));
    let instance = rng.random_range(0..fleet.instances.len());
    let server = rng.random_range(0..fleet.servers.len());
    match rng.random_range(0..12) {
        0 | 1 => {
            let link = *LINKS.choose(rng).unwrap();
            fleet.servers[server].proxy.set(link);
            tokio::time::sleep(time).await;
            fleet.servers[server].proxy.set(Link::Open);
            format!("server {server}: {link}")
        }
        2 | 3 => {
            let link = *LINKS.choose(rng).unwrap();
            fleet.instances[instance].store.set(link);
            fleet.configure();
            tokio::time::sleep(time).await;
            fleet.instances[instance].store.set(Link::Open);
            format!("store of {instance}: {link}")
        }
        4 => {
            let mode = *STORE_MODES.choose(rng).unwrap();
            fleet.store.set_mode(mode);
            tokio::time::sleep(time).await;
            fleet.store.compact();
            fleet.store.set_mode(StoreMode::Up);
            format!("store: {mode:?}")
        }
        5 | 6 => {
            // One server at fault gets few requests in this time.
            let faulty = fleet.servers.iter().skip(server % 2).step_by(2);
            let faulty: Vec<_> = faulty.map(|server| server.worker.clone()).collect();
            let mode = *WORKER_MODES.choose(rng).unwrap();
            faulty.iter().for_each(|worker| worker.set_mode(mode));
            tokio::time::sleep(time).await;
            faulty
                .iter()
                .for_each(|worker| worker.set_mode(Mode::Healthy));
            format!("{} servers: {mode:?}", faulty.len())
        }
        7 => {
            fleet.instances[instance].signal(Signal::KILL);
            fleet.instances[instance].ended().await;
            tokio::time::sleep(time / 2).await;
            fleet.instances[instance].spawn();
            format!("kill {instance}")
        }
        8 => {
            fleet.instances[instance].signal(Signal::STOP);
            tokio::time::sleep(time).await;
            fleet.instances[instance].signal(Signal::CONT);
            format!("pause {instance}")
        }
        9 => {
            fleet.instances[instance].signal(Signal::HUP);
            fleet.instances[instance].signal(Signal::TERM);
            fleet.instances[instance].ended().await;
            fleet.instances[instance].spawn();
            format!("stop {instance}")
        }
        10 => {
            fleet.announce(server, "draining");
            tokio::time::sleep(time).await;
            fleet.restart_server(server);
            format!("server {server}: drained and restarted")
        }
        _ => {
            let key = format!("key-{}", rng.random_range(1..1_000));
            fleet.keys.push(key);
            fleet.configure();
            tokio::time::sleep(time / 4).await;
            "configuration".to_owned()
        }
    }
}
