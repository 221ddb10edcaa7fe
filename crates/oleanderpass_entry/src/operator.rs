//! Serve the operator port: metrics, health, readiness and status.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use eyre::WrapErr;
use oleanderpass_types::clock::Millis;
use serde_json::json;
use tiny_http::Header;
use tiny_http::Response;
use tiny_http::Server;

use crate::clock::unix_ms;
use crate::shared::Shared;

/// The content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// The HTTP server for operators, listening but not yet serving.
pub struct OperatorPort {
    server: Server,
}

struct Page {
    status: u16,
    content_type: &'static str,
    body: Vec<u8>,
}

impl OperatorPort {
    /// Listen on an address.
    ///
    /// # Errors
    ///
    /// Return the cause when the address can't be used.
    pub fn bind(addr: SocketAddr) -> eyre::Result<Self> {
        let server = Server::http(addr)
            .map_err(|error| eyre::eyre!("listen for operators on {addr}: {error}"))?;
        Ok(Self { server })
    }

    /// Return the address on which the port listens.
    pub fn addr(&self) -> Option<SocketAddr> {
        self.server.server_addr().to_ip()
    }

    /// Start a thread that serves requests until the process ends.
    ///
    /// # Errors
    ///
    /// Return the cause when the thread can't be started.
    pub fn spawn(self, shared: Arc<Shared>) -> eyre::Result<()> {
        thread::Builder::new()
            .name("operator".to_owned())
            .spawn(move || {
                for req in self.server.incoming_requests() {
                    let page = page_at(&shared, req.url());
                    if let Err(error) = send_page(req, page) {
                        tracing::debug!(%error, "failed to send a response to an operator");
                    }
                }
            })
            .wrap_err("start the operator port")?;
        Ok(())
    }
}

fn send_page(req: tiny_http::Request, page: Page) -> std::io::Result<()> {
    let mut response = Response::from_data(page.body).with_status_code(page.status);
    if let Ok(header) = Header::from_bytes("content-type", page.content_type) {
        response.add_header(header);
    }
    req.respond(response)
}

fn page_at(shared: &Shared, path: &str) -> Page {
    match path {
        "/metrics" => metrics_page(shared),
        "/healthz" if shared.snapshot.borrow().is_live(shared.clock.now()) => {
            text_page(200, "live\n")
        }
        "/healthz" => text_page(503, "the core is stuck\n"),
        "/readyz" if shared.snapshot.borrow().ready => text_page(200, "ready\n"),
        "/readyz" => text_page(503, "not ready\n"),
        "/status" => Page {
            status: 200,
            content_type: "application/json",
            body: status_json(shared),
        },
        _ => text_page(404, "unknown path\n"),
    }
}

fn text_page(status: u16, body: &str) -> Page {
    Page {
        status,
        content_type: "text/plain",
        body: body.into(),
    }
}

fn metrics_page(shared: &Shared) -> Page {
    let snapshot = shared.snapshot.borrow().clone();
    shared.metrics.update(&snapshot);
    match shared.metrics.encode() {
        Ok(body) => Page {
            status: 200,
            content_type: METRICS_CONTENT_TYPE,
            body,
        },
        Err(error) => text_page(500, &format!("encode the metrics: {error}\n")),
    }
}

fn status_json(shared: &Shared) -> Vec<u8> {
    let snapshot = shared.snapshot.borrow().clone();
    let document = snapshot.document.as_ref();
    let status = json!({
        "instance": shared.identity.instance,
        "incarnation": shared.identity.incarnation,
        "zone": shared.identity.zone,
        "unix_ms": unix_ms(),
        "ready": snapshot.ready,
        "in_flight": snapshot.in_flight,
        "connections": shared.metrics.connections.get(),
        "generation": snapshot.generation(),
        "platform_answered_ms_ago": shared.time_since_platform_answer().map(Millis::get),
        "digest": document.map(|document| document.digest.to_string()),
        "counts": *snapshot.counts,
        "environment": document.map(|document| document.environment.name.as_str()),
    });
    let mut body = serde_json::to_vec_pretty(&status).unwrap_or_default();
    body.push(b'\n');
    body
}
