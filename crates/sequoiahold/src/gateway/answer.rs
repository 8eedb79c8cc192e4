//! Local replies: responses that the gateway makes itself.

use std::fmt;

use actix_http::{StatusCode, header::HeaderMap};
use sequoiahold_core::{direct::catalog::Denial, refusal::Refusal, units::Span};

use super::plan::PlanError;
use crate::h1::ResponseWriter;

/// Retry delay given to callers of a gateway that has no configuration yet.
const UNCONFIGURED_RETRY_DELAY: Span = Span::millis(500);

/// A response that the gateway makes itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LocalReply {
    /// The configuration does not allow the request.
    Denied(Denial),
    /// The request did not run and will not run.
    Refused(Refusal),
    /// The gateway has no configuration yet; the request did not run and will not run.
    Unconfigured,
    /// The request may have run at an endpoint that gave no valid response.
    Unknown,
    /// The deadline passed; the request may have run.
    TimedOut,
}

impl fmt::Display for LocalReply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Denied(Denial::NoRoute) => f.write_str("no route matches"),
            Self::Denied(Denial::BadKey) => f.write_str("the API key is unknown"),
            Self::Refused(refusal) => refusal.reason.fmt(f),
            Self::Unconfigured => f.write_str("no configuration is known yet"),
            Self::Unknown => f.write_str("the outcome at an endpoint is not known"),
            Self::TimedOut => f.write_str("the time is over"),
        }
    }
}

impl From<PlanError> for LocalReply {
    fn from(error: PlanError) -> Self {
        match error {
            PlanError::Denied(denial) => Self::Denied(denial),
            PlanError::Unconfigured => Self::Unconfigured,
        }
    }
}

impl LocalReply {
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::Denied(Denial::NoRoute) => StatusCode::NOT_FOUND,
            Self::Denied(Denial::BadKey) => StatusCode::UNAUTHORIZED,
            Self::Refused(_) | Self::Unconfigured => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the delay after which the caller may retry.
    pub(super) fn retry_delay(self) -> Option<Span> {
        match self {
            Self::Refused(refusal) => refusal.retry,
            Self::Unconfigured => Some(UNCONFIGURED_RETRY_DELAY),
            _ => None,
        }
    }

    /// Writes the reply; returns whether the caller's connection can be reused.
    ///
    /// `attempt` is the name and value of the attempt header, which is echoed to the caller.
    pub(super) async fn write(
        self,
        writer: &mut ResponseWriter,
        attempt: Option<(&'static str, &str)>,
        close: bool,
    ) -> bool {
        let mut headers = HeaderMap::new();
        if let Some((name, id)) = attempt
            && let (Ok(name), Ok(id)) = (name.parse(), id.parse())
        {
            let name: actix_http::header::HeaderName = name;
            headers.insert(name, id);
        }
        if let Some(retry) = self.retry_delay()
            && let Ok(value) = format!("{:.3}", retry.as_secs_f64()).parse()
        {
            headers.insert(actix_http::header::RETRY_AFTER, value);
        }
        match writer.write_response(self.status(), headers, b"", close).await {
            Ok(()) => !close && writer.keep_alive(),
            Err(error) => {
                log::debug!("cannot write a local reply to a caller: {error}");
                false
            }
        }
    }
}
