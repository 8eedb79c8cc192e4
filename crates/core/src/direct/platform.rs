//! Interface to the platform that the product runs on: paths, header names and formats.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::{
    catalog::{Catalog, EndpointEntry},
    mirror::{Change, Era, Revision},
};
use crate::ids::{Digest, InstanceId, ModelId, PartId, ZoneId};

/// Names of the headers that gateways read and set, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// The caller's attempt id, echoed by the endpoint.
    pub attempt: &'static str,
    /// The time left for the request, in ms.
    pub deadline: &'static str,
    /// The id of the last event received by the caller.
    pub last_event: &'static str,
    /// The endpoint's signature of an answer.
    pub signature: &'static str,
    /// The client account, set by the gateway.
    pub account: &'static str,
    /// The only instance that may run the request.
    pub instance: &'static str,
    /// Set on answers of an endpoint that did not run the request.
    pub not_run: &'static str,
    /// The model.
    pub model: &'static str,
    /// The number of prompt tokens and the maximum number of answer tokens.
    pub token_counts: &'static str,
    /// The parts of the prompt in order.
    pub prompt_parts: &'static str,
    /// The caller's estimate of the answer length in tokens.
    pub length_hint: &'static str,
    /// The priority at the engine.
    pub priority: &'static str,
    /// The only version of the weights that may be used.
    pub version: &'static str,
    /// The requests per second that the endpoint takes from all gateways together.
    pub rate_limit: &'static str,
    /// Set to 1 on all answers of an endpoint that leaves.
    pub leaving: &'static str,
    /// The number of times that the platform restored its state from a copy.
    pub era: &'static str,
}

/// A decoded value that the platform published.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishedValue {
    /// The configuration.
    Catalog(Box<Catalog>),
    /// An entry of the endpoint list, `None` where it was removed.
    Endpoint(InstanceId, Option<EndpointEntry>),
    /// Whether operators have evacuated an availability zone.
    ZoneEvacuated(ZoneId, bool),
    /// The version of a model that must be in use, `None` where it was removed.
    TargetVersion(ModelId, Option<u64>),
    /// A key without meaning to the system.
    Other,
}

/// A value from the platform that cannot be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError {
    /// The key, path or kind of the value.
    pub location: String,
    /// Why the value cannot be decoded.
    pub reason: String,
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.location, self.reason)
    }
}

impl std::error::Error for DecodeError {}

/// One page of the published items.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// The platform's revision at the time of the answer.
    pub revision: Revision,
    /// The items.
    pub items: Vec<Change>,
    /// Whether more items follow.
    pub has_more: bool,
}

/// Status report of an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// The version of each model that it holds complete.
    pub versions: BTreeMap<ModelId, u64>,
    /// Whether a load order is in progress.
    pub busy: bool,
    /// Number of load orders begun since its start.
    pub orders_begun: u64,
    /// Start time in ms of the wall clock.
    pub started_ms: Option<u64>,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
}

/// The chunk list of one version of a model's weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChunkList {
    /// The version.
    pub version: u64,
    /// The size of a chunk in bytes.
    pub chunk_size: u64,
    /// The SHA-256 digest of each chunk.
    pub digests: Vec<Digest>,
}

/// An order to load the weights staged at an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// The model.
    pub model: ModelId,
    /// The staged version.
    pub version: u64,
    /// Precondition: the number of load orders that the engine must have begun so far.
    pub orders_begun: u64,
}

/// Builds paths and encodes and decodes the messages of a platform, without any decision logic.
pub trait Codec: Copy + 'static {
    /// Returns the header names.
    fn header_names(&self) -> &'static HeaderNames;
    /// Decodes the header with the parts of a prompt.
    fn decode_prompt_parts(&self, value: &str) -> Result<Vec<PartId>, DecodeError>;
    /// Decodes the header by which an endpoint says that it leaves.
    fn decode_leaving(&self, value: &str) -> Result<bool, DecodeError>;
    /// Returns the path of a gateway's readiness check.
    fn readiness_path(&self) -> &'static str;
    /// Returns the path of the page of items after a key, the first page without one.
    fn page_path(&self, after: Option<&str>) -> String;
    /// Decodes a page of items of an era.
    fn decode_page(&self, era: Era, body: &[u8]) -> Result<Page, DecodeError>;
    /// Returns the path of a watch for changes after a revision that waits at most `wait_ms`.
    fn watch_path(&self, after: Revision, wait_ms: u64) -> String;
    /// Decodes the answer to a watch, of an era: the revision that it reaches and the changes.
    fn decode_changes(&self, era: Era, body: &[u8])
    -> Result<(Revision, Vec<Change>), DecodeError>;
    /// Decodes a published value, `None` where the key was removed.
    fn decode_published(
        &self,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<PublishedValue, DecodeError>;
    /// Returns the path of an engine's status report.
    fn report_path(&self) -> &'static str;
    /// Decodes a status report.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport, DecodeError>;
    /// Returns the path of the chunk list of a version, of the newest where none is given.
    fn chunk_list_path(&self, model: &ModelId, version: Option<u64>) -> String;
    /// Decodes a chunk list.
    fn decode_chunk_list(&self, body: &[u8]) -> Result<ChunkList, DecodeError>;
    /// Returns the path of a chunk at the origin.
    fn chunk_path(&self, model: &ModelId, version: u64, chunk: usize) -> String;
    /// Returns the path for staging a chunk at an engine.
    fn stage_put_path(&self, model: &ModelId, chunk: usize) -> String;
    /// Returns the path for reading a staged chunk back from an engine.
    fn stage_get_path(&self, model: &ModelId, chunk: usize) -> String;
    /// Returns the path for sending orders to an engine.
    fn order_path(&self) -> &'static str;
    /// Encodes a load order.
    fn encode_order(&self, order: &LoadOrder) -> Bytes;
}
