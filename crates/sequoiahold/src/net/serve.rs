//! Listener for QUIC connections from other processes.

use std::{net::SocketAddr, time::Duration};

use quinn::{Connection, Endpoint, RecvStream, SendStream};
use sequoiahold_core::proto::Call;

use super::{Tls, TrafficCounter, read_message};

/// Maximum time from the start of a stream until its call is read.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Handler of calls from other processes.
pub trait CallHandler: Clone + 'static {
    /// Handles one call and writes the reply to its stream.
    fn handle(&self, call: Call, send: SendStream, recv: RecvStream) -> impl Future<Output = ()>;
}

/// Accepts connections and their calls until the returned endpoint is closed.
pub fn listen(
    addr: SocketAddr,
    tls: &Tls,
    traffic: TrafficCounter,
    service: impl CallHandler,
) -> anyhow::Result<Endpoint> {
    let endpoint = Endpoint::server(tls.server.clone(), addr)?;
    let accepting = endpoint.clone();
    actix_rt::spawn(async move {
        while let Some(incoming) = accepting.accept().await {
            let (service, traffic) = (service.clone(), traffic.clone());
            actix_rt::spawn(async move {
                match incoming.await {
                    Ok(connection) => {
                        traffic.track(&connection);
                        serve_streams(connection, service).await;
                    }
                    Err(error) => log::debug!("QUIC handshake failed: {error}"),
                }
            });
        }
    });
    Ok(endpoint)
}

async fn serve_streams(connection: Connection, service: impl CallHandler) {
    while let Ok((send, mut recv)) = connection.accept_bi().await {
        let service = service.clone();
        actix_rt::spawn(async move {
            let call = actix_rt::time::timeout(CALL_TIMEOUT, read_message::<Call>(&mut recv)).await;
            match call {
                Ok(Ok(call)) => service.handle(call, send, recv).await,
                Ok(Err(error)) => log::debug!("cannot read call: {error:#}"),
                Err(_) => log::debug!("no call received within {CALL_TIMEOUT:?}"),
            }
        });
    }
}
