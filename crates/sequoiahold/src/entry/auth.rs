//! Authentication of callers by API key.

use actix_http::{HttpMessage as _, Request, header};
use sequoiahold_core::{
    declare::{Client, Fleet},
    ids::Digest,
    refusal::{Reason, Refusal},
};
use subtle::{Choice, ConditionallySelectable as _, ConstantTimeEq as _};

/// Maximum length of an API key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Returns the client account of the request's API key, or a refusal if no account has this key.
///
/// The key's digest is compared with those of all accounts, in a time that does not depend on the
/// key.
pub fn authenticate<'a>(fleet: &'a Fleet, request: &Request) -> Result<&'a Client, Refusal> {
    let key = request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .filter(|key| key.len() <= MAX_KEY_BYTES)
        .ok_or(Refusal::new(Reason::BadKey))?;
    let digest = Digest::of(key.as_bytes());
    let mut found = u32::MAX;
    for (index, client) in (0..).zip(fleet.clients.values()) {
        let is_match: Choice = client.key.bytes().ct_eq(digest.bytes());
        found.conditional_assign(&index, is_match);
    }
    fleet.clients.values().nth(found as usize).ok_or(Refusal::new(Reason::BadKey))
}
