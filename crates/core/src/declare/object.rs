//! The objects that operators declare.

use serde::{Deserialize, Serialize};

use crate::{
    ids::{
        AdapterId, ClientId, Digest, ModelId, PoolId, RegionId, ServiceId, VersionId, VmId, ZoneId,
    },
    units::{ByteRate, Bytes, Share, Span},
};

/// One declared object, tagged by its kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Object {
    /// An availability zone.
    Zone(Zone),
    /// An endpoint pool.
    Pool(Pool),
    /// A service.
    Service(Service),
    /// A model.
    Model(Model),
    /// A version of a model.
    Version(Version),
    /// An adapter of a model.
    Adapter(Adapter),
    /// A client account.
    Client(Client),
    /// A VM.
    Vm(Vm),
}

/// An availability zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The name.
    pub name: ZoneId,
    /// The region of the zone.
    pub region: RegionId,
    /// Whether operators have taken the zone out of service.
    #[serde(default)]
    pub out: bool,
    /// The rate that weight transfers may use on the region's link to other regions.
    pub link: ByteRate,
}

/// A pool of endpoints that serve one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name.
    pub name: PoolId,
    /// The service that the pool serves.
    pub service: ServiceId,
    /// The maximum number of concurrent requests of a warm endpoint.
    pub slots: u32,
    /// The maximum number of concurrent requests of a cold endpoint.
    pub cold: u32,
    /// The maximum share of a zone's endpoints that load a version at the same time.
    #[serde(default = "Pool::default_step")]
    pub step: Share,
}

/// A service that callers send requests to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name.
    pub name: ServiceId,
    /// The kind of back end that handles the calls.
    pub backend: Backend,
    /// Whether a call may be retried after it may have run.
    pub repeatable: bool,
    /// The maximum total time of a call, retries included.
    pub timeout: Span,
}

/// The back end of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Backend {
    /// An inference engine that serves this model.
    Model(ModelId),
    /// A plain HTTP service.
    Plain,
}

/// A model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name.
    pub name: ModelId,
    /// The version that endpoints serve.
    pub version: VersionId,
}

/// A version of a model: a full set of weights, identified by the digest of its manifest.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The name.
    pub name: VersionId,
    /// The model.
    pub model: ModelId,
    /// The digest of the manifest.
    pub manifest: Digest,
    /// The size of the weights.
    pub size: Bytes,
}

/// An adapter that is loaded beside the weights of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The name.
    pub name: AdapterId,
    /// The version that the adapter belongs to.
    pub version: VersionId,
    /// The digest of the adapter's weights.
    pub digest: Digest,
    /// The size of the adapter's weights.
    pub size: Bytes,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Client {
    /// The name.
    pub name: ClientId,
    /// The digest of the account's API key.
    pub key: Digest,
    /// The relative share of the account when capacity is short.
    pub weight: u32,
    /// The services that the account may call.
    pub services: Vec<ServiceId>,
}

/// The role of a VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts requests of callers.
    Entry,
    /// Forwards requests to an engine or plain service of this pool.
    Endpoint(PoolId),
}

/// A VM of the system.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The name.
    pub name: VmId,
    /// The availability zone.
    pub zone: ZoneId,
    /// The role of the VM.
    pub role: Role,
    /// The address at which other processes reach the VM.
    pub addr: std::net::SocketAddr,
}

impl Pool {
    fn default_step() -> Share {
        Share(250)
    }
}

impl Object {
    /// Returns the kind of the object as it is written in files.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Zone(_) => "zone",
            Self::Pool(_) => "pool",
            Self::Service(_) => "service",
            Self::Model(_) => "model",
            Self::Version(_) => "version",
            Self::Adapter(_) => "adapter",
            Self::Client(_) => "client",
            Self::Vm(_) => "vm",
        }
    }

    /// Returns the name of the object.
    pub fn name(&self) -> &str {
        match self {
            Self::Zone(o) => o.name.as_str(),
            Self::Pool(o) => o.name.as_str(),
            Self::Service(o) => o.name.as_str(),
            Self::Model(o) => o.name.as_str(),
            Self::Version(o) => o.name.as_str(),
            Self::Adapter(o) => o.name.as_str(),
            Self::Client(o) => o.name.as_str(),
            Self::Vm(o) => o.name.as_str(),
        }
    }
}
