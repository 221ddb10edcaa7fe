//! Serve the internal HTTP endpoints: readiness for the balancer, metrics, status and explanations
//! for operators, and the copy of the store and tunnels to backend servers for peers.

use std::convert::Infallible;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::ACCEPT_ENCODING;
use http::header::CONTENT_ENCODING;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use oleanderpass_gateway::callers::Phase;
use oleanderpass_gateway::configuration_encoding::Encoding;
use oleanderpass_gateway::configuration_history::Accepted;
use oleanderpass_gateway::gateway::ConfigurationRequest;
use oleanderpass_gateway::gateway::ServedConfiguration;
use oleanderpass_gateway::readiness::Readiness;
use oleanderpass_gateway::readiness::Reason;
use oleanderpass_platform::READINESS_PATH;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::size::Bytes as Size;
use prost::Message;
use strum::IntoEnumIterator;

use crate::clock::sleep_until;
use crate::endpoints;
use crate::endpoints::Endpoint;
use crate::explain;
use crate::instance::SharedInstance;
use crate::notices;
use crate::notices::PAUSE_PATH;
use crate::relay;
use crate::served_body::ServedBody;

const METRICS_PATH: &str = "/metrics";
const STATUS_PATH: &str = "/status";

/// The path of the copy of the platform's store, for peers. The query is the position after which
/// they want changes.
pub(crate) const STORE_COPY_PATH: &str = "/store";

/// A header with which a peer asks for a copy of the store without a large configuration.
pub(crate) const SEPARATE_CONFIGURATION: HeaderName =
    HeaderName::from_static("separate-configuration");

/// The path of the configuration in force, for peers. The query is the version that they have.
pub(crate) const CONFIGURATION_COPY_PATH: &str = "/store/configuration";

/// The position of the configuration in the platform's store.
pub(crate) const STORE_POSITION: HeaderName = HeaderName::from_static("store-position");

/// The digest of the version that a peer has, which the answer may use as a dictionary. Source:
/// RFC 9842.
pub(crate) const AVAILABLE_DICTIONARY: HeaderName = HeaderName::from_static("available-dictionary");

/// The digest of the configuration before it was encoded. Source: the HTTP extension
/// `draft-ietf-httpbis-unencoded-digest`.
pub(crate) const UNENCODED_DIGEST: HeaderName = HeaderName::from_static("unencoded-digest");

/// What precedes the digest in [`UNENCODED_DIGEST`].
pub(crate) const DIGEST_ALGORITHM: &str = "sha-256=";

/// The pause after a failure to accept a connection.
const ACCEPT_PAUSE: Millis = Millis::new(10);

/// Whether a listener accepts requests for tunnels to backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tunnels {
    /// It does, as it is for peers.
    Accepted,
    /// It doesn't.
    Refused,
}

/// Serve all internal endpoints on one of the addresses until the process ends.
pub(crate) async fn run(instance: SharedInstance, endpoint: Endpoint, tunnels: Tunnels) {
    let listener = endpoints::listen(&instance, endpoint).await;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "could not accept a connection");
                sleep_until(instance.now() + ACCEPT_PAUSE).await;
                continue;
            }
        };
        let instance = instance.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|req| {
                let instance = instance.clone();
                async move {
                    let answer = if tunnels == Tunnels::Accepted && relay::is_connect(&req) {
                        relay::serve(&instance, req).await.map(ServedBody::from)
                    } else if tunnels == Tunnels::Accepted && req.uri().path() == PAUSE_PATH {
                        match notices::on_peer_pause(&instance, &req) {
                            true => empty_answer(StatusCode::OK),
                            false => empty_answer(StatusCode::BAD_REQUEST),
                        }
                    } else {
                        answer(&instance, &req)
                    };
                    Ok::<_, Infallible>(answer)
                }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.with_upgrades().await {
                tracing::debug!(%error, "a connection ended");
            }
        });
    }
}

