//! Callers that send requests to entries and check the answers.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use awc::{
    Client, ClientResponse,
    error::{ConnectError, PayloadError, SendRequestError},
};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt as _};
use sequoiahold::client::new_client;
use sequoiahold_core::ids::{Digest, ServiceId};
use serde_json::{Value, json};

use crate::content::answer_token;

/// Maximum time for a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// The result of a call, as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// The complete answer to its request, from the complete weights of one version.
    Answered,
    /// A refusal that states that the request did not run.
    NotRun,
    /// An error that states that the request failed or that its outcome is unknown.
    Unknown,
    /// No answer, one cut off by a connection error, or an error that states no outcome.
    Broken,
    /// An incomplete answer whose transfer ended without an error.
    Truncated,
    /// The entry accepted no connection.
    Unreached,
    /// An answer to another request.
    Wrong,
    /// An answer of which only some tokens match the complete weights of a version.
    Partial,
}

/// A finished call.
#[derive(Clone, Debug)]
pub struct Call {
    /// The prompt of a chat request, or the name of an order.
    pub name: String,
    /// Whether the call placed an order.
    pub is_order: bool,
    /// The time at which it was sent.
    pub at: Instant,
    /// The time from sending to the end of the answer.
    pub took: Duration,
    /// The time from sending to the first token, if one arrived.
    pub first_token: Option<Duration>,
    /// The result.
    pub outcome: Outcome,
}

/// A streaming chat request to a model service.
#[derive(Clone, Copy, Debug)]
pub struct ChatRequest<'a> {
    /// The model service.
    pub service: &'a ServiceId,
    /// The prompt, unique to the request.
    pub prompt: &'a str,
    /// The number of tokens of the answer.
    pub tokens: u32,
}

/// An order, a call of a plain service that must run at most once.
#[derive(Clone, Debug)]
pub struct Order {
    /// The name, unique to the order.
    pub name: String,
    /// The idempotency key, the same in each repetition of the order.
    pub key: String,
}

impl Order {
    /// Returns an order whose key is a version 7 UUID with the current time.
    pub fn now(name: &str) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let time = format!("{:012x}", since_epoch.as_millis() as u64);
        let digest = Digest::of(name.as_bytes()).to_string();
        let (head, tail) = time.split_at(8);
        let key = format!("{head}-{tail}-7{}-8{}-{}", &digest[..3], &digest[3..6], &digest[6..18]);
        Self { name: name.to_owned(), key }
    }
}

/// A caller that uses the API key of one client account.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    key: String,
}

impl Caller {
    /// Returns a caller that sends `key` as its API key.
    pub fn new(key: &str) -> Self {
        let client = new_client(ANSWER_TIMEOUT);
        Self { client, key: key.to_owned() }
    }

    /// Returns the API key.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Sends a chat request and checks that the answer comes from one of the `allowed` weights.
    pub async fn chat(
        &self,
        entry: SocketAddr,
        request: &ChatRequest<'_>,
        allowed: &BTreeSet<Digest>,
    ) -> Call {
        let pending = PendingCall::new(request.prompt, false);
        let mut response = match self.send(entry, request).await {
            Ok(response) => response,
            Err(error) => return pending.finish(None, transport_outcome(&error)),
        };
        let status = response.status().as_u16();
        let (mut text, mut first_token) = (BytesMut::new(), None);
        while let Some(part) = response.next().await {
            let Ok(part) = part else { return pending.finish(first_token, Outcome::Broken) };
            first_token = first_token.or(Some(pending.at.elapsed()));
            text.extend_from_slice(&part);
        }
        let outcome = match status {
            200 => check_answer(&String::from_utf8_lossy(&text), request, allowed),
            _ => refusal_outcome(&text),
        };
        pending.finish(first_token, outcome)
    }

    /// Sends a chat request and disconnects after the first part of the answer.
    ///
    /// Returns whether that part arrived.
    pub async fn chat_and_disconnect(&self, entry: SocketAddr, request: &ChatRequest<'_>) -> bool {
        match self.send(entry, request).await {
            Ok(mut response) => matches!(response.next().await, Some(Ok(_))),
            Err(_) => false,
        }
    }

