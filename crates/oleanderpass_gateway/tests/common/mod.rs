//! Configurations, servers and gateways for tests.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]
#![allow(dead_code, reason = "each test file uses only some of the items")]

pub(crate) mod engines;
pub(crate) mod fleet;
pub(crate) mod store;

use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use oleanderpass_gateway::backend::AnnouncedState;
use oleanderpass_gateway::backend::Announcement;
use oleanderpass_gateway::cold::ColdBound;
use oleanderpass_gateway::config::CallerLimits;
use oleanderpass_gateway::config::Configuration;
use oleanderpass_gateway::config::Organisation;
use oleanderpass_gateway::config::Service;
use oleanderpass_gateway::engine::EngineModel;
use oleanderpass_gateway::gateway::Attempt;
use oleanderpass_gateway::gateway::Bounds;
use oleanderpass_gateway::gateway::Gateway;
use oleanderpass_gateway::gateway::Next;
use oleanderpass_gateway::gateway::Request;
use oleanderpass_gateway::gateway::RequestSpec;
use oleanderpass_gateway::route::Route;
use oleanderpass_gateway::route::RouteKind;
use oleanderpass_gateway::route::WeightedService;
use oleanderpass_membership::membership::Identity;
use oleanderpass_proto::peer::MemberState;
use oleanderpass_proto::peer::MemberUpdate;
use oleanderpass_proto::peer::Packet;
use oleanderpass_quarantine::evidence::Signature;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Generation;
use oleanderpass_types::id::Incarnation;
use oleanderpass_types::size::Bytes;
use oleanderpass_types::size::Tokens;
use smol_str::SmolStr;

pub(crate) const HOST: &str = "shop.example";
pub(crate) const KEY: &str = "key-1";

/// Return the time `ms` milliseconds after the start of a test.
pub(crate) fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + ms)
}

pub(crate) fn engine() -> EngineModel {
    EngineModel {
        slots: 16,
        memory: Tokens::new(232_000),
        prefill_tokens_per_ms: 206.0,
        ms_per_million_pairs: 0.138,
        step_ms: 1.02,
        steps_per_pass: 43,
    }
}

pub(crate) fn route(name: &str, kind: RouteKind, service: &str) -> Route {
    Route {
        name: name.into(),
        host: HOST.into(),
        prefix: format!("/{name}/").into(),
        kind,
        services: vec![WeightedService {
            service: service.parse().unwrap(),
            weight: 1,
        }],
        timeout: Millis::new(10_000),
        objective: Millis::new(300),
        gap: kind.is_stream().then_some(Millis::new(250)),
        max_attempts: if kind == RouteKind::NonIdempotent {
            1
        } else {
            2
        },
        priority: 1,
        anonymous: false,
        homes: None,
    }
}

pub(crate) fn configuration(version: u64, keys: &[&str]) -> Configuration {
    configuration_with(version, keys, engine())
}

/// Return the route of long prompts.
fn review_route() -> Route {
    Route {
        timeout: Millis::new(15_000),
        objective: Millis::new(3_000),
        gap: Some(Millis::new(1_000)),
        ..route("review", RouteKind::ResumableStream, "engines")
    }
}

/// Return a configuration whose engines have these properties.
pub(crate) fn configuration_with(
    version: u64,
    keys: &[&str],
    engine: EngineModel,
) -> Configuration {
    let holder = Rc::new(Organisation {
        id: "opticians".parse().unwrap(),
        priority: None,
        homes: None,
    });
    let mut services = IndexMap::new();
    let model = Service {
        engine: Some(engine),
        cold: None,
    };
    services.insert("engines".parse().unwrap(), model);
    let plain = Service {
        engine: None,
        cold: None,
    };
    services.insert("plain".parse().unwrap(), plain);
    Configuration::new(
        Generation::new(version),
        CallerLimits {
            max_head: Bytes::new(16_384),
            max_body: Bytes::new(4_194_304),
            head_timeout: Millis::new(3_000),
            idle_timeout: Millis::new(15_000),
        },
        services,
        [
            route("chat", RouteKind::ResumableStream, "engines"),
            review_route(),
            route("look", RouteKind::Idempotent, "plain"),
            route("order", RouteKind::NonIdempotent, "plain"),
        ],
        Some(
            keys.iter()
                .map(|key| (SmolStr::new(key), holder.clone()))
                .collect(),
        ),
    )
}

