//! Guard against ids, outcomes and sizes that change when they are formatted and parsed again.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::PromptPartId;
use oleanderpass_types::outcome::Outcome;
use oleanderpass_types::size::RequestRate;
use oleanderpass_types::size::Tokens;
use test_case::test_case;

#[test_case("acme", true; "plain")]
#[test_case("a.b-c_d9", true; "punctuation")]
#[test_case("", false; "empty")]
#[test_case("a b", false; "space")]
#[test_case("a/b", false; "slash")]
fn text_ids_accept_only_allowed_characters(text: &str, valid: bool) {
    assert_eq!(text.parse::<OrganisationId>().is_ok(), valid);
}

#[test_case(Outcome::Completed, "completed")]
#[test_case(Outcome::Failed, "failed")]
#[test_case(Outcome::NotRun, "not run")]
#[test_case(Outcome::Unknown, "unknown")]
fn outcomes_round_trip(outcome: Outcome, text: &str) {
    assert_eq!(outcome.to_string(), text);
    assert_eq!(text.parse(), Ok(outcome));
}

#[test_case("2.1", Some(2_100); "decimal")]
#[test_case(" 10 ", Some(10_000); "whole")]
#[test_case("5e-1", Some(500); "exponent")]
#[test_case("0", Some(0); "zero")]
#[test_case("-1", None; "negative")]
#[test_case("inf", None; "infinite")]
#[test_case("many", None; "no number")]
fn rates_are_parsed(text: &str, thousandths: Option<u32>) {
    let rate = thousandths.map(RequestRate::from_thousandths);
    assert_eq!(text.parse().ok(), rate);
}

#[test]
fn sizes_round_trip() {
    let rate = RequestRate::from_thousandths(1_020);
    assert_eq!(rate.to_string().parse(), Ok(rate));
    assert_eq!("32 tokens".parse(), Ok(Tokens::new(32)));
    assert_eq!(Millis::new(7).to_string().parse(), Ok(Millis::new(7)));
    let part = PromptPartId::new(0x0bfd_3806);
    assert_eq!(part.to_string(), "0bfd3806");
    assert_eq!(part.to_string().parse(), Ok(part));
    let digest = Digest([0xab; 32]);
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!("é".repeat(32).parse::<Digest>().is_err());
}
