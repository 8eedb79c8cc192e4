//! Responses of servers that are read from connections: where they end, and whose they are.

use std::{net::SocketAddr, time::Duration};

use actix_http::{Method, ServiceConfig, header::HeaderMap};
use actix_rt::time::timeout;
use bytes::Bytes;
use rstest::rstest;
use sequoiahold::h1::{ConnectionPool, PoolLimits, Upstream, UpstreamError, UpstreamResponse};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

/// Time within which a response must have been read.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after an answer at which further bytes are sent.
const LATE_DELAY: Duration = Duration::from_millis(25);
/// A whole answer.
const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nplate";
/// Maximum length of a body.
const MAX_BODY_BYTES: usize = 1_000;

fn pool() -> ConnectionPool {
    let limits = PoolLimits { connect_timeout: Duration::from_secs(1), max_idle: 4 };
    ConnectionPool::new(ServiceConfig::default(), limits)
}

async fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = vec![];
    while !request.ends_with(b"\r\n\r\n") {
        match stream.read_buf(&mut request).await {
            Ok(count) if count > 0 => {}
            _ => return false,
        }
    }
    true
}

/// Starts a server that answers each request on a connection with the next of these texts and then
/// leaves the connection open.
async fn start_server(answers: &[&str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let answers: Vec<String> = answers.iter().map(|text| (*text).to_owned()).collect();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answers = answers.clone();
            actix_rt::spawn(async move {
                for answer in answers {
                    if !read_request(&mut stream).await {
                        return;
                    }
                    stream.write_all(answer.as_bytes()).await.expect("a written answer");
                }
                let _ = read_request(&mut stream).await;
            });
        }
    });
    addr
}

async fn exchange(
    upstream: &mut Upstream,
    method: Method,
) -> Result<(UpstreamResponse, Bytes), UpstreamError> {
    let no_body = Bytes::new();
    let call = upstream.exchange(method, "/", HeaderMap::new(), &no_body, MAX_BODY_BYTES);
    timeout(READ_TIMEOUT, call).await.expect("a response in time")
}

// Guards against bytes behind a response without a body being passed on as its body.
#[rstest]
#[case::no_content("204 No Content", Method::GET, "Content-Length: 5\r\n\r\nplate", false)]
#[case::not_modified("304 Not Modified", Method::GET, "Content-Length: 5\r\n\r\nplate", false)]
#[case::head("200 OK", Method::HEAD, "Content-Length: 5\r\n\r\nplate", false)]
#[case::chunks("204 OK", Method::GET, "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false)]
#[case::not_modified_alone("304 Not Modified", Method::GET, "Content-Length: 5\r\n\r\n", true)]
#[case::no_content_alone("204 No Content", Method::GET, "\r\n", true)]
#[case::head_alone("200 OK", Method::HEAD, "Content-Length: 5\r\n\r\n", true)]
#[actix_rt::test]
async fn response_that_has_no_body_ends_with_its_head(
    #[case] status: &str,
    #[case] method: Method,
    #[case] rest: &str,
    #[case] is_reusable: bool,
) {
    let addr = start_server(&[&format!("HTTP/1.1 {status}\r\n{rest}")]).await;
    let mut upstream = pool().open(addr).await.expect("a connection");
    let (response, body) = exchange(&mut upstream, method).await.expect("a response");
    assert_eq!(response.status.as_u16(), status[..3].parse::<u16>().expect("a number"));
    assert_eq!(body, Bytes::new());
    assert_eq!(upstream.is_reusable(), is_reusable);
}

// Guards against chunk sizes being passed on as part of a body, where a version before HTTP/1.1
// leaves it open where the response ends.
#[actix_rt::test]
async fn chunks_of_an_older_version_are_no_response() {
    let head = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let addr = start_server(&[&format!("{head}5\r\nplate\r\n0\r\n\r\n")]).await;
    let mut upstream = pool().open(addr).await.expect("a connection");
    let read = exchange(&mut upstream, Method::GET).await;
    assert!(matches!(read, Err(UpstreamError::Malformed(_))), "{read:?}");
}

/// Starts a server that writes `early` as a connection opens, and to each request an answer and `late`
/// after it.
async fn start_talkative(early: &'static str, late: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            stream.write_all(early.as_bytes()).await.expect("written bytes");
            actix_rt::spawn(async move {
                while read_request(&mut stream).await {
                    stream.write_all(ANSWER.as_bytes()).await.expect("a written answer");
                    actix_rt::time::sleep(LATE_DELAY).await;
                    stream.write_all(late.as_bytes()).await.expect("written bytes");
                }
            });
        }
    });
    addr
}

/// Runs a server on a thread of its own, so that it goes on while the runtime of the test stands
/// still.
fn start_talkative_thread(early: &'static str, late: &'static str) -> SocketAddr {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            sender.send(start_talkative(early, late).await).expect("a test that waits");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("an address")
}

// Guards against bytes that arrive behind an answer being read as the answer to the next request,
// also where the runtime has not noticed them yet.
#[rstest]
#[case::answer(ANSWER)]
#[case::part(" ")]
#[actix_rt::test]
async fn connection_with_bytes_behind_an_answer_is_not_used_again(#[case] late: &'static str) {
    let (pool, addr) = (pool(), start_talkative_thread("", late));
    let mut upstream = pool.open(addr).await.expect("a connection");
    exchange(&mut upstream, Method::GET).await.expect("a response");
    pool.release(upstream);
    // Nothing polls the runtime meanwhile.
    std::thread::sleep(4 * LATE_DELAY);
    assert!(pool.take_idle(addr, READ_TIMEOUT, &[]).is_none());
}

// Guards against bytes that a server sends before any request being read as its answer.
#[actix_rt::test]
async fn bytes_before_a_request_are_not_its_answer() {
    let (pool, addr) = (pool(), start_talkative_thread(ANSWER, ""));
    let mut upstream = pool.open(addr).await.expect("a connection");
    std::thread::sleep(4 * LATE_DELAY);
    let no_body = Bytes::new();
    let sent = upstream.send(Method::GET, "/", HeaderMap::new(), &no_body).await;
    assert!(!sent.expect_err("a connection that is not used").partly_sent);
}

// Guards against a request being sent twice over one connection, where a late answer to the first
// attempt would be taken for that to the second.
#[actix_rt::test]
async fn excluded_connection_stays_for_other_requests() {
    let (pool, addr) = (pool(), start_server(&[ANSWER, ANSWER]).await);
    let mut upstream = pool.open(addr).await.expect("a connection");
    exchange(&mut upstream, Method::GET).await.expect("a response");
    let used = [upstream.id()];
    pool.release(upstream);
    assert!(pool.take_idle(addr, READ_TIMEOUT, &used).is_none());
    let other = pool.get_or_open(addr, READ_TIMEOUT, &used).await.expect("a connection");
    assert_ne!(other.id(), used[0]);
    let idle = pool.take_idle(addr, READ_TIMEOUT, &[]).expect("an idle connection");
    assert_eq!(idle.id(), used[0]);
}
