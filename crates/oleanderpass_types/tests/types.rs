//! Guard against ids, outcomes and sizes that change when they are formatted and parsed again.

use oleanderpass_types::clock::Millis;
use oleanderpass_types::id::Digest;
use oleanderpass_types::id::OrganisationId;
use oleanderpass_types::id::PromptPartId;
use oleanderpass_types::outcome::Outcome;
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

#[test]
fn sizes_round_trip() {
    assert_eq!("32 tokens".parse(), Ok(Tokens::new(32)));
    assert_eq!(Millis::new(7).to_string().parse(), Ok(Millis::new(7)));
    let part = PromptPartId::new(0x0bfd_3806);
    assert_eq!(part.to_string(), "0bfd3806");
    assert_eq!(part.to_string().parse(), Ok(part));
    let digest = Digest([0xab; 32]);
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!("é".repeat(32).parse::<Digest>().is_err());
}
