//! Guard against retries that multiply the load of an outage (design section 4.2).

use oleanderpass_limits::retry::RetryBudget;
use test_case::test_case;

#[test_case(0, 0; "none at the start")]
#[test_case(9, 0; "less than one")]
#[test_case(10, 1; "one")]
#[test_case(100, 10; "all saved")]
#[test_case(1_000, 10; "at most ten saved")]
fn saved_retries(admitted: usize, expected: usize) {
    let mut budget = RetryBudget::default();
    (0..admitted).for_each(|_| budget.deposit());
    assert_eq!((0..100).filter(|_| budget.withdraw()).count(), expected);
}

/// Guards against a sum over a long outage above 1.1 sends for each admitted request.
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
