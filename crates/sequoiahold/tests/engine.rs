//! Outcome of a call whose connection to the engine or service fails.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use rstest::rstest;
use sequoiahold::{
    endpoint::{EngineClient, SendError},
    settings,
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

/// How the server fails after it has received a request.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// Closes the connection without a response.
    CloseEarly,
    /// Sends half a response head and closes the connection.
    HalfHead,
    /// Resets the connection.
    Reset,
}

async fn start_server(failure: Failure) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 1024];
            let _ = stream.read(&mut request).await;
            match failure {
                Failure::CloseEarly => {}
                Failure::HalfHead => drop(stream.write_all(b"HTTP/1.1 200 O").await),
                Failure::Reset => drop(stream.set_zero_linger()),
            }
        }
    });
    addr
}

fn engine(addr: SocketAddr) -> EngineClient {
    EngineClient::new(&settings::Engine { url: format!("http://{addr}"), fences: false })
}

async fn send_order(engine: &EngineClient) -> Option<SendError> {
    engine.send_request("POST", "/orders", "1", None, Bytes::from_static(b"plate")).await.err()
}

#[rstest]
#[case::closed(Failure::CloseEarly)]
#[case::half_a_head(Failure::HalfHead)]
#[case::reset(Failure::Reset)]
fn the_outcome_of_a_written_call_is_unknown(#[case] failure: Failure) {
    actix_rt::System::new().block_on(async {
        let engine = engine(start_server(failure).await);
        assert_eq!(send_order(&engine).await, Some(SendError::Unknown));
        assert_eq!(send_order(&engine).await, Some(SendError::Unknown));
    });
}

#[test]
fn a_call_without_a_connection_was_not_sent() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("an address");
        drop(listener);
        assert_eq!(send_order(&engine(addr)).await, Some(SendError::NotSent));
    });
}

#[test]
fn unresponsive_connections_are_replaced_after_one_poll() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("an address");
        actix_rt::spawn(async move {
            let mut count = 0;
            while let Ok((mut stream, _)) = listener.accept().await {
                count += 1;
                let silent = count <= 2;
                actix_rt::spawn(async move {
                    let mut answered = false;
                    let mut request = [0; 1024];
                    while let Ok(1..) = stream.read(&mut request).await {
                        if silent && answered {
                            std::future::pending::<()>().await;
                        }
                        let state = "{\"incarnation\":1,\"version\":null,\"manifest\":null,\
                                     \"limit\":4,\"running\":0,\"fence\":0}";
                        let length = state.len();
                        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                        let _ = stream.write_all(format!("{head}{state}").as_bytes()).await;
                        answered = true;
                    }
                });
            }
        });
        let engine = engine(addr);
        let (one, two) = tokio::join!(engine.state(), engine.state());
        assert!(one.is_ok() && two.is_ok());
        assert!(engine.state().await.is_err());
        let retried = actix_rt::time::timeout(Duration::from_secs(1), engine.state()).await;
        assert!(retried.is_ok_and(|state| state.is_ok()));
    });
}
