//! The series: what grows, what is measured, and the line through the points.

use std::{collections::BTreeSet, path::Path, time::Duration};

use sequoiahold::net::{Links, call};
use sequoiahold_core::{
    ids::{Digest, Generation, Incarnation, ServiceId, VmId},
    proto::{Call, Heartbeat, Reply},
    units::{ByteRate, Bytes},
};

use super::{
    declared::{Counts, Net, set},
    fake_endpoint::FakeEndpoint,
    fit::{Point, fit},
    probe::Sample,
    role::Role,
};
use crate::{
    callers::{Caller, Question},
    content::Content,
    engine::{Behaviour, Engine},
    origin::Origin,
};

/// Time after a start before anything is measured.
const SETTLE: Duration = Duration::from_secs(3);
/// Time that one point is measured over.
const LENGTH: Duration = Duration::from_secs(6);

/// Prints the points and lines of a series.
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
        let Sample { processor, memory, wire } = sample;
        println!("{x:>12} {:>14.3} {memory:>12.2} {wire:>14.0}", processor * 100.0);
        self.points.push((x, sample));
    }

    fn print(&self) {
        let line = |value: fn(&Sample) -> f64| {
            let points: Vec<Point> =
                self.points.iter().map(|(x, sample)| Point { x: *x, y: value(sample) }).collect();
            fit(&points)
        };
        println!("core share % by {}: {}", self.unit, line(|s| s.processor * 100.0));
        println!("memory MB by {}: {}", self.unit, line(|s| s.memory));
        println!("wire B/s by {}: {}", self.unit, line(|s| s.wire));
    }
}

/// An entry against endpoints in its subset.
pub async fn entry_endpoints(program: &Path) -> anyhow::Result<()> {
    let mut series = Series::new("endpoints");
    for (net, endpoints) in Net::each([5, 10, 20, 40, 80]) {
        let counts = Counts { net, endpoints, ..Counts::default() };
        let role = Role::entry(program, counts.net, &set(counts, &weights()?.manifest)).await?;
        start_endpoints(&role, endpoints, 16, Duration::from_millis(20))?;
        actix_rt::time::sleep(SETTLE).await;
        series.add(f64::from(endpoints), role.probe.over(LENGTH).await?);
    }
    series.print();
    Ok(())
}

/// An entry against declared objects.
pub async fn entry_objects(program: &Path) -> anyhow::Result<()> {
    let mut series = Series::new("objects");
    for (net, others) in Net::each([100, 1_000, 2_000, 4_000]) {
        let counts = Counts { net, others, clients: others / 2, ..Counts::default() };
        let role = Role::entry(program, counts.net, &set(counts, &weights()?.manifest)).await?;
        actix_rt::time::sleep(SETTLE).await;
        series.add(f64::from(others) * 1.5, role.probe.over(LENGTH).await?);
    }
    series.print();
    Ok(())
}

/// An entry against changes of a set of 4,000 objects.
pub async fn entry_changes(program: &Path) -> anyhow::Result<()> {
    let mut series = Series::new("changes/s");
    let counts = Counts { others: 3_000, clients: 1_000, ..Counts::default() };
    let declared = set(counts, &weights()?.manifest);
    let role = Role::entry(program, counts.net, &declared).await?;
    let mut generation = 1;
    for changes in [0u32, 1, 2, 4] {
        actix_rt::time::sleep(SETTLE).await;
        let publishing = async {
            for _ in 0..changes * LENGTH.as_secs() as u32 {
                generation += 1;
                role.publish(&declared, generation)?;
                actix_rt::time::sleep(Duration::from_secs(1) / changes).await;
            }
            anyhow::Ok(())
        };
        let (sample, published) = tokio::join!(role.probe.over(LENGTH), publishing);
        published?;
        series.add(f64::from(changes), sample?);
    }
    series.print();
    Ok(())
}

/// An entry against requests of 16 parts.
pub async fn entry_requests(program: &Path) -> anyhow::Result<()> {
    let mut series = Series::new("requests/s");
    for (net, rate) in Net::each([10, 20, 40, 80]) {
        series.add(f64::from(rate), entry_under_load(program, net, rate, 16).await?);
    }
    series.print();
    Ok(())
}

/// An entry against parts of answers, at 10 requests a second.
pub async fn entry_tokens(program: &Path) -> anyhow::Result<()> {
    let mut series = Series::new("tokens/s");
    for (net, parts) in Net::each([10, 50, 100, 200]) {
        series.add(f64::from(parts * 10), entry_under_load(program, net, 10, parts).await?);
    }
    series.print();
    Ok(())
}

