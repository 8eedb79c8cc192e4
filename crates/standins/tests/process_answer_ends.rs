//! Answers that end with their head, of endpoints and engines that send a body behind it.

use std::{net::SocketAddr, time::Duration};

use actix_rt::time::timeout;
use rstest::rstest;
use sequoiahold_standins::{
    callers::Order,
    deployment::Setup,
    fixture::start_with_orders,
    hosted::{Cluster, loopback_addr, registry_entry, request},
    relay::TcpRelay,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Time within which the endpoint must serve, and an exchange must end.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Sends two requests over one connection, of which the second closes it, and returns all that
/// comes back.
async fn exchange_twice(addr: SocketAddr, first: &str, second: &str) -> String {
    let mut text = String::new();
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await?;
        stream.write_all(first.as_bytes()).await?;
        // The second request is sent once the head of the first answer has arrived.
        let mut bytes = vec![];
        while !String::from_utf8_lossy(&bytes).contains("\r\n\r\n") {
            if stream.read_buf(&mut bytes).await? == 0 {
                break;
            }
        }
        stream.write_all(second.as_bytes()).await?;
        stream.read_to_end(&mut bytes).await?;
        text = String::from_utf8_lossy(&bytes).into_owned();
        std::io::Result::Ok(())
    };
    timeout(TIMEOUT, exchange).await.expect("answers in time").expect("two answers");
    text
}

/// Panics if the text is not two heads of this status without bodies.
fn assert_two_heads(text: &str, status: &str) {
    let heads: Vec<&str> = text.split_terminator("\r\n\r\n").collect();
    assert_eq!(heads.len(), 2, "{text:?}");
    for head in heads {
        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{text:?}");
    }
    assert!(text.ends_with("\r\n\r\n"), "bytes follow the second head: {text:?}");
}

// Guards against the body behind a 204 or 304 reaching callers as bytes that are no answer.
#[rstest]
#[actix_rt::test]
async fn gateway_writes_no_body_behind_an_answer_without_one(
    #[values("204", "304")] status: &str,
    #[values("/read/1", "/order/1", "/stream/1")] path: &str,
) {
    let cluster = Cluster::start(1, 1).await.expect("a cluster");
    let relay = TcpRelay::start(loopback_addr(), cluster.addrs[0]).await.expect("a relay");
    cluster.workers[0].restart("i-relayed");
    cluster.store.put("servers/i-0", None);
    cluster.store.put("servers/i-relayed", Some(registry_entry(relay.addr, "ready")));
    let is_served =
        async || cluster.call(0, &request("GET", "/read/1", "key-1")).await.status == 200;
    assert!(cluster.wait_until(TIMEOUT, is_served).await, "no request is served");
    relay.filter.set_status(Some(status));
    let kept = request("GET", path, "key-1").replace("Connection: close\r\n", "");
    let text = exchange_twice(cluster.callers(0), &kept, &request("GET", path, "key-1")).await;
    assert_two_heads(&text, status);
}

// Guards against the same at entries, and against an end of chunks behind such an answer.
#[rstest]
#[actix_rt::test]
async fn entry_writes_no_body_behind_an_answer_without_one(#[values("204", "304")] status: &str) {
    let setup = Setup { relays: true, ..Setup::for_test() };
    let deployment = start_with_orders(setup).await.expect("a deployment");
    for relay in deployment.engine_relays.values() {
        relay.filter.set_status(Some(status));
    }
    let service = deployment.plan.order_service();
    let place = |name: &str, connection: &str| {
        let key = Order::now(name).key;
        format!(
            "POST /services/{service}/orders HTTP/1.1\r\nHost: shop.example\r\n\
             Authorization: Bearer {}\r\nIdempotency-Key: {key}\r\nConnection: {connection}\r\n\
             Content-Length: {}\r\n\r\n{name}",
            deployment.caller().key(),
            name.len()
        )
    };
    let (first, second) = (place("plate-1", "keep-alive"), place("plate-2", "close"));
    let text = exchange_twice(deployment.entries()[0], &first, &second).await;
    assert_two_heads(&text, status);
}