    /// Places an order and checks that the answer names it.
    pub async fn place_order(&self, entry: SocketAddr, service: &ServiceId, order: &Order) -> Call {
        let pending = PendingCall::new(&order.name, true);
        let url = format!("http://{entry}/services/{service}/orders");
        let request = self
            .client
            .post(url)
            .bearer_auth(&self.key)
            .insert_header(("idempotency-key", order.key.as_str()))
            .send_body(order.name.clone());
        let mut response = match request.await {
            Ok(response) => response,
            Err(error) => return pending.finish(None, transport_outcome(&error)),
        };
        let status = response.status().as_u16();
        let Ok(text) = response.body().await else { return pending.finish(None, Outcome::Broken) };
        let own = serde_json::from_slice::<Value>(&text).is_ok_and(|v| v["done"] == *order.name);
        let outcome = match status {
            200 if own => Outcome::Answered,
            200 if serde_json::from_slice::<Value>(&text).is_err() => Outcome::Truncated,
            200 => Outcome::Wrong,
            _ => refusal_outcome(&text),
        };
        pending.finish(None, outcome)
    }

    /// Requests a ticket, which serves as the key of one call of a plain service.
    pub async fn request_ticket(&self, entry: SocketAddr, service: &ServiceId) -> Option<String> {
        let url = format!("http://{entry}/tickets/{service}");
        let mut response = self.client.post(url).bearer_auth(&self.key).send().await.ok()?;
        let text = response.body().await.ok()?;
        let value: Value = serde_json::from_slice(&text).ok()?;
        value["ticket"].as_str().map(str::to_owned)
    }

    async fn send(
        &self,
        entry: SocketAddr,
        request: &ChatRequest<'_>,
    ) -> Result<
        ClientResponse<impl Stream<Item = Result<Bytes, PayloadError>> + Unpin + use<>>,
        SendRequestError,
    > {
        let body = json!({
            "model": request.service,
            "stream": true,
            "max_tokens": request.tokens,
            "messages": [{ "role": "user", "content": request.prompt }],
        });
        let url = format!("http://{entry}/v1/chat/completions");
        self.client.post(url).bearer_auth(&self.key).send_json(&body).await
    }
}

/// A call in progress.
struct PendingCall {
    name: String,
    is_order: bool,
    at: Instant,
}

impl PendingCall {
    fn new(name: &str, is_order: bool) -> Self {
        Self { name: name.to_owned(), is_order, at: Instant::now() }
    }

    fn finish(self, first_token: Option<Duration>, outcome: Outcome) -> Call {
        let took = self.at.elapsed();
        Call { name: self.name, is_order: self.is_order, at: self.at, took, first_token, outcome }
    }
}

fn transport_outcome(error: &SendRequestError) -> Outcome {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => Outcome::Broken,
        SendRequestError::Connect(_) => Outcome::Unreached,
        _ => Outcome::Broken,
    }
}

fn refusal_outcome(text: &[u8]) -> Outcome {
    match serde_json::from_slice::<Value>(text) {
        Ok(problem) if problem["not_run"] == true => Outcome::NotRun,
        Ok(problem) if problem["not_run"] == false => Outcome::Unknown,
        _ => Outcome::Broken,
    }
}

fn check_answer(text: &str, request: &ChatRequest<'_>, allowed: &BTreeSet<Digest>) -> Outcome {
    let ChatRequest { prompt, tokens, .. } = *request;
    let events: Vec<&str> = text.split("\n\n").filter_map(|e| e.strip_prefix("data: ")).collect();
    let Some((last, parts)) = events.split_last() else { return Outcome::Truncated };
    if *last != "[DONE]" || parts.len() != tokens as usize {
        return Outcome::Truncated;
    }
    let content = |part: &&str| {
        let event: Value = serde_json::from_str(part).unwrap_or_default();
        event["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
    };
    let contents: Vec<String> = parts.iter().map(content).collect();
    let matches = |weights: &&Digest| {
        contents
            .iter()
            .zip(0..)
            .all(|(content, index)| *content == answer_token(weights, prompt, index))
    };
    if allowed.iter().any(|weights| matches(&weights)) {
        return Outcome::Answered;
    }
    let known = |(content, index): (&String, u32)| {
        allowed.iter().any(|weights| *content == answer_token(weights, prompt, index))
    };
    match contents.iter().zip(0..).any(known) {
        true => Outcome::Partial,
        false => Outcome::Wrong,
    }
}
