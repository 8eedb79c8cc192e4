//! Client for the origin of chunk lists and chunks.

use std::{fmt, io, net::SocketAddr, time::Duration};

use actix_http::{Method, StatusCode, header::HeaderMap};
use bytes::Bytes;
use sequoiahold_core::{units::Span, weights::PullError};

use crate::h1::{ConnectionPool, UpstreamError};

/// Maximum size of a chunk list or chunk.
const MAX_BODY_BYTES: usize = 16_000_000;
/// Time after which a connection without a call is closed: idle ones of all loaders together, also
/// of those that lost power, would take up the origin's limit of connections.
const MAX_IDLE_TIME: Duration = Duration::from_millis(500);
/// Pause after the origin refused a call or a connection; it usually recovers within seconds.
const REFUSED_PAUSE: Span = Span::millis(150);

/// The reason why a call to the origin failed.
#[derive(Debug)]
pub enum OriginError {
    /// The connection was refused, or closed before the whole response arrived, as origins do
    /// above their limit of connections.
    Disconnected(io::Error),
    /// The origin refused the call temporarily.
    Refused(StatusCode),
    /// The response is malformed or has an unexpected status.
    Invalid(String),
}

impl OriginError {
    /// Returns the error of a pull whose call failed for this reason.
    pub fn pull_error(&self) -> PullError {
        match self {
            Self::Disconnected(_) | Self::Refused(_) => PullError::Later(REFUSED_PAUSE),
            Self::Invalid(_) => PullError::Silent,
        }
    }
}

impl fmt::Display for OriginError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disconnected(error) => write!(f, "connection to the origin: {error}"),
            Self::Refused(status) => write!(f, "the origin refused the call with status {status}"),
            Self::Invalid(fault) => write!(f, "invalid response of the origin: {fault}"),
        }
    }
}

impl std::error::Error for OriginError {}

impl From<io::Error> for OriginError {
    fn from(error: io::Error) -> Self {
        Self::Disconnected(error)
    }
}

impl From<UpstreamError> for OriginError {
    fn from(error: UpstreamError) -> Self {
        match error {
            UpstreamError::Io(error) => Self::Disconnected(error),
            UpstreamError::Malformed(fault) => Self::Invalid(fault),
            UpstreamError::NoMemory => Self::Invalid(error.to_string()),
        }
    }
}

/// Sends a GET request to the origin and returns the body of the response.
pub async fn get(
    pool: &ConnectionPool,
    addr: SocketAddr,
    path: &str,
) -> Result<Bytes, OriginError> {
    let mut upstream = pool.get_or_open(addr, MAX_IDLE_TIME, &[]).await?;
    let no_body = Bytes::new();
    let (response, body) =
        upstream.exchange(Method::GET, path, HeaderMap::new(), &no_body, MAX_BODY_BYTES).await?;
    pool.release(upstream);
    let idle = pool.clone();
    actix_rt::spawn(async move {
        actix_rt::time::sleep(MAX_IDLE_TIME).await;
        idle.evict_idle(addr, MAX_IDLE_TIME);
    });
    match response.status {
        StatusCode::OK => Ok(body),
        status @ (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
            Err(OriginError::Refused(status))
        }
        status => Err(OriginError::Invalid(format!("unexpected status {status} for {path}"))),
    }
}
