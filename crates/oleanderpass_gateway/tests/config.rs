//! Test how requests match routes and keys.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use oleanderpass_gateway::config::UnknownKey;
use oleanderpass_gateway::route::RouteKind;
use test_case::test_case;

use crate::common::HOST;
use crate::common::KEY;
use crate::common::configuration;
use crate::common::route;

/// Guards against a request that matches a route of another host or path.
#[test_case(HOST, "/chat/x", Some("chat"); "prefix")]
#[test_case(HOST, "/chat/x/y?z=/look/", Some("chat"); "slash in the query")]
#[test_case(HOST, "/chat", None; "prefix without its slash")]
#[test_case(HOST, "/other/chat/", None; "prefix in the middle")]
#[test_case("other.example", "/chat/x", None; "other host")]
fn route_of_a_request(host: &str, path: &str, expected: Option<&str>) {
    let config = configuration(1, &[KEY]);
    let found = config.route(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

/// Guards against a request that matches a route with a shorter prefix.
#[test]
fn longest_prefix_wins() {
    let config = configuration(1, &[KEY]);
    let mut inner = route("inner", RouteKind::Idempotent, "plain");
    inner.prefix = "/chat/deep/".into();
    let outer = route("chat", RouteKind::Stream, "engines");
    let config = oleanderpass_gateway::config::Configuration::new(
        config.version,
        config.limits,
        config.services.clone(),
        [outer, inner],
        None,
    );
    let name = |path| config.route(HOST, path).unwrap().name.clone();
    assert_eq!(name("/chat/deep/x"), "inner");
    assert_eq!(name("/chat/deep"), "chat");
}

/// Guards against an unknown or missing key on a route that needs one.
#[test]
fn key_identifies_the_organisation() {
    let config = configuration(1, &[KEY]);
    let mut route = route("chat", RouteKind::Stream, "engines");
    let holder = config.authenticate(&route, Some(KEY)).unwrap().unwrap();
    assert_eq!(holder.id.as_str(), "opticians");
    assert_eq!(config.authenticate(&route, Some("other")), Err(UnknownKey));
    assert_eq!(config.authenticate(&route, None), Err(UnknownKey));
    route.anonymous = true;
    assert_eq!(config.authenticate(&route, None), Ok(None));
}
