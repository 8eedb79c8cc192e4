//! `sequoiahold status`: shows the status of a process.

use std::net::SocketAddr;

use anyhow::Context as _;

use crate::{cli::EXIT_PROBLEM_FOUND, status::Status};

/// Maximum size of a status response.
const MAX_STATUS_BYTES: usize = 16_000_000;

/// Prints the status of the process at `addr`; the exit code is 1 if it has alarms.
pub fn run(addr: SocketAddr, json: bool) -> anyhow::Result<u8> {
    let status = actix_rt::System::new().block_on(fetch_status(addr))?;
    if json {
        println!("{}", serde_json::to_string(&status)?);
    } else {
        print!("{status}");
    }
    Ok(if status.alarms.is_empty() { 0 } else { EXIT_PROBLEM_FOUND })
}

async fn fetch_status(addr: SocketAddr) -> anyhow::Result<Status> {
    let sent = awc::Client::default().get(format!("http://{addr}/status")).send().await;
    let mut response = sent.map_err(|e| anyhow::anyhow!("no answer from {addr}: {e}"))?;
    let body =
        response.body().limit(MAX_STATUS_BYTES).await.context("cannot read the status response")?;
    serde_json::from_slice(&body).context("the response is not a valid status")
}
