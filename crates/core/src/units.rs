//! Newtypes for sizes, rates, durations and shares, with their textual forms.

use std::{fmt, str::FromStr, time::Duration};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

use crate::ids::InvalidId;

const KB: u64 = 1_000;
const MB: u64 = 1_000 * KB;
const GB: u64 = 1_000 * MB;
const BYTES_PER_MBIT: f64 = 125_000.0;

/// A number of bytes.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Bytes(pub u64);

/// A rate in bytes per second.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ByteRate(pub u64);

/// A rate in requests per second, finite and not negative.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
pub struct RequestRate(f64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Span(pub u64);

/// A share of a whole, in thousandths.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Share(pub u16);

impl ByteRate {
    /// Returns the time that a transfer of `size` takes at this rate, at most the longest duration.
    pub fn transfer_time(self, size: Bytes) -> Span {
        let micros = u128::from(size.0) * 1_000_000 / u128::from(self.0.max(1));
        Span(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

impl Span {
    /// Returns a duration of `n` milliseconds, at most the longest one.
    pub const fn millis(n: u64) -> Self {
        Self(n.saturating_mul(1_000))
    }

    /// Returns a duration of `n` seconds, at most the longest one.
    pub const fn secs(n: u64) -> Self {
        Self(n.saturating_mul(1_000_000))
    }

    /// Returns the duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl RequestRate {
    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let rate = text.trim().parse::<f64>().ok().filter(|rate| rate.is_finite() && *rate >= 0.0);
        rate.map(Self).ok_or_else(|| InvalidId {
            text: text.to_owned(),
            allowed: "a number of requests per second such as 1.5",
        })
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        Self::from_micros(span.0)
    }
}

impl Share {
    /// Returns this share of `n`, rounded up.
    pub fn of(self, n: usize) -> usize {
        (n * usize::from(self.0)).div_ceil(1_000)
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n >= GB && n % GB == 0 => write!(f, "{}GB", n / GB),
            n if n >= MB && n % MB == 0 => write!(f, "{}MB", n / MB),
            n if n >= KB && n % KB == 0 => write!(f, "{}KB", n / KB),
            n => write!(f, "{n}B"),
        }
    }
}

impl FromStr for Bytes {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        parse_scaled(text, &[("GB", GB), ("MB", MB), ("KB", KB), ("B", 1)]).map(Self).ok_or_else(
            || InvalidId { text: text.to_owned(), allowed: "a size such as 512KB or 4MB" },
        )
    }
}

impl fmt::Display for ByteRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", Bytes(self.0))
    }
}

impl FromStr for ByteRate {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let bits = text.strip_suffix("Mbit/s").and_then(|number| number.parse::<f64>().ok());
        let bytes = || text.strip_suffix("/s")?.parse::<Bytes>().ok();
        bits.filter(|mbit| *mbit >= 0.0)
            .map(|mbit| Self((mbit * BYTES_PER_MBIT) as u64))
            .or_else(|| bytes().map(|size| Self(size.0)))
            .ok_or_else(|| InvalidId {
                text: text.to_owned(),
                allowed: "a rate such as 2500KB/s or 20Mbit/s",
            })
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n >= 1_000_000 && n % 1_000_000 == 0 => write!(f, "{}s", n / 1_000_000),
            n if n >= 1_000 && n % 1_000 == 0 => write!(f, "{}ms", n / 1_000),
            n => write!(f, "{n}us"),
        }
    }
}

impl FromStr for Span {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        parse_scaled(text, &[("us", 1), ("ms", 1_000), ("s", 1_000_000)])
            .or_else(|| parse_decimal(text))
            .map(Self)
            .ok_or_else(|| InvalidId {
                text: text.to_owned(),
                allowed: "a time such as 250ms or 3s",
            })
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}%", self.0 / 10, self.0 % 10)
    }
}

impl FromStr for Share {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        text.strip_suffix('%')
            .and_then(|number| number.parse::<f64>().ok())
            .filter(|percent| (0.0..=100.0).contains(percent))
            .map(|percent| Self((percent * 10.0).round() as u16))
            .ok_or_else(|| InvalidId { text: text.to_owned(), allowed: "a share such as 25%" })
    }
}

macro_rules! serialize_as_text {
    ($($name:ident)*) => {$(
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    serializer.collect_str(self)
                } else {
                    self.0.serialize(serializer)
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if !deserializer.is_human_readable() {
                    return Deserialize::deserialize(deserializer).map(Self);
                }
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(D::Error::custom)
            }
        }
    )*};
}

serialize_as_text!(Bytes ByteRate Span Share);

fn parse_scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let (_, scale) = units.iter().find(|(name, _)| *name == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*scale)
}

/// Parses a duration with a decimal point, such as 2.5s, into microseconds.
fn parse_decimal(text: &str) -> Option<u64> {
    let (number, scale) = match text.strip_suffix("ms") {
        Some(number) => (number, 1e3),
        None => (text.strip_suffix('s')?, 1e6),
    };
    let value: f64 = number.parse().ok()?;
    let plain = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    plain.then_some((value * scale) as u64)
}
