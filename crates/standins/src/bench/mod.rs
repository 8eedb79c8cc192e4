//! Resource use of one real process by the number of peers, objects, changes and requests, and the
//! cost of placement.

mod declared;
mod fake_endpoint;
mod fit;
mod placement;
mod probe;
mod series;
mod target;

use std::path::PathBuf;

use anyhow::bail;

pub use self::{
    declared::{Counts, Subnet, declarations},
    fit::{Fit, Point, fit},
    probe::{Probe, Sample},
    target::Target,
};

/// The options of a benchmark.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of the series.
    pub series: String,
    /// The program under test.
    pub program: PathBuf,
}

/// Runs a series and prints its points and the fitted lines; an unknown name is an error.
pub async fn run(options: Options) -> anyhow::Result<u8> {
    match options.series.as_str() {
        "entry-endpoints" => series::entry_endpoints(&options.program).await?,
        "entry-objects" => series::entry_objects(&options.program).await?,
        "entry-changes" => series::entry_changes(&options.program).await?,
        "entry-requests" => series::entry_requests(&options.program).await?,
        "entry-tokens" => series::entry_tokens(&options.program).await?,
        "endpoint-entries" => series::endpoint_entries(&options.program).await?,
        "endpoint-chunks" => series::endpoint_chunks(&options.program).await?,
        "placement" => placement::run()?,
        other => bail!(
            "unknown series {other:?}; one of entry-endpoints, entry-objects, entry-changes, \
             entry-requests, entry-tokens, endpoint-entries, endpoint-chunks, placement"
        ),
    }
    Ok(0)
}
