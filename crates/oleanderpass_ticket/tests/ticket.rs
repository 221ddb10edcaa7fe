//! Guards against tickets that are forged, altered or used outside of their scope.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use oleanderpass_ticket::FleetKey;
use oleanderpass_ticket::ticket::Scope;
use oleanderpass_ticket::ticket::Ticket;
use oleanderpass_ticket::ticket::TicketError;
use oleanderpass_types::clock::Timestamp;
use oleanderpass_types::id::Incarnation;
use proptest::prelude::ProptestConfig;
use proptest::prelude::proptest;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const KEY: FleetKey = FleetKey([7; 32]);

fn scope() -> Scope {
    Scope {
        environment: "production".into(),
        organisation: "acme".parse().unwrap(),
        caller: "till".parse().unwrap(),
        route: "charge".parse().unwrap(),
    }
}

fn ticket() -> Ticket {
    Ticket {
        instance: "entry-1".parse().unwrap(),
        incarnation: Incarnation::new(9),
        scope: scope(),
        number: 3,
        expires: Timestamp::from_millis(31_000),
    }
}

#[test]
fn decoding_an_encoded_ticket_returns_the_ticket() {
    assert_eq!(Ticket::decode(&ticket().encode(&KEY), &KEY), Ok(ticket()));
}

#[test]
fn a_ticket_with_the_longest_ids_is_decoded() {
    let long = "x".repeat(64);
    let mut ticket = ticket();
    ticket.instance = long.parse().unwrap();
    ticket.scope = Scope {
        environment: "e".repeat(256).into(),
        organisation: long.parse().unwrap(),
        caller: long.parse().unwrap(),
        route: long.parse().unwrap(),
    };
    assert_eq!(Ticket::decode(&ticket.encode(&KEY), &KEY), Ok(ticket));
}

#[test_case(""; "empty")]
#[test_case("AAAA"; "shorter than the MAC")]
#[test_case("not base64!"; "characters outside of base64url")]
fn a_malformed_text_is_not_authentic(text: &str) {
    assert_eq!(Ticket::decode(text, &KEY), Err(TicketError::NotAuthentic));
}

#[test]
fn a_ticket_of_another_fleet_is_not_authentic() {
    let text = ticket().encode(&FleetKey([8; 32]));
    assert_eq!(Ticket::decode(&text, &KEY), Err(TicketError::NotAuthentic));
}

#[test]
fn a_mac_for_another_purpose_is_invalid() {
    let mac = KEY.sign(b"packet", b"payload");
    assert!(KEY.verify(b"packet", b"payload", &mac));
    assert!(!KEY.verify(b"ticket", b"payload", &mac));
}

#[test_case(|scope| scope.environment = "trial".into(), TicketError::OtherEnvironment)]
#[test_case(|scope| scope.organisation = "other".parse().unwrap(), TicketError::OtherOrganisation)]
#[test_case(|scope| scope.caller = "other".parse().unwrap(), TicketError::OtherCaller)]
#[test_case(|scope| scope.route = "refund".parse().unwrap(), TicketError::OtherRoute)]
fn a_ticket_is_valid_only_for_its_scope(change: fn(&mut Scope), expected: TicketError) {
    let mut other = scope();
    change(&mut other);
    assert_eq!(ticket().check(&scope()), Ok(()));
    assert_eq!(ticket().check(&other), Err(expected));
}

proptest! {
    #![proptest_config(ProptestConfig {
    rng_seed: RngSeed::Fixed(1),
    failure_persistence: None,
    ..ProptestConfig::default()
})]

    /// Guards against an altered owner, scope or expiry.
    #[test]
    fn an_altered_text_is_not_authentic(position in 0_usize..100, replacement in "[A-Za-z0-9_-]") {
        let text = ticket().encode(&KEY).to_string();
        let mut altered = text.clone();
        altered.replace_range(position..=position, &replacement);
        if altered != text {
            assert!(Ticket::decode(&altered, &KEY).is_err());
        }
    }
}