/// An endpoint against entries that exchange heartbeats with it once a second.
pub async fn endpoint_entries(program: &Path) -> anyhow::Result<()> {
    let mut series = Series::new("entries");
    for (net, entries) in Net::each([5u16, 10, 20, 40]) {
        let (role, _) = endpoint_with_weights(program, net).await?;
        let beats: Vec<_> = (0..entries)
            .map(|number| {
                let vm: VmId = format!("entry-{number}").parse()?;
                let links = role.links(vm.as_str())?;
                Ok(actix_rt::spawn(beat_for_ever(links, vm, net)))
            })
            .collect::<anyhow::Result<_>>()?;
        actix_rt::time::sleep(SETTLE).await;
        series.add(f64::from(entries), role.probe.over(LENGTH).await?);
        beats.iter().for_each(actix_rt::task::JoinHandle::abort);
    }
    series.print();
    Ok(())
}

/// An endpoint against chunks of 64 KB that peers draw from it.
pub async fn endpoint_chunks(program: &Path) -> anyhow::Result<()> {
    let mut series = Series::new("chunks/s");
    for (net, rate) in Net::each([0u32, 20, 40, 80]) {
        let (role, content) = endpoint_with_weights(program, net).await?;
        let links = role.links("peer")?;
        let digests: Vec<Digest> = content.manifest.chunks.clone();
        let drawing = async {
            for number in 0..rate * LENGTH.as_secs() as u32 {
                let connection = links.get(&"near-1".parse()?, net.address(1, 7400)).await?;
                let digest = digests[number as usize % digests.len()];
                call(&connection, &Call::Chunk(digest)).await?;
                actix_rt::time::sleep(Duration::from_secs(1) / rate).await;
            }
            anyhow::Ok(())
        };
        actix_rt::time::sleep(SETTLE).await;
        let (sample, drawn) = tokio::join!(role.probe.over(LENGTH), drawing);
        drawn?;
        series.add(f64::from(rate), sample?);
    }
    series.print();
    Ok(())
}

async fn entry_under_load(
    program: &Path,
    net: Net,
    rate: u32,
    parts: u32,
) -> anyhow::Result<Sample> {
    let counts = Counts { net, endpoints: 4, ..Counts::default() };
    let role = Role::entry(program, counts.net, &set(counts, &weights()?.manifest)).await?;
    start_endpoints(&role, 4, parts, Duration::from_millis(5))?;
    actix_rt::time::sleep(SETTLE).await;
    let callers = async {
        for number in 0..rate * LENGTH.as_secs() as u32 {
            let caller = Caller::new("key-account-0");
            let (entry, service): (_, ServiceId) = (role.callers, "llm".parse()?);
            actix_rt::spawn(async move {
                let prompt = number.to_string();
                let question = Question { service: &service, prompt: &prompt, tokens: parts };
                caller.ask(entry, &question, &BTreeSet::new()).await;
            });
            actix_rt::time::sleep(Duration::from_secs(1) / rate).await;
        }
        anyhow::Ok(())
    };
    let (sample, asked) = tokio::join!(role.probe.over(LENGTH), callers);
    asked?;
    sample
}

async fn endpoint_with_weights(program: &Path, net: Net) -> anyhow::Result<(Role, Content)> {
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
    let role = Role::endpoint(program, net, &set(counts, &content.manifest)).await?;
    Ok((role, content))
}

fn start_endpoints(role: &Role, count: u16, parts: u32, pause: Duration) -> anyhow::Result<()> {
    for number in 1..=count {
        let vm: VmId = format!("near-{number}").parse()?;
        let tls = role.tls(vm.as_str())?;
        let addr = role.net.address(number, 7400);
        FakeEndpoint { vm, addr, parts, pause }.start(&tls)?;
    }
    Ok(())
}

async fn beat_for_ever(links: Links, vm: VmId, net: Net) {
    loop {
        let beat = Heartbeat {
            vm: vm.clone(),
            incarnation: Incarnation(1),
            generation: Generation(1),
            crashes: vec![],
            load: None,
            demand: 0,
        };
        let endpoint: VmId = "near-1".parse().expect("a sound name");
        if let Ok(connection) = links.get(&endpoint, net.address(1, 7400)).await {
            let answer = call(&connection, &Call::Heartbeat(Box::new(beat))).await;
            debug_assert!(matches!(answer, Ok(Reply::Heartbeat(_)) | Err(_)));
        }
        actix_rt::time::sleep(Duration::from_secs(1)).await;
    }
}

fn weights() -> anyhow::Result<Content> {
    Content::of(&"llm-1".parse()?, Bytes(1_000_000), Bytes(64_000))
}
