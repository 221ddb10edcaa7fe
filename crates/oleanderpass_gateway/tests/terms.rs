//! Test that a configuration which comes into force while a request is served only narrows what the
//! request may still do.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::rc::Rc;

use oleanderpass_gateway::config::Configuration;
use oleanderpass_gateway::config::Organisation;
use oleanderpass_gateway::gateway::AttemptEnd;
use oleanderpass_gateway::gateway::Gateway;
use oleanderpass_gateway::gateway::Next;
use oleanderpass_gateway::gateway::Rejection;
use oleanderpass_gateway::gateway::Request;
use oleanderpass_gateway::route::Route;
use oleanderpass_gateway::route::RouteKind;
use oleanderpass_gateway::route::RouteKind::Idempotent;
use oleanderpass_gateway::route::RouteKind::NonIdempotent;
use oleanderpass_gateway::route::RouteKind::ResumableStream;
use oleanderpass_gateway::route::RouteKind::Stream;
use oleanderpass_gateway::terms::Field;
use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::Generation;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smol_str::SmolStr;
use strum::IntoEnumIterator;
use test_case::test_case;

use crate::common::KEY;
use crate::common::at;
use crate::common::attempt;
use crate::common::begin;
use crate::common::configuration;
use crate::common::gateway;
use crate::common::route;

/// The nested prefixes below which the path of the requests lies.
const PREFIXES: [&str; 3] = ["/a/", "/a/b/", "/a/b/c/"];
const PATH: &str = "/a/b/c/1";

/// Return the route of a prefix.
fn nested(prefix: &str, kind: RouteKind, max_attempts: u32) -> Route {
    Route {
        prefix: prefix.into(),
        max_attempts,
        ..route("a", kind, "plain")
    }
}

fn organisation(name: &str) -> Rc<Organisation> {
    Rc::new(Organisation {
        id: name.parse().unwrap(),
        priority: None,
        homes: None,
    })
}

/// Put a version in force that has these routes, and in which this organisation holds the key.
fn put(gateway: &mut Gateway, version: u64, routes: Vec<Route>, holder: &str) {
    let usual = configuration(version, &[KEY]);
    let holders = [(SmolStr::new(KEY), organisation(holder))];
    let config = Configuration::new(
        Generation::new(version),
        usual.limits,
        usual.services,
        routes,
        Some(holders.into_iter().collect()),
    );
    gateway.on_configuration(config);
}

/// Send the next attempt of a request and let it end.
fn run_once(gateway: &mut Gateway, ms: u64, req: &mut Request, end: AttemptEnd) {
    let sent = attempt(gateway.next(at(ms), req));
    gateway.on_sent(req, &sent);
    gateway.on_attempt_end(at(ms + 100), req, &sent, end);
}

/// Guards against a second run of a request that may have run, because a configuration that came into
/// force meanwhile selects a route of another kind, above or below the one it ran under.
#[test_case(NonIdempotent, Idempotent, false)]
#[test_case(Stream, ResumableStream, false)]
#[test_case(Idempotent, NonIdempotent, false)]
#[test_case(ResumableStream, Stream, false)]
#[test_case(NonIdempotent, ResumableStream, false)]
#[test_case(Idempotent, Idempotent, true)]
#[test_case(ResumableStream, ResumableStream, true)]
fn lost_answer_is_judged_by_what_ran(before: RouteKind, now: RouteKind, may_repeat: bool) {
    for nested_deeper in [false, true] {
        let (outer, inner) = (PREFIXES[0], PREFIXES[1]);
        let mut gateway = gateway(2);
        let (first, second) = match nested_deeper {
            true => (
                vec![nested(outer, before, 3)],
                vec![nested(outer, before, 3), nested(inner, now, 3)],
            ),
            false => (
                vec![nested(outer, now, 3), nested(inner, before, 3)],
                vec![nested(outer, now, 3)],
            ),
        };
        put(&mut gateway, 5, first, "opticians");
        let mut req = begin(&mut gateway, at(0), PATH, 0);
        let sent = attempt(gateway.next(at(0), &mut req));
        gateway.on_sent(&mut req, &sent);
        put(&mut gateway, 7, second, "opticians");
        assert_eq!(gateway.may_hedge(&req), may_repeat);
        gateway.on_attempt_end(at(100), &mut req, &sent, AttemptEnd::Broken);
        let next = gateway.next(at(100), &mut req);
        assert_eq!(matches!(next, Next::Send(_)), may_repeat, "{next:?}");
    }
}

/// Guards against a later version that widens the limits of a request, and against one that can't
/// narrow them any more.
#[test_case(3, 2, 2; "fewer attempts")]
#[test_case(2, 3, 2; "more attempts")]
fn attempts_are_narrowed(before: u32, now: u32, allowed: usize) {
    let mut gateway = gateway(2);
    put(
        &mut gateway,
        5,
        vec![nested("/a/", Idempotent, before)],
        "opticians",
    );
    let mut req = begin(&mut gateway, at(0), PATH, 0);
    run_once(&mut gateway, 0, &mut req, AttemptEnd::Refused);
    put(
        &mut gateway,
        7,
        vec![nested("/a/", Idempotent, now)],
        "opticians",
    );
    let mut sent = 1;
    while matches!(gateway.next(at(200), &mut req), Next::Send(_)) {
        run_once(&mut gateway, 200, &mut req, AttemptEnd::Refused);
        sent += 1;
    }
    assert_eq!(sent, allowed);
}

