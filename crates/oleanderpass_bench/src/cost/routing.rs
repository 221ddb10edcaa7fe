//! Measure the decisions of the split policy and the view that they use.

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
use super::measurement::format_bytes;
use super::measurement::format_time;
use super::measurement::median_time_ns;
use super::measurement::memory_in_child_process;
use super::measurement::memory_per_value;
use super::measurement::table_row;
use crate::engine::EngineParameters;

const NOW: Timestamp = Timestamp::from_millis(100_000);

/// Measure all fleet sizes and return a table.
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
        let memory_bytes = memory_in_child_process("routing", index)?;
        text += &measure_row(size, memory_bytes)?;
    }
    Ok(text)
}

/// Return the memory of a view, in bytes.
///
/// # Errors
///
/// Return an error when an id is malformed or memory can't be read.
pub fn view_memory(size: Size) -> eyre::Result<f64> {
    memory_per_value(120_000 / size.backend_servers, || build_view(size))
}

/// Build a view of all engines, with load reports of those of the own zone.
fn build_view(size: Size) -> eyre::Result<View> {
    let mut view = View::new("zone-0".parse()?);
    for number in 0..size.backend_servers {
        let id = format!("engine-{number:05}").parse()?;
        let zone = format!("zone-{}", number % size.zones).parse()?;
        view.upsert(Server::new(id, zone, EngineParameters::default().spec()));
    }
    let ids: Vec<BackendServerId> = view.servers().map(|server| server.id.clone()).collect();
    for id in ids.iter().step_by(size.zones) {
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

fn measure_row(size: Size, memory_bytes: f64) -> eyre::Result<String> {
    let mut view = build_view(size)?;
    let mut rng = Pcg64Mcg::new(1);
    let mut number = 0;
    let mut choose_ns = |prompt: u64, calls: u32| {
        median_time_ns(calls, || {
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
    let choose_times_ns = [
        choose_ns(8_000, 2_000),
        choose_ns(200_000, 500),
        choose_ns(900_000, 500),
    ];
    let id: BackendServerId = "engine-00000".parse()?;
    let report = LoadReport::default();
    let report_ns = median_time_ns(10_000, || view.apply_report(NOW, &id, Millis::ZERO, report));
    let mut leaving = false;
    let refresh_ns = median_time_ns(50, || {
        leaving = !leaving;
        view.set_usable(&id, true, leaving);
        view.refresh();
    });
    let engines = size.backend_servers.div_ceil(size.zones);
    let poll_choice_ns = poll_choice_time_ns(size, engines);
    let mut cells = vec![
        format!("{} / {}", size.instances, size.backend_servers),
        engines.to_string(),
    ];
    cells.extend(choose_times_ns.map(format_time));
    cells.extend([report_ns, refresh_ns, poll_choice_ns].map(format_time));
    cells.push(format_bytes(memory_bytes));
    Ok(table_row(&cells))
}

/// Return the time that an instance takes to choose the engines that it polls after a change of its
/// zone's instances, in nanoseconds.
fn poll_choice_time_ns(size: Size, engines: usize) -> f64 {
    let zone_instances = size.instances.div_ceil(size.zones);
    let instances: Vec<u64> = (0..zone_instances)
        .map(|number| node_key(&format!("i{number}")))
        .collect();
    let engine_keys: Vec<u64> = (0..engines)
        .map(|number| node_key(&format!("e{number}")))
        .collect();
    median_time_ns(20, || {
        engine_keys
            .iter()
            .filter(|key| should_poll(instances[0], &instances, **key, engines))
            .count()
    })
}
