//! The retry budget of a client account.

use sequoiahold_core::{budget::RetryBudget, ids::ClientId};

fn account(name: &str) -> ClientId {
    name.parse().expect("valid name")
}

#[test]
fn ten_requests_earn_one_retry() {
    let (mut budget, client) = (RetryBudget::default(), account("c1"));
    let spent = (0..10).filter(|_| budget.try_withdraw(&client)).count();
    assert_eq!(spent, 5);
    (0..9).for_each(|_| budget.deposit(&client));
    assert!(!budget.try_withdraw(&client));
    budget.deposit(&client);
    assert!(budget.try_withdraw(&client));
    assert!(!budget.try_withdraw(&client));
}

#[test]
fn accounts_do_not_share_a_budget() {
    let mut budget = RetryBudget::default();
    while budget.try_withdraw(&account("c1")) {}
    assert!(budget.try_withdraw(&account("c2")));
    budget.retain(|client| *client == account("c2"));
    assert!(budget.try_withdraw(&account("c1")), "a new account starts with a full budget");
}
