//! Start and stop an instance.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;

use eyre::Result;
use eyre::WrapErr;
use eyre::eyre;
use indexmap::IndexSet;
use oleanderpass_gateway::drain::ADMIT_ALL_TIME;
use oleanderpass_gateway::gateway::Gateway;
use oleanderpass_gateway::memory::AnswerMemory;
use oleanderpass_gateway::readiness::Readiness;
use oleanderpass_membership::membership::Identity;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::Incarnation;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::build::Build;
use crate::callers;
use crate::callers::Callers;
use crate::clock;
use crate::clock::sleep_until;
use crate::configuration_copy;
use crate::connection::Pool;
use crate::endpoints::Endpoint;
use crate::frontend;
use crate::instance::Instance;
use crate::instance::SharedInstance;
use crate::instance::ShutdownPhase;
use crate::internal_http;
use crate::internal_http::Tunnels;
use crate::metrics::Metrics;
use crate::peer;
use crate::settings::Settings;
use crate::start_error::StartError;
use crate::store;

/// The margin between the end of a stopping process and the time at which the platform kills it.
const STOP_MARGIN: Millis = Millis::new(400);

/// The interval at which a stopping instance checks whether connections are still open.
const STOP_POLL: Millis = Millis::new(100);

/// Run an instance of `build` with the settings in the file at `path` until it is stopped.
///
/// # Errors
///
/// Return the cause when it can't start.
pub fn run(path: &Path, build: Build) -> Result<(), StartError> {
    let settings = Settings::read(path).map_err(StartError::Settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("start the runtime")
        .map_err(StartError::System)?;
    LocalSet::new()
        .block_on(&runtime, serve(settings, path, build))
        .map_err(StartError::System)
}

async fn serve(settings: Settings, path: &Path, build: Build) -> Result<()> {
    let now = clock::now();
    // A later start gets a higher incarnation, unless the wall clock is set back.
    let incarnation = Incarnation::new(clock::unix_ms());
    let identity = Identity {
        id: settings.instance.clone(),
        incarnation,
        zone: settings.zone.clone(),
        addr: settings.peer_addr,
    };
    let seed = rand::random();
    let mut gateway = Gateway::new(now, identity, settings.seeds.clone(), settings.bounds, seed);
    gateway.set_zone_regions(settings.zone_regions.clone());
    tracing::info!(
        instance = %settings.instance,
        %incarnation,
        lifetime = %gateway.fleet().lifetime(),
        zone = %settings.zone,
        callers = %settings.caller_addr,
        peers = %settings.peer_addr,
        seeds = settings.seeds.len(),
        store = %settings.store_addr,
        memory = %settings.memory,
        program = build.version,
        commit = build.commit,
        target = build.target,
        "started"
    );
    log_unexpected(&settings);
    let instance: SharedInstance = Rc::new(Instance {
        gateway: RefCell::new(gateway),
        readiness: RefCell::new(Readiness::new(now)),
        pool: RefCell::new(Pool::default()),
        metrics: Metrics::new()?,
        memory: AnswerMemory::new(settings.memory),
        callers: Callers::default(),
        checked_servers: RefCell::new(IndexSet::new()),
        open_tunnels: Cell::new(0),
        peer_socket: OnceCell::new(),
        load_changed: Notify::new(),
        store_behind: Notify::new(),
        configuration_behind: Notify::new(),
        shutdown: watch::Sender::new(ShutdownPhase::Serving),
        build,
        settings,
    });
    tokio::task::spawn_local(frontend::run(instance.clone()));
    tokio::task::spawn_local(callers::sweep(instance.clone()));
    for (endpoint, tunnels) in [
        (Endpoint::Readiness, Tunnels::Refused),
        (Endpoint::Metrics, Tunnels::Refused),
        (Endpoint::Peers, Tunnels::Accepted),
    ] {
        tokio::task::spawn_local(internal_http::run(instance.clone(), endpoint, tunnels));
    }
    tokio::task::spawn_local(peer::receive(instance.clone()));
    tokio::task::spawn_local(peer::tick(instance.clone()));
    tokio::task::spawn_local(peer::send_bulletins(instance.clone()));
    tokio::task::spawn_local(store::run(instance.clone()));
    tokio::task::spawn_local(configuration_copy::run(instance.clone()));
    wait_for_stop(&instance, path).await?;
    stop(&instance).await;
    Ok(())
}

/// Wait for SIGTERM or SIGINT. Read the settings again on each SIGHUP.
async fn wait_for_stop(instance: &SharedInstance, path: &Path) -> Result<()> {
    let mut term = signal(SignalKind::terminate()).wrap_err("register SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).wrap_err("register SIGINT")?;
    let mut hup = signal(SignalKind::hangup()).wrap_err("register SIGHUP")?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = int.recv() => return Ok(()),
            _ = hup.recv() => reload(instance, path),
        }
    }
}

