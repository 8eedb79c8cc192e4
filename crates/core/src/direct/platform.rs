//! The seam between the product and the platform that it runs on: paths, names and formats.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::{
    catalog::{Catalog, EndpointEntry},
    mirror::{Change, Revision},
};
use crate::ids::{Digest, InstanceId, ModelId, ZoneId};

/// The names of the headers that gateways read and set, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// The id of a caller's attempt, which the endpoint echoes.
    pub attempt: &'static str,
    /// Milliseconds that are left for the request.
    pub deadline: &'static str,
    /// The number of the last event that the caller holds.
    pub last_event: &'static str,
    /// The endpoint's signature of an answer.
    pub signature: &'static str,
    /// The client account, set by the gateway.
    pub account: &'static str,
    /// The instance that alone may run the request.
    pub instance: &'static str,
    /// Says that the endpoint did not run the request.
    pub not_run: &'static str,
    /// The model.
    pub model: &'static str,
    /// Prompt tokens, and the most tokens of the answer.
    pub token_counts: &'static str,
    /// The caller's estimate of the tokens of the answer.
    pub length_hint: &'static str,
    /// The rank at the engine.
    pub priority: &'static str,
    /// The version of the weights that alone may be used.
    pub version: &'static str,
}

/// A value that the platform published, decoded.
#[derive(Clone, Debug, PartialEq)]
pub enum PublishedValue {
    /// The configuration.
    Catalog(Box<Catalog>),
    /// An entry of the list of endpoints, or `None` where it was removed.
    Endpoint(InstanceId, Option<EndpointEntry>),
    /// Whether operators have taken an availability zone out.
    ZoneEvacuated(ZoneId, bool),
    /// The version of a model that operators want.
    TargetVersion(ModelId, Option<u64>),
    /// A key that means nothing to the system.
    Other,
}

/// A published value that cannot be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError {
    /// The key or path.
    pub location: String,
    /// What is wrong with the value.
    pub reason: String,
}

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.location, self.reason)
    }
}

impl std::error::Error for DecodeError {}

/// One page of a list of items.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// The platform's revision when it answered.
    pub revision: Revision,
    /// The items.
    pub items: Vec<Change>,
    /// Whether more items follow.
    pub has_more: bool,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// The version that it holds whole, by model.
    pub versions: BTreeMap<ModelId, u64>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders that it has begun since its start.
    pub orders_begun: u64,
    /// When it started, in ms of the wall clock.
    pub started_ms: Option<u64>,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
}

/// The chunks of one version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChunkList {
    /// The version.
    pub version: u64,
    /// The size of a chunk in bytes.
    pub chunk_size: u64,
    /// The SHA-256 digest of each chunk.
    pub digests: Vec<Digest>,
}

/// An order to load what is staged at an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadOrder {
    /// The model.
    pub model: ModelId,
    /// The version that is staged.
    pub version: u64,
    /// The number of orders that the engine must have begun so far.
    pub orders_begun: u64,
}

/// The paths, names and formats of a platform. Implementations decide nothing.
pub trait Codec: Copy + 'static {
    /// Returns the names of headers.
    fn header_names(&self) -> &'static HeaderNames;
    /// Returns the path of a gateway's readiness.
    fn readiness_path(&self) -> &'static str;
    /// Returns the path of a page of all items, after a key.
    fn page_path(&self, after: Option<&str>) -> String;
    /// Reads a page.
    fn decode_page(&self, body: &[u8]) -> Result<Page, DecodeError>;
    /// Returns the path of a watch for changes after a revision, for at most `wait_ms`.
    fn watch_path(&self, after: Revision, wait_ms: u64) -> String;
    /// Reads the changes that a watch returned.
    fn decode_changes(&self, body: &[u8]) -> Result<(Revision, Vec<Change>), DecodeError>;
    /// Reads a published value.
    fn decode_published(
        &self,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<PublishedValue, DecodeError>;
    /// Returns the path of an engine's report.
    fn report_path(&self) -> &'static str;
    /// Reads a report.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport, DecodeError>;
    /// Returns the path of the chunk list of a version, the newest one where none is given.
    fn chunk_list_path(&self, model: &ModelId, version: Option<u64>) -> String;
    /// Reads a chunk list.
    fn decode_chunk_list(&self, body: &[u8]) -> Result<ChunkList, DecodeError>;
    /// Returns the path of a chunk at the origin.
    fn chunk_path(&self, model: &ModelId, version: u64, chunk: usize) -> String;
    /// Returns the path at which an engine takes a chunk.
    fn stage_put_path(&self, model: &ModelId, chunk: usize) -> String;
    /// Returns the path at which an engine gives a staged chunk back.
    fn stage_get_path(&self, model: &ModelId, chunk: usize) -> String;
    /// Returns the path at which an engine takes orders.
    fn order_path(&self) -> &'static str;
    /// Writes an order to load what is staged.
    fn encode_order(&self, order: &LoadOrder) -> Bytes;
}
