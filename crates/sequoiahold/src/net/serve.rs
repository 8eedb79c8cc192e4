//! The listening side between processes.

use std::{net::SocketAddr, time::Duration};

use quinn::{Connection, Endpoint, RecvStream, SendStream};
use sequoiahold_core::proto::Call;

use super::{Tls, TrafficCounter, read_message};

/// Time within which an opened stream must carry its call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Takes calls from other processes.
pub trait CallHandler: Clone + 'static {
    /// Answers one call on its stream.
    fn handle(&self, call: Call, send: SendStream, recv: RecvStream) -> impl Future<Output = ()>;
}

/// Listens for other processes until the endpoint is closed.
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
                    Err(error) => log::debug!("handshake failed: {error}"),
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
                Ok(Err(error)) => log::debug!("call refused: {error:#}"),
                Err(_) => log::debug!("call did not arrive in time"),
            }
        });
    }
}
