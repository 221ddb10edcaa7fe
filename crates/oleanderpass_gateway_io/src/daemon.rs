//! Start and stop an instance.

use std::cell::Cell;
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;

use eyre::Result;
use eyre::WrapErr;
use oleanderpass_gateway::drain::ADMIT_ALL_TIME;
use oleanderpass_gateway::gateway::Gateway;
use oleanderpass_membership::membership::Identity;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::Incarnation;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::clock;
use crate::clock::sleep_until;
use crate::connection::Pool;
use crate::frontend;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::node::Shared;
use crate::node::Stop;
use crate::operator;
use crate::peer;
use crate::settings::Settings;
use crate::store;
use crate::store::Copy;

/// The time before the process is killed at which it ends by itself.
const STOP_MARGIN: Millis = Millis::new(400);

/// The interval at which an instance that stops looks for open connections.
const STOP_POLL: Millis = Millis::new(100);

/// Run an instance until it is stopped.
///
/// # Errors
///
/// Return the cause when it can't start.
pub fn run(path: &Path) -> Result<()> {
    let settings = Settings::read(path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    LocalSet::new().block_on(&runtime, serve(settings, path))
}

async fn serve(settings: Settings, path: &Path) -> Result<()> {
    let now = clock::now();
    // A later start has a higher number, as long as the time of day isn't stepped back.
    let incarnation = Incarnation::new(clock::unix_ms());
    let identity = Identity {
        id: settings.instance.clone(),
        incarnation,
        zone: settings.zone.clone(),
        addr: settings.peer_addr,
    };
    let seed = rand::random();
    let gateway = Gateway::new(now, identity, settings.seeds.clone(), settings.bounds, seed);
    let callers = frontend::listen(settings.caller_addr)?;
    let readiness = frontend::listen(settings.readiness_addr)?;
    let metrics = frontend::listen(settings.metrics_addr)?;
    let copies = frontend::listen(settings.peer_addr)?;
    let peers = UdpSocket::bind(settings.peer_addr)
        .await
        .wrap_err_with(|| format!("bind {}", settings.peer_addr))?;
    tracing::info!(
        instance = %settings.instance,
        %incarnation,
        zone = %settings.zone,
        callers = %settings.caller_addr,
        peers = %settings.peer_addr,
        seeds = settings.seeds.len(),
        store = %settings.store_addr,
        program = env!("CARGO_PKG_VERSION"),
        "started"
    );
    let node: Shared = Rc::new(Node {
        gateway: RefCell::new(gateway),
        pool: RefCell::new(Pool::default()),
        metrics: Metrics::new()?,
        copy: RefCell::new(Copy::default()),
        peers,
        work_changed: Notify::new(),
        store_behind: Notify::new(),
        stop: watch::Sender::new(Stop::No),
        settings,
    });
    let open = Rc::new(Cell::new(0));
    tokio::task::spawn_local(frontend::run(node.clone(), callers, open.clone()));
    tokio::task::spawn_local(operator::run(node.clone(), readiness));
    tokio::task::spawn_local(operator::run(node.clone(), metrics));
    tokio::task::spawn_local(operator::run(node.clone(), copies));
    tokio::task::spawn_local(peer::receive(node.clone()));
    tokio::task::spawn_local(peer::tick(node.clone()));
    tokio::task::spawn_local(peer::publish(node.clone()));
    tokio::task::spawn_local(store::run(node.clone()));
    wait_for_stop(&node, path).await?;
    stop(&node, &open).await;
    Ok(())
}

/// Wait for the signal to stop, and check the settings when they change.
async fn wait_for_stop(node: &Shared, path: &Path) -> Result<()> {
    let mut term = signal(SignalKind::terminate()).wrap_err("register SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).wrap_err("register SIGINT")?;
    let mut hup = signal(SignalKind::hangup()).wrap_err("register SIGHUP")?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = int.recv() => return Ok(()),
            _ = hup.recv() => reload(node, path),
        }
    }
}

/// Read the settings again. Addresses and names hold for the life of the process, so a change of
/// them is reported and takes effect at the next start.
fn reload(node: &Shared, path: &Path) {
    match Settings::read(path) {
        Ok(settings) => {
            node.gateway.borrow_mut().set_bounds(settings.bounds);
            let restart_needed = Settings {
                bounds: node.settings.bounds,
                ..settings
            } != node.settings;
            tracing::info!(restart_needed, "settings reloaded");
        }
        Err(error) => tracing::error!(
            error = format!("{error:#}"),
            "settings can't be used; the ones in force stay"
        ),
    }
}

/// Stop without cutting a request: answer that the instance isn't ready, serve on until the balancer
/// has noticed, close idle connections, and wait for the rest.
async fn stop(node: &Shared, open: &Cell<usize>) {
    let began = node.now();
    let end = began + node.settings.stop_time.saturating_sub(STOP_MARGIN);
    let mut out = Vec::new();
    node.gateway.borrow_mut().begin_drain(began, end, &mut out);
    node.send_packets(out);
    node.stop.send_replace(Stop::Announced);
    tracing::info!(
        in_flight = node.metrics.in_flight.get(),
        connections = open.get(),
        "stopping"
    );
    sleep_until((began + ADMIT_ALL_TIME).min(end)).await;
    node.stop.send_replace(Stop::Closing);
    while open.get() > 0 && node.now() < end {
        sleep_until(node.now() + STOP_POLL).await;
    }
    tracing::info!(
        connections = open.get(),
        elapsed_ms = node.now().since(began).get(),
        "stopped"
    );
}