pub(crate) fn server(id: &str, service: &str, incarnation: u64, number: u8) -> Announcement {
    Announcement {
        id: id.parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        service: service.parse().unwrap(),
        addr: SocketAddr::from(([10, 0, 0, number], 8_080)),
        zone: "hafnir".parse().unwrap(),
        slots: 16,
        state: AnnouncedState::Ready,
        cold_left: None,
    }
}

/// Return a gateway that knows `engines` engines and three servers of a plain service, and has served
/// requests.
pub(crate) fn gateway(engines: u8) -> Gateway {
    gateway_named("edge-1", engines)
}

/// Return the same with another name.
pub(crate) fn gateway_named(name: &str, engines: u8) -> Gateway {
    let mut gateway = started_gateway(name, engines);
    // Their deposits fill the retry budgets.
    for _ in 0..100 {
        for path in ["/look/0", "/chat/0"] {
            begin(&mut gateway, at(0), path, 0);
        }
    }
    gateway
}

/// Return the same before its first request.
pub(crate) fn started_gateway(name: &str, engines: u8) -> Gateway {
    let identity = Identity {
        id: name.parse().unwrap(),
        incarnation: Incarnation::new(1),
        zone: "hafnir".parse().unwrap(),
        addr: "10.0.1.1:7340".parse().unwrap(),
    };
    let bounds = Bounds {
        retry_ratio: 0.2,
        retry_slack: 102,
        evacuation: Millis::ZERO,
        cold: ColdBound::default(),
    };
    let mut gateway = Gateway::new(at(0), identity, Vec::new(), bounds, 7);
    gateway.on_configuration(configuration(1, &[KEY]));
    let mut list = Vec::new();
    for number in 0..engines {
        let id = format!("e{number}");
        list.push((
            id.parse().unwrap(),
            5.into(),
            Some(server(&id, "engines", 1, number)),
        ));
    }
    for number in 0..3 {
        let id = format!("p{number}");
        list.push((
            id.parse().unwrap(),
            5.into(),
            Some(server(&id, "plain", 1, 200 + number)),
        ));
    }
    gateway.on_list(at(0), 10, list);
    gateway
}

/// Admit a request with a prompt of this length, and begin to serve it.
pub(crate) fn begin(gateway: &mut Gateway, now: Timestamp, path: &str, prompt: u64) -> Request {
    let admission = gateway.admit(now, HOST, path, Some(KEY), 0).unwrap();
    let spec = RequestSpec {
        id: "a1".into(),
        host: HOST.into(),
        path: path.into(),
        key: Some(KEY.into()),
        prompt: Tokens::new(prompt),
        max_output: Tokens::new(1_000),
        shared_parts: Vec::new(),
        received: now,
        deadline: now + Millis::new(10_000),
        signature: Signature(1),
    };
    gateway.begin(spec, admission, 0)
}

/// Return the attempt to send, or fail the test.
pub(crate) fn attempt(next: Next) -> Attempt {
    match next {
        Next::Send(attempt) => *attempt,
        other => panic!("not sent: {other:?}"),
    }
}

/// Return the status of a request that ends, or fail the test.
pub(crate) fn status(next: Next) -> u16 {
    match next {
        Next::End { status, .. } => status,
        other => panic!("not ended: {other:?}"),
    }
}

/// Report the instance `name` as alive to `one`, so that `one` sends bulletins to it.
pub(crate) fn introduce(one: &mut Gateway, name: &str) {
    let update = MemberUpdate {
        instance: name.to_owned(),
        incarnation: 1,
        sequence: 0,
        state: MemberState::Alive.into(),
        zone: "hafnir".to_owned(),
        addr: "10.0.1.1:7340".to_owned(),
    };
    let hello = Packet {
        from: name.to_owned(),
        incarnation: 1,
        members: vec![update],
        ..Packet::default()
    };
    let source = "10.0.1.1:7340".parse().unwrap();
    one.on_packet(at(0), source, &hello, &mut Vec::new());
}
