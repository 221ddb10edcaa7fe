//! Measure the routing policy.

use oleanderpass_routing::policy::Policy;
use oleanderpass_routing::policy::SplitOptions;
use oleanderpass_routing::policy::choose;
use oleanderpass_routing::polling::should_poll;
use oleanderpass_routing::rendezvous::node_key;
use oleanderpass_routing::rendezvous::weight;
use oleanderpass_routing::request::Prefix;
use oleanderpass_routing::request::Request;
use oleanderpass_routing::view::LoadReport;
use oleanderpass_routing::view::Server;
use oleanderpass_routing::view::View;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::size::Tokens;
use rand_pcg::Pcg64Mcg;

use super::SIZES;
use super::Size;
use super::gauge::memory;
use super::gauge::memory_apart;
use super::gauge::row;
use super::gauge::show_bytes;
use super::gauge::show_time;
use super::gauge::time;
use crate::engine::EngineFigures;

const NOW: Timestamp = Timestamp::from_millis(100_000);

/// Measure all sizes.
///
/// # Errors
///
/// Return an error when an id is malformed or memory can't be read.
pub fn table() -> eyre::Result<String> {
    let mut text = String::from(
        "| Instances / workers | Engines of the zone | `choose`, short | `choose`, long | \
         `choose`, join | Report | Refresh of the pool | Polls to choose | Memory of a view |\n\
         |---|---|---|---|---|---|---|---|---|\n",
    );
    for (index, size) in SIZES.into_iter().enumerate() {
        let bytes = memory_apart("routing", index)?;
        text += &measure(size, bytes)?;
    }
    Ok(text)
}

/// Measure the memory of a view.
///
/// # Errors
///
/// Return an error when an id is malformed or memory can't be read.
pub fn view_memory(size: Size) -> eyre::Result<f64> {
    memory(120_000 / size.workers, || build(size))
}

fn build(size: Size) -> eyre::Result<View> {
    let mut view = View::new("zone-0".parse()?);
    for number in 0..size.workers {
        let id = format!("engine-{number:05}").parse()?;
        let zone = format!("zone-{}", number % size.zones).parse()?;
        view.upsert(Server::new(id, zone, EngineFigures::default().spec()));
    }
    let polled: Vec<BackendServerId> = view.servers().map(|server| server.id.clone()).collect();
    for id in polled.iter().step_by(size.zones) {
        let report = LoadReport {
            queued_prefill: Tokens::new(id.as_str().len() as u64 * 400),
            requests: 6,
            memory_used: Tokens::new(60_000),
        };
        view.apply_report(NOW, id, Millis::new(500), report);
    }
    view.refresh();
    Ok(view)
}

fn measure(size: Size, bytes: f64) -> eyre::Result<String> {
    let mut view = build(size)?;
    let mut rng = Pcg64Mcg::new(1);
    let mut number = 0;
    let mut choice = |prompt: u64, calls: u32| {
        time(calls, || {
            number += 1;
            let prefixes: Vec<Prefix> = (10..16)
                .map(|power| Prefix {
                    hash: weight(number, power),
                    tokens: Tokens::new(1 << power),
                })
                .collect();
            let req = Request {
                prompt: Tokens::new(prompt),
                expected_output: Tokens::new(200),
                prefixes: &prefixes,
                deadline: Timestamp::from_millis(900_000),
                urgent: false,
                excluded: &[],
            };
            choose(
                Policy::Split(SplitOptions::default()),
                &view,
                NOW,
                &req,
                &mut rng,
            )
        })
    };
    let chosen = [
        choice(8_000, 2_000),
        choice(200_000, 500),
        choice(900_000, 500),
    ];
    let id: BackendServerId = "engine-00000".parse()?;
    let report = LoadReport::default();
    let reported = time(10_000, || view.apply_report(NOW, &id, Millis::ZERO, report));
    let mut leaving = false;
    let refreshed = time(50, || {
        leaving = !leaving;
        view.set_usable(&id, true, leaving);
        view.refresh();
    });
    let engines = size.workers.div_ceil(size.zones);
    let polled = poll_time(size, engines);
    let mut cells = vec![
        format!("{} / {}", size.instances, size.workers),
        engines.to_string(),
    ];
    cells.extend(chosen.map(show_time));
    cells.extend([reported, refreshed, polled].map(show_time));
    cells.push(show_bytes(bytes));
    Ok(row(&cells))
}

/// Measure the choice of the engines to poll after a change of the zone's instances.
fn poll_time(size: Size, engines: usize) -> f64 {
    let zone = size.instances.div_ceil(size.zones);
    let instances: Vec<u64> = (0..zone)
        .map(|number| node_key(&format!("i{number}")))
        .collect();
    let keys: Vec<u64> = (0..engines)
        .map(|number| node_key(&format!("e{number}")))
        .collect();
    time(20, || {
        keys.iter()
            .filter(|key| should_poll(instances[0], &instances, **key, engines))
            .count()
    })
}
