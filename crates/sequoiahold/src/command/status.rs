//! `sequoiahold status`: shows what a process holds and does.

use std::net::SocketAddr;

use anyhow::Context as _;

use crate::{cli::EXIT_PROBLEM_FOUND, status::Status};

/// Largest status that is read, in bytes.
const MAX_STATUS_BYTES: usize = 16_000_000;

/// Prints the status of the process at `addr`; the exit code tells whether there are alarms.
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
    let body = response.body().limit(MAX_STATUS_BYTES).await.context("the answer broke off")?;
    serde_json::from_slice(&body).context("the answer is not a status")
}
