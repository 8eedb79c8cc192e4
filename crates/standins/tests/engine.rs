//! The stand-in of a model engine, asked directly.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use futures_util::future::join;
use rstest::rstest;
use sequoiahold::client::client;
use sequoiahold_core::{ids::Digest, units::Bytes};
use sequoiahold_standins::{
    content::{Content, token},
    deployment::network::Network,
    engine::{Behaviour, Engine, POISON_WORD},
};
use serde_json::{Value, json};

/// Time that a call may take.
const PATIENCE: Duration = Duration::from_secs(10);

struct Bench {
    engine: Engine,
    url: String,
    weights: Digest,
    _network: Network,
}

impl Bench {
    async fn start(behaviour: Behaviour) -> Self {
        let network = Network::claim().unwrap();
        let declared: SocketAddr = (Ipv4Addr::LOCALHOST, 8000).into();
        let addr = network.translate(declared);
        let engine = Engine::start(addr, behaviour).await.unwrap();
        let url = format!("http://{addr}");
        let content = Content::of(&"model-1".parse().unwrap(), Bytes(64_000), Bytes(8_000));
        let manifest = content.unwrap().manifest;
        let load = json!({ "order": "load", "version": "model-1", "manifest": manifest });
        let bench = Self { engine, url, weights: Digest::of(b""), _network: network };
        assert_eq!(bench.order(load, 5).await, 200);
        bench
    }

    async fn order(&self, mut order: Value, fence: u64) -> u16 {
        order["fence"] = json!(fence);
        let sent = client(PATIENCE).post(format!("{}/orders", self.url)).send_json(&order);
        sent.await.unwrap().status().as_u16()
    }

    /// Returns the text of the answer, `None` where it broke off, and the time it took.
    async fn ask(&self, id: &str, body: Value) -> (Option<String>, Duration) {
        let start = Instant::now();
        let url = format!("{}/v1/chat/completions", self.url);
        let request = client(PATIENCE).post(url).insert_header(("x-request-id", id));
        let Ok(mut response) = request.send_json(&body).await else {
            return (None, start.elapsed());
        };
        let text = response.body().await.ok();
        (text.map(|t| String::from_utf8_lossy(&t).into_owned()), start.elapsed())
    }

    async fn get(&self, path: &str) -> Option<bytes::Bytes> {
        let mut response = client(PATIENCE).get(format!("{}{path}", self.url)).send().await.ok()?;
        if response.status().is_success() { response.body().await.ok() } else { None }
    }
}

fn chat(texts: &[&str], tokens: u32, priority: u32) -> Value {
    let message = |text: &&str| json!({ "role": "user", "content": text });
    let messages: Vec<Value> = texts.iter().map(message).collect();
    json!({ "messages": messages, "max_tokens": tokens, "priority": priority })
}

#[rstest]
#[actix_rt::test]
async fn a_cached_prefix_hastens_the_first_token() {
    let prefill = Duration::from_millis(600);
    let bench = Bench::start(Behaviour { prefill, cache_bytes: 50, ..Behaviour::default() }).await;
    let prefix = "a prefix of forty bytes, more or less ..";
    let (_, first) = bench.ask("1", chat(&[prefix, "one"], 2, 0)).await;
    let (_, second) = bench.ask("2", chat(&[prefix, "two"], 2, 0)).await;
    assert!(first >= prefill && second < prefill, "{first:?} then {second:?}");
    bench.ask("3", chat(&["another prefix of thirty bytes", "three"], 2, 0)).await;
    let (_, dropped) = bench.ask("4", chat(&[prefix, "four"], 2, 0)).await;
    assert!(dropped >= prefill, "the memory holds one prefix only");
}

