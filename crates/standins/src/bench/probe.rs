//! Resource use of a process, read from `/proc` and from its status.

use std::{fs, net::SocketAddr, time::Duration};

use anyhow::Context as _;
use sequoiahold::status::Status;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4096.0;

/// The resource use of a process: since its start, or per second over a measurement.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    /// CPU time, in seconds.
    pub cpu: f64,
    /// Resident memory at the end, in MB.
    pub memory: f64,
    /// Bytes sent to and received from peers, headers included.
    pub wire: f64,
}

/// Reads the resource use of one process.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The process id.
    pub id: u32,
    /// The address of its admin interface.
    pub admin: SocketAddr,
}

impl Probe {
    /// Reads the resource use since the start of the process.
    ///
    /// Fails if the process has ended or does not answer.
    pub async fn sample(&self) -> anyhow::Result<Sample> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.id))
            .context("cannot read /proc/PID/stat")?;
        let fields: Vec<&str> = stat
            .rsplit_once(") ")
            .context("no process name in /proc/PID/stat")?
            .1
            .split_whitespace()
            .collect();
        let field = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
        let ticks = field(11).unwrap_or(0.0) + field(12).unwrap_or(0.0);
        let status = self.status().await?;
        Ok(Sample {
            cpu: ticks / TICKS_PER_SECOND,
            memory: field(21).unwrap_or(0.0) * PAGE_BYTES / 1e6,
            wire: (status.wire.sent.0 + status.wire.received.0) as f64,
        })
    }

    /// Measures for `length`; returns the use per second, and the memory at the end.
    pub async fn measure(&self, length: Duration) -> anyhow::Result<Sample> {
        let start = self.sample().await?;
        actix_rt::time::sleep(length).await;
        let end = self.sample().await?;
        let seconds = length.as_secs_f64();
        Ok(Sample {
            cpu: (end.cpu - start.cpu) / seconds,
            memory: end.memory,
            wire: (end.wire - start.wire) / seconds,
        })
    }

    /// Requests the status of the process.
    pub async fn status(&self) -> anyhow::Result<Status> {
        let request = awc::Client::default().get(format!("http://{}/status", self.admin));
        let mut response = request.send().await.map_err(|e| anyhow::anyhow!("status: {e}"))?;
        Ok(serde_json::from_slice(&response.body().limit(8_000_000).await?)?)
    }
}