/// Guards against a request that is served beyond the timeout of its route in any version.
#[test_case(10_000, 2_000)]
#[test_case(2_000, 10_000)]
fn deadline_is_narrowed(before_ms: u64, now_ms: u64) {
    let mut gateway = gateway(2);
    let with_timeout = |ms| Route {
        timeout: Millis::new(ms),
        ..nested("/a/", Idempotent, 3)
    };
    put(&mut gateway, 5, vec![with_timeout(before_ms)], "opticians");
    let mut req = begin(&mut gateway, at(0), PATH, 0);
    req.spec.deadline = at(before_ms);
    run_once(&mut gateway, 0, &mut req, AttemptEnd::Broken);
    put(&mut gateway, 7, vec![with_timeout(now_ms)], "opticians");
    let next = gateway.next(at(1_990), &mut req);
    assert!(matches!(next, Next::Send(_)), "{next:?}");
    assert_eq!(req.spec.deadline, at(2_000));
}

/// Guards against a second run for another organisation than the first, and against a request that
/// goes on although its key or route was taken away.
#[test_case(AttemptEnd::Broken, "others", Some(Rejection::UnknownKey); "has run for another")]
#[test_case(AttemptEnd::Refused, "others", None; "has not run")]
#[test_case(AttemptEnd::Broken, "opticians", None; "same holder")]
#[test_case(AttemptEnd::Broken, "", Some(Rejection::NoRoute); "route is gone")]
fn later_version_still_forbids(end: AttemptEnd, holder: &str, rejection: Option<Rejection>) {
    let mut gateway = gateway(2);
    put(
        &mut gateway,
        5,
        vec![nested("/a/", Idempotent, 3)],
        "opticians",
    );
    let mut req = begin(&mut gateway, at(0), PATH, 0);
    run_once(&mut gateway, 0, &mut req, end);
    match holder {
        "" => put(
            &mut gateway,
            7,
            vec![nested("/z/", Idempotent, 3)],
            "opticians",
        ),
        _ => put(&mut gateway, 7, vec![nested("/a/", Idempotent, 3)], holder),
    }
    match (gateway.next(at(200), &mut req), rejection) {
        (Next::Send(_), None) => {}
        (Next::Rejected(found), Some(expected)) => assert_eq!(found, expected),
        (next, _) => panic!("{next:?}"),
    }
}

/// Return the routes of a random version. Some don't match the path.
fn random_routes(rng: &mut Pcg64Mcg) -> Vec<Route> {
    let kinds = [Idempotent, NonIdempotent, ResumableStream, Stream];
    let mut routes = Vec::new();
    for prefix in PREFIXES {
        if rng.random_range(0..3) > 0 {
            let kind = kinds[rng.random_range(0..kinds.len())];
            routes.push(nested(prefix, kind, rng.random_range(1..4)));
        }
    }
    routes
}

/// Return the route that selects the path.
fn selected(routes: &[Route]) -> Option<&Route> {
    routes.iter().max_by_key(|route| route.prefix.len())
}

/// Guards against any order of versions and attempts in which a request runs twice that one of these
/// versions allows to run once, or is sent to more servers than one of them allows.
#[test]
fn random_versions_never_widen_a_request() {
    const HISTORIES: u64 = 2_000;
    let (mut repeated, mut barred) = (0, 0);
    for seed in 0..HISTORIES {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut gateway = gateway(2);
        let mut routes = vec![nested("/a/", Idempotent, 3)];
        routes.extend(random_routes(&mut rng));
        routes.dedup_by(|one, other| one.prefix == other.prefix);
        put(&mut gateway, 5, routes.clone(), "opticians");
        let mut req = begin(&mut gateway, at(0), PATH, 0);
        let first = selected(&routes).unwrap().clone();
        let (mut repeats, mut attempts) = (first.kind.may_repeat(), first.max_attempts);
        let (mut kind, mut runs, mut sent) = (first.kind, 0, 0);
        for step in 0..8 {
            let ms = 100 * step;
            if rng.random_bool(0.6) {
                routes = random_routes(&mut rng);
                put(&mut gateway, 7 + step, routes.clone(), "opticians");
            }
            let next = gateway.next(at(ms), &mut req);
            let Some(route) = selected(&routes) else {
                assert!(
                    matches!(next, Next::Rejected(Rejection::NoRoute)),
                    "seed {seed}"
                );
                break;
            };
            repeats &= route.kind == kind;
            kind = route.kind;
            attempts = attempts.min(route.max_attempts);
            let Next::Send(planned) = next else {
                barred += 1;
                break;
            };
            // Another version may come into force before the first byte is written.
            if rng.random_bool(0.2) {
                put(&mut gateway, 100 + step, routes.clone(), "opticians");
            }
            if !gateway.may_send(at(ms), &req, &planned) {
                gateway.on_attempt_end(at(ms), &mut req, &planned, AttemptEnd::StaleConnection);
                break;
            }
            gateway.on_sent(&mut req, &planned);
            sent += 1;
            assert!(
                sent <= attempts,
                "seed {seed}: {sent} of {attempts} servers"
            );
            assert!(runs == 0 || repeats, "seed {seed}: run {}", runs + 1);
            repeated += u64::from(runs > 0);
            let ends = [AttemptEnd::Broken, AttemptEnd::Refused, AttemptEnd::Silent];
            let end = ends[rng.random_range(0..ends.len())];
            runs += u64::from(end != AttemptEnd::Refused);
            gateway.on_attempt_end(at(ms + 50), &mut req, &planned, end);
        }
    }
    assert!(repeated > 50, "{repeated} repeats of {HISTORIES} histories");
    assert!(barred > 500, "{barred} of {HISTORIES} histories are barred");
}

/// Guards against a page that tells operators something else than the code does.
#[test]
fn page_lists_who_decides_each_field() {
    let page = include_str!("../../../docs/design/admission-terms.md");
    for field in Field::iter() {
        let row = format!("| `{field}` | {} |", field.decider());
        assert!(page.contains(&row), "no row {row}");
    }
}
