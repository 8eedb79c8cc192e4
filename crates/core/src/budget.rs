//! The retry budget of each client account.

use std::collections::BTreeMap;

use crate::ids::ClientId;

/// Thousandths of a retry that each request earns.
const EARNED: u32 = 100;
/// Thousandths that one retry costs.
const COST: u32 = 1_000;
/// Thousandths that an account can hold; also what it starts with.
const MOST: u32 = 5_000;

/// Lets a client account's requests be retried in proportion to the requests that it makes.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    held: BTreeMap<ClientId, u32>,
}

impl Budget {
    /// Takes note of a request.
    pub fn earn(&mut self, client: &ClientId) {
        if let Some(held) = self.held.get_mut(client) {
            *held = (*held + EARNED).min(MOST);
        }
    }

    /// Takes the cost of one retry, or returns false where the account has too little.
    pub fn spend(&mut self, client: &ClientId) -> bool {
        let held = self.held.entry(client.clone()).or_insert(MOST);
        let enough = *held >= COST;
        if enough {
            *held -= COST;
        }
        enough
    }

    /// Forgets the accounts that are no longer declared.
    pub fn keep(&mut self, declared: impl Fn(&ClientId) -> bool) {
        self.held.retain(|client, _| declared(client));
    }
}
