//! The retry budget of each client account.

use std::collections::BTreeMap;

use crate::ids::ClientId;

/// Thousandths of a retry that each request earns.
const EARNED_PER_REQUEST: u32 = 100;
/// Thousandths that one retry costs.
const COST_PER_RETRY: u32 = 1_000;
/// Thousandths that an account can hold; also what it starts with.
const MAX_BALANCE: u32 = 5_000;

/// Lets a client account's requests be retried in proportion to the requests that it makes.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    balance: BTreeMap<ClientId, u32>,
}

impl RetryBudget {
    /// Takes note of a request.
    pub fn deposit(&mut self, client: &ClientId) {
        if let Some(balance) = self.balance.get_mut(client) {
            *balance = (*balance + EARNED_PER_REQUEST).min(MAX_BALANCE);
        }
    }

    /// Takes the cost of one retry, or returns false where the account has too little.
    pub fn try_withdraw(&mut self, client: &ClientId) -> bool {
        let balance = self.balance.entry(client.clone()).or_insert(MAX_BALANCE);
        let enough = *balance >= COST_PER_RETRY;
        if enough {
            *balance -= COST_PER_RETRY;
        }
        enough
    }

    /// Forgets the accounts that are no longer declared.
    pub fn retain(&mut self, declared: impl Fn(&ClientId) -> bool) {
        self.balance.retain(|client, _| declared(client));
    }
}
