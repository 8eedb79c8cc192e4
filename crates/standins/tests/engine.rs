//! The simulated model engine, called directly.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use futures_util::future::join;
use rstest::rstest;
use sequoiahold::client::new_client;
use sequoiahold_core::{ids::Digest, units::Bytes};
use sequoiahold_standins::{
    content::{Content, answer_token},
    deployment::network::Network,
    engine::{Behaviour, Engine, POISON_WORD},
};
use serde_json::{Value, json};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

struct TestEngine {
    inner: Engine,
    url: String,
    weights: Digest,
    _network: Network,
}

impl TestEngine {
    async fn start(behaviour: Behaviour) -> Self {
        let network = Network::reserve().unwrap();
        let declared: SocketAddr = (Ipv4Addr::LOCALHOST, 8000).into();
        let addr = network.translate(declared);
        let inner = Engine::start(addr, behaviour).await.unwrap();
        let url = format!("http://{addr}");
        let content = Content::of(&"model-1".parse().unwrap(), Bytes(64_000), Bytes(8_000));
        let manifest = content.unwrap().manifest;
        let load = json!({ "order": "load", "version": "model-1", "manifest": manifest });
        let engine = Self { inner, url, weights: Digest::of(b""), _network: network };
        assert_eq!(engine.send_order(load, 5).await, 200);
        engine
    }

    async fn send_order(&self, mut order: Value, fence: u64) -> u16 {
        order["fence"] = json!(fence);
        let sent = new_client(CALL_TIMEOUT).post(format!("{}/orders", self.url)).send_json(&order);
        sent.await.unwrap().status().as_u16()
    }

    /// Returns the text of the answer, or `None` if it was cut off, and the time it took.
    async fn chat(&self, id: &str, body: Value) -> (Option<String>, Duration) {
        let start = Instant::now();
        let url = format!("{}/v1/chat/completions", self.url);
        let request = new_client(CALL_TIMEOUT).post(url).insert_header(("x-request-id", id));
        let Ok(mut response) = request.send_json(&body).await else {
            return (None, start.elapsed());
        };
        let text = response.body().await.ok();
        (text.map(|t| String::from_utf8_lossy(&t).into_owned()), start.elapsed())
    }

    async fn get(&self, path: &str) -> Option<bytes::Bytes> {
        let mut response =
            new_client(CALL_TIMEOUT).get(format!("{}{path}", self.url)).send().await.ok()?;
        if response.status().is_success() { response.body().await.ok() } else { None }
    }
}

fn chat_body(texts: &[&str], tokens: u32, priority: u32) -> Value {
    let message = |text: &&str| json!({ "role": "user", "content": text });
    let messages: Vec<Value> = texts.iter().map(message).collect();
    json!({ "messages": messages, "max_tokens": tokens, "priority": priority })
}

#[rstest]
#[actix_rt::test]
async fn a_cached_prefix_shortens_the_time_to_first_token() {
    let prefill = Duration::from_millis(600);
    let engine =
        TestEngine::start(Behaviour { prefill, cache_bytes: 50, ..Behaviour::default() }).await;
    let prefix = "a prefix of forty bytes, more or less ..";
    let (_, first) = engine.chat("1", chat_body(&[prefix, "one"], 2, 0)).await;
    let (_, second) = engine.chat("2", chat_body(&[prefix, "two"], 2, 0)).await;
    assert!(first >= prefill && second < prefill, "{first:?} then {second:?}");
    engine.chat("3", chat_body(&["another prefix of thirty bytes", "three"], 2, 0)).await;
    let (_, dropped) = engine.chat("4", chat_body(&[prefix, "four"], 2, 0)).await;
    assert!(dropped >= prefill, "the first prefix was not evicted from the cache");
}

