//! `Retry-After` of an endpoint that turns a request away: the pause that it asks for.

use std::time::{Duration, SystemTime};

use crate::units::Span;

/// Longest pause that is kept. Past it one request asks the endpoint again, so that an absurd value
/// loses no endpoint for good.
const MAX_PAUSE: Span = Span::secs(3_600);
/// Pause of an endpoint that asks for one of a length that is not readable: within it most overload
/// passes, and an error in the header costs the endpoint no more.
const DEFAULT_PAUSE: Span = Span::secs(1);

/// A pause that an endpoint asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PauseRequest {
    /// For this long.
    For(Span),
    /// For longer than a pause may last.
    TooLong,
    /// For a time that is neither seconds nor a date, or that is negative.
    Unreadable,
}

impl PauseRequest {
    /// Decodes a value in seconds, with or without decimals, or an HTTP date that is compared with
    /// the wall clock; a date in the past asks for no pause.
    pub fn decode(text: &str, wall: SystemTime) -> Self {
        let text = text.trim();
        let seconds = match text.parse::<f64>() {
            Ok(seconds) => seconds,
            Err(_) => match httpdate::parse_http_date(text) {
                Ok(date) => date.duration_since(wall).map_or(0.0, |left| left.as_secs_f64()),
                Err(_) => return Self::Unreadable,
            },
        };
        match Duration::try_from_secs_f64(seconds) {
            Ok(pause) if pause <= MAX_PAUSE.into() => Self::For(Span(pause.as_micros() as u64)),
            _ if seconds > 0.0 => Self::TooLong,
            _ => Self::Unreadable,
        }
    }

    /// Returns the time for which the endpoint gets no requests.
    pub fn span(self) -> Span {
        match self {
            Self::For(span) => span,
            Self::TooLong => MAX_PAUSE,
            Self::Unreadable => DEFAULT_PAUSE,
        }
    }
}
