//! The series: each measures a process at several sizes and fits a line to the points.

use std::{collections::BTreeSet, path::Path, time::Duration};

use sequoiahold::net::{PeerConnections, call};
use sequoiahold_core::{
    ids::{Digest, Generation, Incarnation, ServiceId, VmId},
    proto::{Call, Heartbeat, Reply},
    units::{ByteRate, Bytes},
};

use super::{
    declared::{Counts, Subnet, declarations},
    fake_endpoint::FakeEndpoint,
    fit::{Point, fit},
    probe::Sample,
    target::Target,
};
use crate::{
    callers::{Caller, ChatRequest},
    content::Content,
    engine::{Behaviour, Engine},
    origin::Origin,
};

/// Time between the start of a process and its measurement.
const WARM_UP: Duration = Duration::from_secs(3);
/// Duration of the measurement of one point.
const MEASURE_TIME: Duration = Duration::from_secs(6);

/// The points measured so far; each is printed when it is added.
struct Series {
    unit: &'static str,
    points: Vec<(f64, Sample)>,
}

impl Series {
    fn new(unit: &'static str) -> Self {
        println!("{unit:>12} {:>14} {:>12} {:>14}", "core share %", "memory MB", "wire B/s");
        Self { unit, points: vec![] }
    }

    fn add(&mut self, x: f64, sample: Sample) {
        let Sample { cpu, memory, wire } = sample;
        println!("{x:>12} {:>14.3} {memory:>12.2} {wire:>14.0}", cpu * 100.0);
        self.points.push((x, sample));
    }

    fn print(&self) {
        let line = |value: fn(&Sample) -> f64| {
            let points: Vec<Point> =
                self.points.iter().map(|(x, sample)| Point { x: *x, y: value(sample) }).collect();
            fit(&points)
        };
        println!("core share % by {}: {}", self.unit, line(|s| s.cpu * 100.0));
        println!("memory MB by {}: {}", self.unit, line(|s| s.memory));
        println!("wire B/s by {}: {}", self.unit, line(|s| s.wire));
    }
}

/// Measures an entry by the number of endpoints in its subset.
pub async fn entry_endpoints(program: &Path) -> anyhow::Result<()> {
    let mut series = Series::new("endpoints");
    for (net, endpoints) in Subnet::pair_each([5, 10, 20, 40, 80]) {
        let counts = Counts { net, endpoints, ..Counts::default() };
        let target =
            Target::entry(program, counts.net, &declarations(counts, &weights()?.manifest)).await?;
        start_fakes(&target, endpoints, 16, Duration::from_millis(20))?;
        actix_rt::time::sleep(WARM_UP).await;
        series.add(f64::from(endpoints), target.probe.measure(MEASURE_TIME).await?);
    }
    series.print();
    Ok(())
}

/// Measures an entry by the number of declared objects.
pub async fn entry_objects(program: &Path) -> anyhow::Result<()> {
    let mut series = Series::new("objects");
    for (net, remote_endpoints) in Subnet::pair_each([100, 1_000, 2_000, 4_000]) {
        let counts =
            Counts { net, remote_endpoints, clients: remote_endpoints / 2, ..Counts::default() };
        let target =
            Target::entry(program, counts.net, &declarations(counts, &weights()?.manifest)).await?;
        actix_rt::time::sleep(WARM_UP).await;
        series.add(f64::from(remote_endpoints) * 1.5, target.probe.measure(MEASURE_TIME).await?);
    }
    series.print();
    Ok(())
}

/// Measures an entry by the changes per second of a set of 4,000 objects.
pub async fn entry_changes(program: &Path) -> anyhow::Result<()> {
    let mut series = Series::new("changes/s");
    let counts = Counts { remote_endpoints: 3_000, clients: 1_000, ..Counts::default() };
    let declared = declarations(counts, &weights()?.manifest);
    let target = Target::entry(program, counts.net, &declared).await?;
    let mut generation = 1;
    for changes in [0u32, 1, 2, 4] {
        actix_rt::time::sleep(WARM_UP).await;
        let publish = async {
            for _ in 0..changes * MEASURE_TIME.as_secs() as u32 {
                generation += 1;
                target.publish(&declared, generation)?;
                actix_rt::time::sleep(Duration::from_secs(1) / changes).await;
            }
            anyhow::Ok(())
        };
        let (sample, published) = tokio::join!(target.probe.measure(MEASURE_TIME), publish);
        published?;
        series.add(f64::from(changes), sample?);
    }
    series.print();
    Ok(())
}

/// Measures an entry by the requests per second, each with an answer of 16 parts.
pub async fn entry_requests(program: &Path) -> anyhow::Result<()> {
    let mut series = Series::new("requests/s");
    for (net, rate) in Subnet::pair_each([10, 20, 40, 80]) {
        series.add(f64::from(rate), entry_under_load(program, net, rate, 16).await?);
    }
    series.print();
    Ok(())
}

/// Measures an entry by the answer parts per second, at 10 requests per second.
pub async fn entry_tokens(program: &Path) -> anyhow::Result<()> {
    let mut series = Series::new("tokens/s");
    for (net, parts) in Subnet::pair_each([10, 50, 100, 200]) {
        series.add(f64::from(parts * 10), entry_under_load(program, net, 10, parts).await?);
    }
    series.print();
    Ok(())
}

