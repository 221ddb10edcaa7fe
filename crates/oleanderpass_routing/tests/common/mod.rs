//! Build engines, views and requests for the tests.
#![allow(dead_code, reason = "each test file uses only some helpers")]
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use oleanderpass_routing::request::Prefix;
use oleanderpass_routing::request::Request;
use oleanderpass_routing::view::EngineSpec;
use oleanderpass_routing::view::Server;
use oleanderpass_routing::view::View;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::BackendServerId;
use oleanderpass_types::size::Tokens;

pub(crate) fn engine(number: u32) -> BackendServerId {
    format!("e{number:02}").parse().unwrap()
}

pub(crate) fn server(number: u32, zone: &str) -> Server {
    let spec = EngineSpec {
        memory: Tokens::new(450_000),
        prefill_per_s: Tokens::new(20_000),
        token_time: Millis::new(25),
        concurrent_requests: 64,
    };
    Server::new(engine(number), zone.parse().unwrap(), spec)
}

pub(crate) fn view(engines: u32) -> View {
    let mut view = View::new("z1".parse().unwrap());
    for number in 0..engines {
        view.upsert(server(number, "z1"));
    }
    view.refresh();
    view
}

pub(crate) fn prefixes(lengths: &[u64]) -> Vec<Prefix> {
    lengths
        .iter()
        .map(|length| Prefix {
            hash: length.wrapping_mul(0x2545_f491_4f6c_dd1d),
            tokens: Tokens::new(*length),
        })
        .collect()
}

pub(crate) fn request(prompt: u64) -> Request<'static> {
    Request {
        prompt: Tokens::new(prompt),
        expected_output: Tokens::new(200),
        prefixes: &[],
        deadline: Timestamp::from_millis(300_000),
        urgent: false,
        excluded: &[],
    }
}
