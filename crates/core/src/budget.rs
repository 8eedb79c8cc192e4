//! Retry budgets of client accounts.

use std::collections::BTreeMap;

use crate::ids::ClientId;

/// The share of a retry that each request adds to the budget, in thousandths.
const EARNED_PER_REQUEST: u32 = 100;
/// The cost of a retry, in thousandths.
const COST_PER_RETRY: u32 = 1_000;
/// The largest balance of an account and also its initial balance, in thousandths of a retry.
const MAX_BALANCE: u32 = 5_000;

/// Limits the retries of each client account to a fixed proportion of its requests.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    balance: BTreeMap<ClientId, u32>,
}

impl RetryBudget {
    /// Credits the account with the share of a retry that one request adds.
    pub fn deposit(&mut self, client: &ClientId) {
        if let Some(balance) = self.balance.get_mut(client) {
            *balance = (*balance + EARNED_PER_REQUEST).min(MAX_BALANCE);
        }
    }

    /// Withdraws the cost of one retry and returns true, or returns false if the balance is too
    /// low.
    pub fn try_withdraw(&mut self, client: &ClientId) -> bool {
        let balance = self.balance.entry(client.clone()).or_insert(MAX_BALANCE);
        let enough = *balance >= COST_PER_RETRY;
        if enough {
            *balance -= COST_PER_RETRY;
        }
        enough
    }

    /// Removes the accounts that are no longer declared.
    pub fn retain(&mut self, declared: impl Fn(&ClientId) -> bool) {
        self.balance.retain(|client, _| declared(client));
    }
}