#[rstest]
#[actix_rt::test]
async fn a_prefix_is_exported_and_imported() {
    let prefill = Duration::from_millis(600);
    let (from, to) = join(
        Bench::start(Behaviour { prefill, ..Behaviour::default() }),
        Bench::start(Behaviour { prefill, ..Behaviour::default() }),
    )
    .await;
    from.ask("1", chat(&["prefix", "one"], 2, 0)).await;
    let kv = from.get(&format!("/v1/kv/{}", Digest::of(b"prefix"))).await.unwrap();
    client(PATIENCE).put(format!("{}/v1/kv", to.url)).send_body(kv).await.unwrap();
    let (_, took) = to.ask("2", chat(&["prefix", "two"], 2, 0)).await;
    assert!(took < prefill);
}

#[rstest]
#[actix_rt::test]
async fn a_higher_priority_goes_first() {
    let bench = Bench::start(Behaviour { batch_size: 1, ..Behaviour::default() }).await;
    let later = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        bench.ask("urgent", chat(&["urgent"], 10, 0)).await.1
    };
    let (slow, urgent) = join(bench.ask("slow", chat(&["slow"], 40, 9)), later).await;
    assert!(urgent < slow.1, "{urgent:?} and {:?}", slow.1);
}

#[rstest]
#[case::too_much(
    Behaviour { slots: 1, cold_slots: 1, overload_crash: true, ..Behaviour::default() },
    "fine"
)]
#[case::poison(Behaviour::default(), POISON_WORD)]
#[actix_rt::test]
async fn a_crash_breaks_running_requests_off(#[case] behaviour: Behaviour, #[case] prompt: &str) {
    let bench = Bench::start(behaviour).await;
    let before = bench.engine.state.borrow().incarnation;
    let later = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        bench.ask("2", chat(&[prompt], 10, 0)).await.0
    };
    let (first, second) = join(bench.ask("1", chat(&["first"], 40, 0)), later).await;
    assert_eq!((first.0, second), (None, None), "both break off");
    assert_eq!(bench.engine.version(), None, "it holds nothing");
    assert!(bench.engine.state.borrow().incarnation > before);
}

#[rstest]
#[case::checks(true, 409)]
#[case::ignores(false, 200)]
#[actix_rt::test]
async fn an_old_fencing_number(#[case] fences: bool, #[case] status: u16) {
    let bench = Bench::start(Behaviour { checks_fence: fences, ..Behaviour::default() }).await;
    assert_eq!(bench.order(json!({ "order": "unload" }), 4).await, status);
    assert_eq!(bench.engine.version().is_none(), !fences);
    assert_eq!(bench.order(json!({ "order": "role", "role": "prefill" }), 6).await, 200);
    let shown: Value = serde_json::from_slice(&bench.get("/state").await.unwrap()).unwrap();
    assert_eq!((&shown["role"], &shown["fence"]), (&json!("prefill"), &json!(6)));
}

#[rstest]
#[actix_rt::test]
async fn an_answer_is_resumed_and_cancelled() {
    let linger = Duration::from_secs(2);
    let bench = Bench::start(Behaviour { resume_window: linger, ..Behaviour::default() }).await;
    let asked = bench.ask("1", chat(&["one"], 20, 0));
    let _ = actix_rt::time::timeout(Duration::from_millis(100), asked).await;
    let rest = bench.get("/v1/requests/1?from=15").await.unwrap();
    let rest = String::from_utf8_lossy(&rest).into_owned();
    assert_eq!(rest.matches("data: ").count(), 6, "five tokens and the end mark");
    assert!(rest.contains(&token(&bench.weights, "one", 19)));
    let asked = bench.ask("2", chat(&["two"], 100, 0));
    let _ = actix_rt::time::timeout(Duration::from_millis(100), asked).await;
    let cancel = client(PATIENCE).delete(format!("{}/v1/requests/2", bench.url)).send().await;
    assert!(cancel.unwrap().status().is_success());
    assert_eq!(bench.engine.state.borrow().cancelled, 1);
    assert!(bench.get("/v1/requests/2").await.is_none(), "nothing is left to resume");
}
