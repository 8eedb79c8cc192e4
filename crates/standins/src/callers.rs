//! Callers that check the answers they get.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use awc::Client;
use sequoiahold_core::ids::{Digest, ServiceId};
use serde_json::{Value, json};

use crate::content::token;

/// Time that a caller waits for a whole answer.
const PATIENCE: Duration = Duration::from_secs(60);

/// What a caller received.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Received {
    /// The whole answer to its own request, from one version's whole weights.
    Answered,
    /// A refusal that says the request did not run.
    NotRun,
    /// An answer that says its outcome is unknown or failed.
    Unknown,
    /// An answer that broke off, or none.
    Broken,
    /// An answer that is not the one to its request.
    Wrong,
    /// An answer from weights that are no whole version.
    Partial,
}

/// One finished call.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// When it was made.
    pub at: Instant,
    /// The time until its end.
    pub took: Duration,
    /// The time until its first part.
    pub first: Option<Duration>,
    /// What was received.
    pub received: Received,
}

/// A caller of one client account.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    key: String,
}

impl Caller {
    /// Returns a caller with this API key.
    pub fn new(key: &str) -> Self {
        let client = Client::builder().timeout(PATIENCE).finish();
        Self { client, key: key.to_owned() }
    }

    /// Asks a model service and checks the answer against the weights that are allowed.
    pub async fn ask(
        &self,
        entry: SocketAddr,
        service: &ServiceId,
        prompt: &str,
        tokens: u32,
        allowed: &BTreeSet<Digest>,
    ) -> Call {
        let at = Instant::now();
        let body = json!({
            "model": service,
            "stream": true,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let url = format!("http://{entry}/v1/chat/completions");
        let request = self.client.post(url).bearer_auth(&self.key).send_json(&body);
        let Ok(mut response) = request.await else { return ended(at, None, Received::Broken) };
        let status = response.status().as_u16();
        let Ok(text) = response.body().limit(4_000_000).await else {
            return ended(at, None, Received::Broken);
        };
        let received = match status {
            200 => judge(&String::from_utf8_lossy(&text), prompt, tokens, allowed),
            _ => refusal(&text),
        };
        ended(at, None, received)
    }

    /// Places an order at a plain service.
    pub async fn order(&self, entry: SocketAddr, service: &ServiceId, name: &str) -> Call {
        let at = Instant::now();
        let url = format!("http://{entry}/services/{service}/orders");
        let request = self
            .client
            .post(url)
            .bearer_auth(&self.key)
            .insert_header(("idempotency-key", name))
            .send_body(name.to_owned());
        let Ok(mut response) = request.await else { return ended(at, None, Received::Broken) };
        let status = response.status().as_u16();
        let Ok(text) = response.body().await else { return ended(at, None, Received::Broken) };
        let own = serde_json::from_slice::<Value>(&text).is_ok_and(|v| v["done"] == name);
        let received = match status {
            200 if own => Received::Answered,
            200 => Received::Wrong,
            _ => refusal(&text),
        };
        ended(at, None, received)
    }
}

fn ended(at: Instant, first: Option<Duration>, received: Received) -> Call {
    Call { at, took: at.elapsed(), first, received }
}

fn refusal(text: &[u8]) -> Received {
    match serde_json::from_slice::<Value>(text) {
        Ok(problem) if problem["not_run"] == true => Received::NotRun,
        Ok(problem) if problem["not_run"] == false => Received::Unknown,
        _ => Received::Broken,
    }
}

fn judge(text: &str, prompt: &str, tokens: u32, allowed: &BTreeSet<Digest>) -> Received {
    let events: Vec<&str> = text.split("\n\n").filter_map(|e| e.strip_prefix("data: ")).collect();
    let Some((last, parts)) = events.split_last() else { return Received::Broken };
    if *last != "[DONE]" || parts.len() != tokens as usize {
        return Received::Broken;
    }
    let content = |part: &&str| {
        let event: Value = serde_json::from_str(part).unwrap_or_default();
        event["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
    };
    let contents: Vec<String> = parts.iter().map(content).collect();
    let matches = |weights: &&Digest| {
        contents.iter().zip(0..).all(|(content, index)| *content == token(weights, prompt, index))
    };
    if allowed.iter().any(|weights| matches(&weights)) {
        return Received::Answered;
    }
    let known = |(content, index): (&String, u32)| {
        allowed.iter().any(|weights| *content == token(weights, prompt, index))
    };
    match contents.iter().zip(0..).any(known) {
        true => Received::Partial,
        false => Received::Wrong,
    }
}
