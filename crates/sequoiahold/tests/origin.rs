//! Connections to the origin: ones that it closes, and ones that nobody uses any more.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use actix_http::ServiceConfig;
use rstest::rstest;
use sequoiahold::{
    h1::{ConnectionPool, PoolLimits},
    loader::origin,
};
use sequoiahold_core::weights::PullError;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
};

/// How the origin answers a request.
#[derive(Clone, Copy, Debug)]
enum Answer {
    /// Closes the connection without a response.
    Close,
    /// Closes the connection within the body.
    Cut,
    /// Resets the connection, as above the limit of connections.
    Reset,
    /// Sends bytes that are not a response.
    Garbage,
}

async fn read_request(stream: &mut TcpStream) {
    let mut request = [0; 1024];
    let len = stream.read(&mut request).await.expect("a request");
    assert!(request[..len].ends_with(b"\r\n\r\n"), "the request is incomplete");
}

async fn start_origin(answer: Answer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            read_request(&mut stream).await;
            match answer {
                Answer::Close => {}
                Answer::Cut => {
                    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nhalf";
                    stream.write_all(head).await.expect("a written response");
                }
                Answer::Reset => stream.set_zero_linger().expect("a socket option"),
                Answer::Garbage => {
                    stream.write_all(b"chunk\r\n\r\n").await.expect("a written response");
                }
            }
        }
    });
    addr
}

fn pool() -> ConnectionPool {
    let limits = PoolLimits { connect_timeout: Duration::from_secs(1), max_idle: 4 };
    ConnectionPool::new(ServiceConfig::default(), limits)
}

async fn pull_error(answer: Answer) -> PullError {
    let addr = start_origin(answer).await;
    let error = origin::get(&pool(), addr, "/chunk").await.expect_err("no chunk");
    error.pull_error()
}

/// An origin that is silent is left alone for seconds, one that has too many connections is not.
#[rstest]
#[case::closed(Answer::Close)]
#[case::cut(Answer::Cut)]
#[case::reset(Answer::Reset)]
#[actix_rt::test]
async fn origin_that_closes_a_connection_is_asked_again_soon(#[case] answer: Answer) {
    let error = pull_error(answer).await;
    assert!(matches!(error, PullError::Later(_)), "{error:?}");
}

#[actix_rt::test]
async fn origin_without_a_valid_response_counts_as_silent() {
    assert_eq!(pull_error(Answer::Garbage).await, PullError::Silent);
}

/// A connection that is open when its VM loses power counts towards the origin's limit for long.
#[actix_rt::test]
async fn no_connection_to_the_origin_stays_open_between_pulls() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let origin = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nchunk";
        stream.write_all(answer).await.expect("a written response");
        actix_rt::time::timeout(Duration::from_secs(1), stream.read_u8()).await
    };
    let pool = pool();
    let (chunk, rest) = tokio::join!(origin::get(&pool, addr, "/chunk"), origin);
    assert_eq!(chunk.expect("a chunk"), "chunk");
    let end = rest.expect("the connection is closed after the pull").expect_err("no more bytes");
    assert_eq!(end.kind(), ErrorKind::UnexpectedEof);
}