/// Measures an endpoint by the number of entries, with one heartbeat per second from each.
pub async fn endpoint_entries(program: &Path) -> anyhow::Result<()> {
    let mut series = Series::new("entries");
    for (net, entries) in Subnet::pair_each([5u16, 10, 20, 40]) {
        let (target, _) = endpoint_with_weights(program, net).await?;
        let heartbeats: Vec<_> = (0..entries)
            .map(|number| {
                let vm: VmId = format!("entry-{number}").parse()?;
                let peers = target.connections(vm.as_str())?;
                Ok(actix_rt::spawn(send_heartbeats(peers, vm, net)))
            })
            .collect::<anyhow::Result<_>>()?;
        actix_rt::time::sleep(WARM_UP).await;
        series.add(f64::from(entries), target.probe.measure(MEASURE_TIME).await?);
        heartbeats.iter().for_each(actix_rt::task::JoinHandle::abort);
    }
    series.print();
    Ok(())
}

/// Measures an endpoint by the 64 KB chunks per second that a peer downloads from it.
pub async fn endpoint_chunks(program: &Path) -> anyhow::Result<()> {
    let mut series = Series::new("chunks/s");
    for (net, rate) in Subnet::pair_each([0u32, 20, 40, 80]) {
        let (target, content) = endpoint_with_weights(program, net).await?;
        let peers = target.connections("peer")?;
        let digests: Vec<Digest> = content.manifest.chunks.clone();
        let download = async {
            for number in 0..rate * MEASURE_TIME.as_secs() as u32 {
                let connection = peers.acquire(&"near-1".parse()?, net.address(1, 7400)).await?;
                let digest = digests[number as usize % digests.len()];
                call(&connection, &Call::Chunk(digest)).await?;
                actix_rt::time::sleep(Duration::from_secs(1) / rate).await;
            }
            anyhow::Ok(())
        };
        actix_rt::time::sleep(WARM_UP).await;
        let (sample, downloaded) = tokio::join!(target.probe.measure(MEASURE_TIME), download);
        downloaded?;
        series.add(f64::from(rate), sample?);
    }
    series.print();
    Ok(())
}

async fn entry_under_load(
    program: &Path,
    net: Subnet,
    rate: u32,
    parts: u32,
) -> anyhow::Result<Sample> {
    let counts = Counts { net, endpoints: 4, ..Counts::default() };
    let target =
        Target::entry(program, counts.net, &declarations(counts, &weights()?.manifest)).await?;
    start_fakes(&target, 4, parts, Duration::from_millis(5))?;
    actix_rt::time::sleep(WARM_UP).await;
    let callers = async {
        for number in 0..rate * MEASURE_TIME.as_secs() as u32 {
            let caller = Caller::new("key-account-0");
            let (entry, service): (_, ServiceId) = (target.callers, "llm".parse()?);
            actix_rt::spawn(async move {
                let prompt = number.to_string();
                let request = ChatRequest { service: &service, prompt: &prompt, tokens: parts };
                caller.chat(entry, &request, &BTreeSet::new()).await;
            });
            actix_rt::time::sleep(Duration::from_secs(1) / rate).await;
        }
        anyhow::Ok(())
    };
    let (sample, sent) = tokio::join!(target.probe.measure(MEASURE_TIME), callers);
    sent?;
    sample
}

async fn endpoint_with_weights(program: &Path, net: Subnet) -> anyhow::Result<(Target, Content)> {
    let content = weights()?;
    let origin = Origin::start(net.address(0, 7910), ByteRate(1 << 30)).await?;
    origin.add(&content);
    let behaviour = Behaviour {
        slots: 64,
        cold_slots: 64,
        warm_tokens: 1,
        token_time: Duration::from_millis(5),
        load_time: Duration::from_millis(10),
        ..Behaviour::default()
    };
    let backend = net.address(1, 8000);
    Engine::start(backend, behaviour).await?;
    let counts = Counts { net, endpoints: 1, ..Counts::default() };
    let target = Target::endpoint(program, net, &declarations(counts, &content.manifest)).await?;
    Ok((target, content))
}

fn start_fakes(target: &Target, count: u16, parts: u32, pause: Duration) -> anyhow::Result<()> {
    for number in 1..=count {
        let vm: VmId = format!("near-{number}").parse()?;
        let tls = target.tls(vm.as_str())?;
        let addr = target.net.address(number, 7400);
        FakeEndpoint { vm, addr, parts, pause }.start(&tls)?;
    }
    Ok(())
}

async fn send_heartbeats(peers: PeerConnections, vm: VmId, net: Subnet) {
    loop {
        let heartbeat = Heartbeat {
            vm: vm.clone(),
            incarnation: Incarnation(1),
            generation: Generation(1),
            crashes: vec![],
            load: None,
            demand: 0,
        };
        let endpoint: VmId = "near-1".parse().expect("a valid name");
        if let Ok(connection) = peers.acquire(&endpoint, net.address(1, 7400)).await {
            let answer = call(&connection, &Call::Heartbeat(Box::new(heartbeat))).await;
            debug_assert!(matches!(answer, Ok(Reply::Heartbeat(_)) | Err(_)));
        }
        actix_rt::time::sleep(Duration::from_secs(1)).await;
    }
}

fn weights() -> anyhow::Result<Content> {
    Content::of(&"llm-1".parse()?, Bytes(1_000_000), Bytes(64_000))
}
