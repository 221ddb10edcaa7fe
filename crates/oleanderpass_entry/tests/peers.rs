//! Guard against peers that can't communicate, messages of unauthenticated senders that are
//! accepted, and operator pages that don't show the state of the core.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

mod support;

use std::net::UdpSocket;

use oleanderpass_proto::peer::FetchDocumentRequest;
use oleanderpass_proto::peer::ForwardRequest;
use oleanderpass_proto::peer::LeaseQuotaRequest;
use oleanderpass_proto::peer::peer_client::PeerClient;
use oleanderpass_proto::settings::Limits;
use support::Entry;
use support::ScriptedServer;
use support::closed_port;
use support::exchange;
use support::settings;
use support::spawn_entry;
use support::start_instance;
use tonic::Code;

fn start() -> (Entry, ScriptedServer) {
    let server = ScriptedServer::spawn();
    let entry = spawn_entry(server.addr, server.addr, Limits::default());
    (entry, server)
}

/// Guards against an instance that can't start while the platform is down.
#[test]
fn document_is_fetched_from_a_peer() {
    let (entry, _server) = start();
    let (_socket, platform) = closed_port();
    let mut settings = settings("hafnir-2", platform, Limits::default());
    settings.seeds = vec![entry.addrs.peer.to_string()];
    let other = start_instance(&settings);
    let (status, head, _) = other.call("GET /v1/models", &[], b"");
    assert_eq!(status, 200);
    assert!(head.contains("oleanderpass-generation: 7"), "{head}");
    let metrics = other.metrics();
    assert!(
        metrics.contains("oleanderpass_peers{state=\"alive\"} 1"),
        "{metrics}"
    );
}

/// Guards against operator pages that are missing or contradict the core's state.
#[test]
fn operator_pages_show_the_state_of_the_core() {
    let (entry, _server) = start();
    let page = |path: &str| exchange(entry.addrs.operator, &format!("GET {path}"), &[], b"");
    assert_eq!(page("/healthz").0, 200);
    assert_eq!(page("/unknown").0, 404);
    let status: serde_json::Value = serde_json::from_str(&page("/status").2).unwrap();
    assert_eq!(status["generation"], 7);
    assert_eq!(status["ready"], true);
    assert!(page("/metrics").2.contains("oleanderpass_generation 7"));
}

/// Guards against an instance that runs or answers calls without a proof.
#[tokio::test(flavor = "multi_thread")]
async fn calls_without_a_proof_are_rejected() {
    let (entry, server) = tokio::task::spawn_blocking(start).await.unwrap();
    let url = format!("http://{}", entry.addrs.peer);
    let mut client = PeerClient::connect(url).await.unwrap();
    let forward = client.forward(ForwardRequest::default()).await.unwrap_err();
    let fetch = client.fetch_document(FetchDocumentRequest::default());
    let fetch = fetch.await.unwrap_err();
    let lease = client.lease_quota(LeaseQuotaRequest::default());
    let lease = lease.await.unwrap_err();
    for status in [forward, fetch, lease] {
        assert_eq!(status.code(), Code::Unauthenticated);
    }
    let metrics = entry.metrics();
    let counter = "oleanderpass_rejected_peer_messages_total{reason=\"missing\"} 3";
    assert!(metrics.contains(counter), "{metrics}");
    assert!(!server.has_more());
}

/// Guards against unauthenticated datagrams that no metric counts.
#[test]
fn unauthenticated_datagrams_are_counted() {
    let (entry, _server) = start();
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    let counter = "oleanderpass_rejected_peer_messages_total{reason=\"hmac\"}";
    let is_counted = (0..500).any(|_| {
        sender.send_to(&[7; 100], entry.addrs.peer).unwrap();
        std::thread::sleep(std::time::Duration::from_millis(10));
        entry.metrics().contains(counter)
    });
    assert!(is_counted);
}