#[rstest]
#[actix_rt::test]
async fn a_prefix_is_exported_and_imported() {
    let prefill = Duration::from_millis(600);
    let (from, to) = join(
        TestEngine::start(Behaviour { prefill, ..Behaviour::default() }),
        TestEngine::start(Behaviour { prefill, ..Behaviour::default() }),
    )
    .await;
    from.chat("1", chat_body(&["prefix", "one"], 2, 0)).await;
    let kv = from.get(&format!("/v1/kv/{}", Digest::of(b"prefix"))).await.unwrap();
    new_client(CALL_TIMEOUT).put(format!("{}/v1/kv", to.url)).send_body(kv).await.unwrap();
    let (_, took) = to.chat("2", chat_body(&["prefix", "two"], 2, 0)).await;
    assert!(took < prefill);
}

#[rstest]
#[actix_rt::test]
async fn a_request_of_higher_priority_runs_first() {
    let engine = TestEngine::start(Behaviour { batch_size: 1, ..Behaviour::default() }).await;
    let later = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        engine.chat("urgent", chat_body(&["urgent"], 10, 0)).await.1
    };
    let (slow, urgent) = join(engine.chat("slow", chat_body(&["slow"], 40, 9)), later).await;
    assert!(urgent < slow.1, "{urgent:?} and {:?}", slow.1);
}

#[rstest]
#[case::too_much(Behaviour { slots: 1, cold_slots: 1, overload_crash: true, ..Behaviour::default() }, "fine")]
#[case::poison(Behaviour::default(), POISON_WORD)]
#[actix_rt::test]
async fn a_crash_aborts_running_requests(#[case] behaviour: Behaviour, #[case] prompt: &str) {
    let engine = TestEngine::start(behaviour).await;
    let before = engine.inner.state.borrow().incarnation;
    let later = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        engine.chat("2", chat_body(&[prompt], 10, 0)).await.0
    };
    let (first, second) = join(engine.chat("1", chat_body(&["first"], 40, 0)), later).await;
    assert_eq!((first.0, second), (None, None), "a request survived the crash");
    assert_eq!(engine.inner.version(), None, "weights are still loaded after the crash");
    assert!(engine.inner.state.borrow().incarnation > before);
}

#[rstest]
#[case::checks(true, 409)]
#[case::ignores(false, 200)]
#[actix_rt::test]
async fn an_old_fencing_token_is_refused_where_checked(#[case] fences: bool, #[case] status: u16) {
    let engine =
        TestEngine::start(Behaviour { checks_fence: fences, ..Behaviour::default() }).await;
    assert_eq!(engine.send_order(json!({ "order": "unload" }), 4).await, status);
    assert_eq!(engine.inner.version().is_none(), !fences);
    assert_eq!(engine.send_order(json!({ "order": "role", "role": "prefill" }), 6).await, 200);
    let state: Value = serde_json::from_slice(&engine.get("/state").await.unwrap()).unwrap();
    assert_eq!((&state["role"], &state["fence"]), (&json!("prefill"), &json!(6)));
}

#[rstest]
#[actix_rt::test]
async fn an_answer_is_resumed_and_cancelled() {
    let window = Duration::from_secs(2);
    let engine =
        TestEngine::start(Behaviour { resume_window: window, ..Behaviour::default() }).await;
    let chat = engine.chat("1", chat_body(&["one"], 20, 0));
    let _ = actix_rt::time::timeout(Duration::from_millis(100), chat).await;
    let rest = engine.get("/v1/requests/1?from=15").await.unwrap();
    let rest = String::from_utf8_lossy(&rest).into_owned();
    assert_eq!(rest.matches("data: ").count(), 6, "expected five tokens and the end mark");
    assert!(rest.contains(&answer_token(&engine.weights, "one", 19)));
    let chat = engine.chat("2", chat_body(&["two"], 100, 0));
    let _ = actix_rt::time::timeout(Duration::from_millis(100), chat).await;
    let cancel =
        new_client(CALL_TIMEOUT).delete(format!("{}/v1/requests/2", engine.url)).send().await;
    assert!(cancel.unwrap().status().is_success());
    assert_eq!(engine.inner.state.borrow().cancelled, 1);
    assert!(
        engine.get("/v1/requests/2").await.is_none(),
        "a cancelled request can still be resumed"
    );
}
