//! Choose faults at random from a seed and inject them.

use std::time::Duration;

use oleanderpass_platform_stand_in::backend_server::Mode;
use oleanderpass_platform_stand_in::store::Mode as StoreMode;
use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;

use crate::fleet::Fleet;
use crate::proxy::LinkMode;

const LINK_MODES: [LinkMode; 4] = [
    LinkMode::Slow,
    LinkMode::Silent,
    LinkMode::OneWay,
    LinkMode::Reset,
];
const STORE_MODES: [StoreMode; 3] = [StoreMode::Busy, StoreMode::Reset, StoreMode::Silent];
const SERVER_MODES: [Mode; 9] = [
    Mode::BreakInEvent(2),
    Mode::Refuse,
    Mode::Fail,
    Mode::Crash,
    Mode::Hang,
    Mode::WrongRequest,
    Mode::NoProof,
    Mode::SkipEvent,
    Mode::ExtraAnswer,
];

/// Inject one random fault, wait, and undo it. Return its description for the report.
///
/// A new configuration counts as a fault; it is not undone.
pub(crate) async fn inject(fleet: &mut Fleet, rng: &mut Pcg64Mcg) -> String {
    let duration = Duration::from_millis(rng.random_range(200..1_500));
    let instance = rng.random_range(0..fleet.instances.len());
    let server = rng.random_range(0..fleet.servers.len());
    match rng.random_range(0..12) {
        0 | 1 => {
            let mode = *LINK_MODES.choose(rng).unwrap();
            fleet.servers[server].proxy.set(mode);
            tokio::time::sleep(duration).await;
            fleet.servers[server].proxy.set(LinkMode::Open);
            format!("server {server}: {mode}")
        }
        2 | 3 => {
            let mode = *LINK_MODES.choose(rng).unwrap();
            fleet.instances[instance].store_proxy.set(mode);
            fleet.publish_configuration();
            tokio::time::sleep(duration).await;
            fleet.instances[instance].store_proxy.set(LinkMode::Open);
            format!("store of {instance}: {mode}")
        }
        4 => {
            let mode = *STORE_MODES.choose(rng).unwrap();
            fleet.store.set_mode(mode);
            tokio::time::sleep(duration).await;
            fleet.store.compact();
            fleet.store.set_mode(StoreMode::Up);
            format!("store: {mode:?}")
        }
        5 | 6 => {
            // Every second server is faulty, because a single one would get few requests.
            let faulty = fleet.servers.iter().skip(server % 2).step_by(2);
            let faulty: Vec<_> = faulty.map(|server| server.stand_in.clone()).collect();
            let mode = *SERVER_MODES.choose(rng).unwrap();
            faulty.iter().for_each(|server| server.set_mode(mode));
            tokio::time::sleep(duration).await;
            faulty
                .iter()
                .for_each(|server| server.set_mode(Mode::Healthy));
            format!("{} servers: {mode:?}", faulty.len())
        }
        7 => {
            fleet.instances[instance].signal(Signal::KILL);
            fleet.instances[instance].wait_for_exit().await;
            tokio::time::sleep(duration / 2).await;
            fleet.instances[instance].spawn();
            format!("kill {instance}")
        }
        8 => {
            fleet.instances[instance].signal(Signal::STOP);
            tokio::time::sleep(duration).await;
            fleet.instances[instance].signal(Signal::CONT);
            format!("pause {instance}")
        }
        9 => {
            fleet.instances[instance].signal(Signal::HUP);
            fleet.instances[instance].signal(Signal::TERM);
            fleet.instances[instance].wait_for_exit().await;
            fleet.instances[instance].spawn();
            format!("stop {instance}")
        }
        10 => {
            fleet.announce(server, "draining");
            tokio::time::sleep(duration).await;
            fleet.restart_server(server);
            format!("server {server}: drained and restarted")
        }
        _ => {
            let key = format!("key-{}", rng.random_range(1..1_000));
            fleet.api_keys.push(key);
            fleet.publish_configuration();
            tokio::time::sleep(duration / 4).await;
            "configuration".to_owned()
        }
    }
}
