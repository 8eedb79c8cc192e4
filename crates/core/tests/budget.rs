//! The retry budget of a client account.

use sequoiahold_core::{budget::Budget, ids::ClientId};

fn account(name: &str) -> ClientId {
    name.parse().expect("valid name")
}

#[test]
fn ten_requests_earn_one_retry() {
    let (mut budget, client) = (Budget::default(), account("c1"));
    let spent = (0..10).filter(|_| budget.spend(&client)).count();
    assert_eq!(spent, 5);
    (0..9).for_each(|_| budget.earn(&client));
    assert!(!budget.spend(&client));
    budget.earn(&client);
    assert!(budget.spend(&client));
    assert!(!budget.spend(&client));
}

#[test]
fn accounts_do_not_share_a_budget() {
    let mut budget = Budget::default();
    while budget.spend(&account("c1")) {}
    assert!(budget.spend(&account("c2")));
    budget.keep(|client| *client == account("c2"));
    assert!(budget.spend(&account("c1")), "a new account starts with a full budget");
}
