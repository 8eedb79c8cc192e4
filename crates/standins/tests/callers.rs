//! Limits of a real entry process on slow, oversized, excess and unauthenticated requests.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rstest::rstest;
use sequoiahold::settings::CallerLimits;
use sequoiahold_core::{
    declare::check,
    units::{Bytes, Span},
};
use sequoiahold_standins::{
    bench::{Counts, Subnet, Target, declarations},
    content::Content,
    processes::program_path,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Time within which the entry must be ready, and must close the connection of a slow caller.
const CUTOFF_TIMEOUT: Duration = Duration::from_secs(10);

async fn start_entry(net: u8, limits: CallerLimits) -> Target {
    let content = Content::of(&"llm-1".parse().unwrap(), Bytes(64_000), Bytes(64_000)).unwrap();
    let counts = Counts { net: Subnet::new(net), endpoints: 1, clients: 3, ..Counts::default() };
    let declared = declarations(counts, &content.manifest);
    assert_eq!(check(&declared), vec![], "the generated declarations are invalid");
    let target =
        Target::entry_with_limits(&program_path(), counts.net, &declared, limits).await.unwrap();
    let deadline = Instant::now() + CUTOFF_TIMEOUT;
    while !target.probe.status().await.is_ok_and(|s| s.generation.0 > 0)
        && Instant::now() < deadline
    {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    target
}

/// Sends `text` on a new connection and returns everything received until it closes.
async fn exchange(addr: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut received = vec![];
    let _ = actix_rt::time::timeout(CUTOFF_TIMEOUT, stream.read_to_end(&mut received)).await;
    String::from_utf8_lossy(&received).into_owned()
}

fn request(key: &str, length: usize, body: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {key}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

#[rstest]
fn caller_limits_are_enforced() {
    let limits = CallerLimits {
        body: Bytes(1_000),
        head: Span::secs(1),
        upload: Span::secs(1),
        connections: 4,
        ..CallerLimits::default()
    };
    actix_rt::System::new().block_on(async {
        let target = start_entry(90, limits).await;
        let addr = target.callers;
        let body = "{\"model\":\"llm\",\"messages\":[]}";

        let unknown = exchange(addr, &request("key-nobody", body.len(), body)).await;
        assert!(unknown.starts_with("HTTP/1.1 401"), "{unknown}");
        let known = exchange(addr, &request("key-account-1", body.len(), body)).await;
        assert!(known.starts_with("HTTP/1.1 503") && known.contains("\"not_run\":true"), "{known}");
        let large = "x".repeat(2_000);
        let too_large = exchange(addr, &request("key-account-1", large.len(), &large)).await;
        assert!(too_large.starts_with("HTTP/1.1 400"), "{too_large}");
        let slow_body = exchange(addr, &request("key-account-1", 500, "{")).await;
        assert!(slow_body.starts_with("HTTP/1.1 400"), "{slow_body}");
        let start = Instant::now();
        let slow_head = exchange(addr, "POST /v1/chat").await;
        assert!(start.elapsed() < CUTOFF_TIMEOUT, "the connection was not closed: {slow_head}");

        let mut held = vec![];
        for _ in 0..4 {
            held.push(TcpStream::connect(addr).await.unwrap());
        }
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let refused = exchange(addr, &request("key-account-1", body.len(), body)).await;
        assert_eq!(refused, "", "a connection above the limit was answered");
        let status = serde_json::to_string(&target.probe.status().await.unwrap()).unwrap();
        assert!(!status.contains("key-account"), "the status contains an API key");
    });
}
