//! Guard against retries that multiply the load during an outage (design section 4.2).

use oleanderpass_limits::retry::RetryBudget;
use test_case::test_case;

/// Guards against a balance that doesn't match 0.1 retries for each admitted request, at most 10.
#[test_case(0, 0; "none at the start")]
#[test_case(9, 0; "less than one")]
#[test_case(10, 1; "one")]
#[test_case(100, 10; "as many as the capacity")]
#[test_case(1_000, 10; "no more than the capacity")]
fn balance_follows_admitted_requests(admitted: usize, expected: usize) {
    let mut budget = RetryBudget::default();
    (0..admitted).for_each(|_| budget.deposit());
    assert_eq!((0..100).filter(|_| budget.withdraw()).count(), expected);
}

/// Guards against more than 1.1 sent attempts for each admitted request over a long outage.
#[test]
fn outage_sends_at_most_a_tenth_more() {
    let mut budget = RetryBudget::default();
    let mut sent = 0;
    for _ in 0..10_000 {
        budget.deposit();
        sent += 1 + usize::from(budget.withdraw()) + usize::from(budget.withdraw());
    }
    assert!(sent <= 11_000, "{sent}");
    assert!(sent >= 10_990, "{sent}");
}