/// Log the keys of the settings that have no effect, and those whose defaults are in force.
fn log_unexpected(settings: &Settings) {
    for key in &settings.ignored {
        tracing::warn!(%key, "a setting is unknown or was left unfilled; it is ignored");
    }
    for key in &settings.defaulted {
        tracing::warn!(%key, "a setting is missing or empty; its default is in force");
    }
}

/// Read the settings again and apply the bounds, the regions of zones and the size of the memory.
/// Addresses and names are fixed for the lifetime of the process, so the log reports a change of
/// them, which takes effect at the next start.
fn reload(instance: &SharedInstance, path: &Path) {
    let settings = Settings::read(path).and_then(|settings| {
        // The file may be incomplete while it is written.
        let known = &instance.settings.defaulted;
        let lost = settings.defaulted.iter().find(|key| !known.contains(key));
        lost.map_or(Ok(()), |key| Err(eyre!("{key}: missing or empty")))?;
        Ok(settings)
    });
    match settings {
        Ok(settings) => {
            let mut gateway = instance.gateway.borrow_mut();
            gateway.set_bounds(settings.bounds);
            gateway.set_zone_regions(settings.zone_regions.clone());
            drop(gateway);
            instance.memory.set_process_size(settings.memory);
            log_unexpected(&settings);
            let restart_needed = Settings {
                bounds: instance.settings.bounds,
                memory: instance.settings.memory,
                ignored: instance.settings.ignored.clone(),
                defaulted: instance.settings.defaulted.clone(),
                zone_regions: instance.settings.zone_regions.clone(),
                ..settings
            } != instance.settings;
            tracing::info!(restart_needed, "settings reloaded");
        }
        Err(error) => tracing::error!(
            error = format!("{error:#}"),
            "the settings can't be used; the ones in force stay"
        ),
    }
}

/// Stop gracefully: report that the instance isn't ready, keep serving until the balancer has
/// noticed, close idle connections, and wait for the others until the process is about to be
/// killed.
async fn stop(instance: &SharedInstance) {
    let began = instance.now();
    let end = began + instance.settings.stop_time.saturating_sub(STOP_MARGIN);
    let mut out = Vec::new();
    instance
        .gateway
        .borrow_mut()
        .begin_drain(began, end, &mut out);
    instance.send_packets(out);
    instance.shutdown.send_replace(ShutdownPhase::Draining);
    tracing::info!(
        in_flight = instance.metrics.in_flight.get(),
        connections = instance.callers.len(),
        "stopping"
    );
    sleep_until((began + ADMIT_ALL_TIME).min(end)).await;
    instance.shutdown.send_replace(ShutdownPhase::Closing);
    let is_busy = || instance.callers.len() > 0 || instance.open_tunnels.get() > 0;
    while is_busy() && instance.now() < end {
        sleep_until(instance.now() + STOP_POLL).await;
    }
    tracing::info!(
        connections = instance.callers.len(),
        elapsed_ms = instance.now().since(began).get(),
        "stopped"
    );
}