/// Answer a request.
fn answer(instance: &SharedInstance, req: &Request<Incoming>) -> Response<ServedBody> {
    let (status, body) = match req.uri().path() {
        READINESS_PATH => {
            let readiness = instance.readiness();
            let status = match readiness.is_ready() {
                true => StatusCode::OK,
                false => StatusCode::SERVICE_UNAVAILABLE,
            };
            let text = describe(instance.now(), &readiness);
            (status, Bytes::from(text).into())
        }
        METRICS_PATH => {
            let (status, text) = metrics(instance);
            (status, text.into())
        }
        STATUS_PATH => (StatusCode::OK, Bytes::from(status(instance)).into()),
        explain::PATH if req.method() == Method::GET => {
            let (status, text) = explain::answer(instance, req.headers(), req.uri().query());
            (status, Bytes::from(text).into())
        }
        STORE_COPY_PATH => {
            // Without a position, the peer gets everything.
            let after = req.uri().query().and_then(|query| query.parse().ok());
            let after = after.unwrap_or_default();
            let (now, gateway) = (instance.now(), instance.gateway.borrow());
            let changes = if req.headers().contains_key(SEPARATE_CONFIGURATION) {
                gateway.store_changes_without_large_configuration(now, after)
            } else if gateway.misses_configuration() {
                // The peer would take this copy for a complete one.
                return empty_answer(StatusCode::SERVICE_UNAVAILABLE);
            } else {
                gateway.store_changes(now, after)
            };
            (StatusCode::OK, Bytes::from(changes.encode_to_vec()).into())
        }
        CONFIGURATION_COPY_PATH => return configuration(instance, req),
        _ => (StatusCode::NOT_FOUND, ServedBody::default()),
    };
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
}

/// Return a line for each thing that the instance lacks.
fn describe(now: Timestamp, readiness: &Readiness) -> String {
    let lines = readiness.describe(now);
    lines.fold(String::new(), |text, line| text + &line + "\n")
}

/// Return an answer without a body.
fn empty_answer(status: StatusCode) -> Response<ServedBody> {
    let mut answer = Response::new(ServedBody::default());
    *answer.status_mut() = status;
    answer
}

