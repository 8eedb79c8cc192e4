//! Newtypes for names, digests and sequence numbers.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

/// The longest allowed name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// A text that is not a valid identifier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidId {
    /// The rejected text.
    pub text: String,
    /// A description of the valid format.
    pub allowed: &'static str,
}

impl fmt::Display for InvalidId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not {}", self.text, self.allowed)
    }
}

impl std::error::Error for InvalidId {}

/// The name of a VM.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct VmId(Arc<str>);

/// The name of an availability zone.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ZoneId(Arc<str>);

/// The name of a region.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RegionId(Arc<str>);

/// The name of an endpoint pool.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PoolId(Arc<str>);

/// The name of a service, as callers address it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServiceId(Arc<str>);

/// The name of a model.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ModelId(Arc<str>);

/// The name of one version of a model.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct VersionId(Arc<str>);

/// The name of an adapter.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AdapterId(Arc<str>);

/// The name of a client account.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClientId(Arc<str>);

/// The idempotency key of a call that must not run twice.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct IdempotencyKey(Arc<str>);

/// The platform's identifier for one start of an endpoint's engine or service.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct InstanceId(Arc<str>);

/// The platform's identifier for a part of a prompt, which requests may share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = digits.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        let allowed = "a hexadecimal number of 1 to 16 digits";
        value.map(Self).ok_or_else(|| InvalidId { text: text.to_owned(), allowed })
    }
}

macro_rules! name_id {
    ($($name:ident)*) => {$(
        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidId;

            fn from_str(text: &str) -> Result<Self, InvalidId> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(D::Error::custom)
            }
        }
    )*};
}

name_id!(VmId ZoneId RegionId PoolId ServiceId ModelId VersionId AdapterId ClientId InstanceId IdempotencyKey);

/// A 32-byte digest: BLAKE3 for content addressed by sequoiahold, SHA-256 where the platform uses
/// it.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the BLAKE3 digest of `data`.
    pub fn of(data: &[u8]) -> Self {
        Self(*blake3::hash(data).as_bytes())
    }

    /// Wraps the bytes of a digest that was computed elsewhere, by either hash function.
    pub const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the first four bytes as a number, where a short hash is enough.
    pub fn short_hash(&self) -> u32 {
        let [a, b, c, d, ..] = self.0;
        u32::from_le_bytes([a, b, c, d])
    }

    /// Returns the bytes of the digest.
    pub fn bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Returns the first 12 hex digits, for log lines.
    pub fn short(&self) -> String {
        self.to_string()[..12].to_owned()
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl FromStr for Digest {
    type Err = InvalidId;

    fn from_str(text: &str) -> Result<Self, InvalidId> {
        blake3::Hash::from_hex(text)
            .map(|hash| Self(*hash.as_bytes()))
            .map_err(|_| InvalidId { text: text.to_owned(), allowed: "a digest of 64 hex digits" })
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return <[u8; 32]>::deserialize(deserializer).map(Self);
        }
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}

/// The generation of a published configuration; it increases with each publication.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Generation(pub u64);

/// Identifies one start of a process: its wall-clock time at the start, in microseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Incarnation(pub u64);

/// The number of a request, unique within one incarnation of its entry process.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestId(pub u64);

/// The fencing token of a load command to an engine, which rejects tokens lower than it has seen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FenceToken(pub u64);

/// The number of a connection to a server, unique in its pool.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(pub u64);

macro_rules! number_id {
    ($($name:ident)*) => {$(
        impl $name {
            /// Returns the next number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidId;

            fn from_str(text: &str) -> Result<Self, InvalidId> {
                text.parse()
                    .map(Self)
                    .map_err(|_| InvalidId { text: text.to_owned(), allowed: "a whole number" })
            }
        }
    )*};
}

number_id!(Generation Incarnation RequestId FenceToken ConnectionId);

fn check_name(text: &str) -> Result<(), InvalidId> {
    let allowed = "a name of 1 to 63 characters from a-z, 0-9, '-', '_', '.' that starts with a letter or digit";
    let alphanumeric = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit();
    let valid = !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && alphanumeric(text.as_bytes()[0])
        && text.bytes().all(|b| alphanumeric(b) || matches!(b, b'-' | b'_' | b'.'));
    if valid { Ok(()) } else { Err(InvalidId { text: text.to_owned(), allowed }) }
}