/// Return what a peer that asks for a configuration has already. One of an older build accepts no
/// encoding.
fn configuration_request(req: &Request<Incoming>) -> ConfigurationRequest {
    let version = req.uri().query().and_then(|query| query.parse().ok());
    let text = |name: HeaderName| {
        req.headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let encodings = text(ACCEPT_ENCODING).unwrap_or_default();
    let accepts = |encoding: Encoding| {
        let mut names = encodings.split(',').map(str::trim);
        names.any(|name| name.parse() == Ok(encoding))
    };
    let dictionary = text(AVAILABLE_DICTIONARY).filter(|_| accepts(Encoding::Dcz));
    ConfigurationRequest {
        version: version.unwrap_or_default(),
        accepted: Accepted {
            zstd: accepts(Encoding::Zstd),
            dictionary: dictionary.and_then(|digest| digest.parse().ok()),
        },
    }
}

/// Answer a peer that asks for the configuration in force here.
fn configuration(instance: &SharedInstance, req: &Request<Incoming>) -> Response<ServedBody> {
    let now = instance.now();
    let served = instance
        .gateway
        .borrow_mut()
        .serve_configuration(now, configuration_request(req));
    match served {
        ServedConfiguration::Copy(encoded, slot) => {
            let body = ServedBody::copy(encoded.body, instance.clone(), slot);
            let mut answer = Response::new(body);
            let encoding = encoded.encoding;
            let encoding = (encoding != Encoding::Identity).then(|| encoding.to_string());
            let digest = encoded.digest;
            let digest = digest.map(|digest| format!("{DIGEST_ALGORITHM}{digest}"));
            for (name, value) in [
                (STORE_POSITION, Some(encoded.position.to_string())),
                (CONTENT_ENCODING, encoding),
                (UNENCODED_DIGEST, digest),
            ] {
                if let Some(value) = value.and_then(|value| HeaderValue::try_from(value).ok()) {
                    answer.headers_mut().insert(name, value);
                }
            }
            answer
        }
        ServedConfiguration::Busy => empty_answer(StatusCode::SERVICE_UNAVAILABLE),
        ServedConfiguration::NotNewer => empty_answer(StatusCode::NOT_FOUND),
    }
}

/// Return the status and the body of the answer to a read of the metrics.
fn metrics(instance: &SharedInstance) -> (StatusCode, Bytes) {
    let metrics = &instance.metrics;
    let answer_memory = instance.memory.used().get();
    metrics.answer_memory.set(answer_memory as i64);
    let evacuated = instance.gateway.borrow().evacuations().in_force().count();
    metrics.evacuated_zones.set(evacuated as i64);
    let home_refusals = instance.gateway.borrow().homes().refused();
    let counted = metrics.home_refusals.get();
    let new_refusals = home_refusals.saturating_sub(counted);
    metrics.home_refusals.inc_by(new_refusals);
    let cold_servers = instance
        .gateway
        .borrow()
        .cold_servers()
        .count(instance.now());
    metrics.cold_servers.set(cold_servers as i64);
    let paused_servers = instance.gateway.borrow().pauses().count(instance.now());
    metrics.paused_servers.set(paused_servers as i64);
    let ramping_servers = instance.gateway.borrow().paces().count();
    metrics.ramping_servers.set(ramping_servers as i64);
    let ended = instance.gateway.borrow_mut().take_ended_ramps();
    for (cause, count) in ended {
        let label = cause.to_string();
        metrics
            .ended_ramps
            .with_label_values(&[&label])
            .inc_by(count);
    }
    let readiness = instance.readiness();
    metrics.ready.set(i64::from(readiness.is_ready()));
    for reason in Reason::iter() {
        let label: &str = reason.into();
        let gauge = metrics.lacks.with_label_values(&[label]);
        gauge.set(i64::from(readiness.has(reason)));
    }
    drop(readiness);
    for (name, size) in memory_by_use(instance) {
        let gauge = metrics.memory.with_label_values(&[name]);
        gauge.set(size.get() as i64);
    }
    for phase in Phase::iter() {
        let (count, _) = instance.callers.in_phase(phase);
        let label: &str = phase.into();
        let gauge = metrics.caller_connections.with_label_values(&[label]);
        gauge.set(count as i64);
    }
    match metrics.encode() {
        Ok(text) => (StatusCode::OK, text.into()),
        Err(error) => {
            tracing::error!(error = format!("{error:#}"), "could not encode the metrics");
            (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

/// Return the memory that is taken, by use.
fn memory_by_use(instance: &SharedInstance) -> [(&'static str, Size); 4] {
    let connections = instance.callers.connection_memory();
    let (_, uploads) = instance.callers.in_phase(Phase::Upload);
    let (_, bodies) = instance.callers.in_phase(Phase::Answer);
    let used = instance.memory.used();
    let answers = used.saturating_sub(connections + uploads + bodies);
    [
        ("connections", connections),
        ("uploads", uploads),
        ("bodies", bodies),
        ("answers", answers),
    ]
}

/// Return the line of the status about callers.
fn caller_status(instance: &SharedInstance) -> String {
    let mut text = format!("callers: {} connections", instance.callers.len());
    for phase in Phase::iter() {
        let (count, _) = instance.callers.in_phase(phase);
        text += &format!(" {phase} {count}");
    }
    text += &format!(
        " memory {} of {}",
        instance.memory.used(),
        instance.memory.limit()
    );
    for (name, size) in memory_by_use(instance) {
        text += &format!(" {name} {size}");
    }
    text + "\n"
}

/// Return the state of the instance as text, with one `key: value` pair per line and one line per
/// thing that it lacks, evacuated zone, refused prompt part and backend server.
fn status(instance: &SharedInstance) -> String {
    let (is_ready, lacks) = {
        let readiness = instance.readiness();
        (readiness.is_ready(), describe(instance.now(), &readiness))
    };
    let gateway = instance.gateway.borrow();
    let now = instance.now();
    let version = gateway
        .configuration()
        .map_or(0, |config| config.version.get());
    let mut text = format!(
        "instance: {}\nbuild: {}\nready: {is_ready}\n{lacks}config_version: {version}\nstore_era: {}\nstore_revision: {}\npeers: {}\n",
        instance.settings.instance,
        instance.build,
        gateway.store_position().era,
        gateway.store_position().revision,
        gateway.fleet().live_peers(now).count(),
    );
    for (zone, evacuation) in gateway.evacuations().in_force() {
        let age = evacuation.age(now);
        let age = age.map_or_else(|| "unknown".to_owned(), |age| age.to_string());
        text += &format!(
            "evacuated_zone: {zone} since {} age {age} known for {}\n",
            evacuation.write,
            now.since(evacuation.learned())
        );
    }
    text += &caller_status(instance);
    for (part, last_crash) in gateway.crashes().refused_parts() {
        let age = now.since(last_crash);
        text += &format!("refused_prompt_part: {part} last crash {age} ago\n");
    }
    for (key, backend) in gateway.registry().iter() {
        let limit = gateway.server_limits().get(key);
        let limit = limit.map_or_else(String::new, |(rate, named)| {
            format!(" limit {rate}/s named {} ago", now.since(named))
        });
        let cold_left = gateway.cold_servers().cold_left(now, key);
        let cold = cold_left.map_or_else(String::new, |left| format!(" cold for {left}"));
        let paused = gateway.pauses().left(now, key);
        let pause = paused.map_or_else(String::new, |left| format!(" paused for {left}"));
        let window = gateway.paces().window(key);
        let pace = window.map_or_else(String::new, |window| format!(" window {window}"));
        let entry = &backend.announcement;
        let region = gateway.homes().region(&entry.zone);
        let region = region.map_or_else(String::new, |region| format!(" region {region}"));
        text += &format!(
            "server: {} {} {} {} for {}{limit}{region}{cold}{pause}{pace}\n",
            entry.id,
            entry.service,
            entry.zone,
            backend.standing,
            now.since(backend.since)
        );
    }
    text
}
