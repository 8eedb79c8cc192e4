//! Faults injected from outside the processes: signals, broken links, a failing store, crashes.

mod loads;
mod storm;

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use futures_util::future::join_all;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};

use super::{
    engine::{Engine, Pause},
    fleet::Fleet,
    journal::Part,
    notices::LinkOwner,
    plan::{Plan, Prelude, Round},
};
use crate::{
    processes::{Process, Signal},
    relay::{Direction, RelayFilter},
};

/// Duration of the faults of a round.
const STORM_TIME: Duration = Duration::from_secs(3);
/// Time after the bound of the versions for which a round goes on, without faults of the platform.
const CALM_MARGIN: Duration = Duration::from_secs(2);
/// Number of checks after SIGTERM by which a process must have ended by itself, 6 s apart from the
/// time for which all processes stood still.
const STOP_CHECKS: u32 = 120;
/// Fraction of the rollout time after which the engines have loaded a version, except late ones.
const LOAD_FRACTION: f64 = 0.5;
/// Time after which the entry of an engine that has ended is removed.
const ENTRY_LIFETIME: Duration = Duration::from_secs(3);
/// Interval between two checks of the processes, and of the engines' entries.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Plays the rounds of a plan.
pub(super) async fn play(fleet: &Fleet, plan: &Plan) -> anyhow::Result<()> {
    let mut rng = SmallRng::seed_from_u64(!plan.seed);
    let mut extra = SmallRng::seed_from_u64(plan.seed.rotate_left(16));
    let mut notices = SmallRng::seed_from_u64(plan.seed.rotate_left(24));
    let mut loads = SmallRng::seed_from_u64(plan.seed.rotate_left(40));
    let mut storms = SmallRng::seed_from_u64(plan.seed.rotate_left(48));
    for round in &plan.rounds {
        fleet.seats.iter().for_each(|seat| seat.engine.set_rate_limit(None));
        let mut restores = SmallRng::seed_from_u64(extra.random());
        let (noticed, loaded, lasting, stormed, restored) = tokio::join!(
            give_notice(fleet, plan, &mut notices),
            loads::disturb(fleet, plan, &mut loads),
            storm::play(fleet, plan, &mut storms),
            storm(fleet, plan, round, &mut rng),
            series(plan.extended, &mut restores, async |rng| restore_store(fleet, rng).await),
        );
        noticed.and(loaded).and(lasting).and(stormed).and(restored)?;
        if plan.extended {
            limit_engines(fleet, &mut extra);
        }
        let (noticed, loaded, calmed) = tokio::join!(
            give_notice(fleet, plan, &mut notices),
            loads::disturb(fleet, plan, &mut loads),
            calm(fleet, plan, round, &mut rng)
        );
        noticed.and(loaded).and(calmed)?;
    }
    Ok(())
}

/// Has engines say in their answers that they leave, and ask for pauses.
async fn give_notice(fleet: &Fleet, plan: &Plan, rng: &mut SmallRng) -> anyhow::Result<()> {
    let mut fork = || SmallRng::seed_from_u64(rng.random());
    let (mut leaves, mut pauses) = (fork(), fork());
    let results = tokio::join!(
        series(plan.notices, &mut leaves, async |rng| leave(fleet, rng).await),
        series(plan.notices, &mut pauses, async |rng| pause(fleet, rng).await),
    );
    results.0.and(results.1)
}

/// Has an engine leave of which the store says nothing, and start again.
async fn leave(fleet: &Fleet, rng: &mut SmallRng) -> anyhow::Result<()> {
    let Some(seat) = fleet.seats.choose(rng) else { return Ok(()) };
    let (engine, renamed) = (&seat.engine, format!("i-{:08x}", rng.random::<u32>()));
    engine.say_leaving();
    sleep(millis(rng, 2_500..5_000)).await;
    let keeps_id = rng.random() && !engine.is_leaving();
    let instance = if keeps_id { engine.instance() } else { renamed };
    engine.restart(&instance, fleet.start_version());
    Ok(())
}

/// Has an engine turn requests away for some time, and ask for a pause that may outlast it.
async fn pause(fleet: &Fleet, rng: &mut SmallRng) -> anyhow::Result<()> {
    let Some(seat) = fleet.seats.choose(rng) else { return Ok(()) };
    seat.engine.set_pause(Some(Pause { time: millis(rng, 800..4_000), not_run: rng.random() }));
    sleep(millis(rng, 50..600)).await;
    seat.engine.set_pause(None);
    Ok(())
}

/// Keeps the published entries of the engines current, and finds processes that ended.
pub(super) async fn supervise(fleet: &Fleet) -> anyhow::Result<()> {
    loop {
        fleet.publish_engines();
        fleet.check_processes()?;
        sleep(CHECK_INTERVAL).await;
    }
}

/// Injects the faults of a round at the same time, each in a series of its own.
async fn storm(
    fleet: &Fleet,
    plan: &Plan,
    round: &Round,
    rng: &mut SmallRng,
) -> anyhow::Result<()> {
    let mut fork = || SmallRng::seed_from_u64(rng.random());
    let mut rngs = [fork(), fork(), fork(), fork(), fork()];
    let [signals, links, store, engines, published] = &mut rngs;
    let results = tokio::join!(
        series(true, signals, async |rng| signal_process(fleet, rng).await),
        series(round.links, links, async |rng| disturb_link(fleet, rng).await),
        series(round.store, store, async |rng| disturb_store(fleet, rng).await),
        series(round.engines, engines, async |rng| disturb_engine(fleet, rng).await),
        series(true, published, async |rng| publish(fleet, plan, rng).await),
    );
    results.0.and(results.1).and(results.2).and(results.3).and(results.4)
}

/// Repeats a fault until the end of the storm; the last one ends in full.
async fn series(
    enabled: bool,
    rng: &mut SmallRng,
    fault: impl AsyncFnMut(&mut SmallRng) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let time = if enabled { STORM_TIME } else { Duration::ZERO };
    series_for(time, rng, fault).await
}

/// Repeats a fault for a time; the last one ends in full.
async fn series_for(
    time: Duration,
    rng: &mut SmallRng,
    mut fault: impl AsyncFnMut(&mut SmallRng) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let end = actix_rt::time::Instant::now() + time;
    while actix_rt::time::Instant::now() < end {
        sleep(millis(rng, 50..600)).await;
        fault(rng).await?;
    }
    Ok(())
}

/// Publishes versions on a calm platform, while one gateway is disturbed.
async fn calm(fleet: &Fleet, plan: &Plan, round: &Round, rng: &mut SmallRng) -> anyhow::Result<()> {
    for (number, seat) in fleet.seats.iter().enumerate() {
        seat.engine.set_flaky(false);
        seat.engine.set_slow(plan.slow && number < round.late_engines);
    }
    let links = || fleet.gateways.iter().map(|gateway| &gateway.store);
    match round.prelude {
        Prelude::None => {}
        Prelude::Reset => momentary(fleet, || links().for_each(RelayFilter::reset_flows)),
        Prelude::Silence => momentary(fleet, || links().for_each(RelayFilter::silence_flows)),
    }
    for pause in &round.versions {
        sleep(*pause).await;
        fleet.publish_version();
    }
    let (loads, held) =
        (load_engines(fleet, plan, round.late_engines), wait_until_held(fleet, plan));
    let mut signals = SmallRng::seed_from_u64(rng.random());
    let disturbed = series(true, &mut signals, async |rng| signal_process(fleet, rng).await);
    let rest = async {
        sleep(plan.bound).await;
        let (_, _, before) = fleet.journal.counts();
        sleep(CALM_MARGIN).await;
        if fleet.journal.counts().2 == before {
            fleet.journal.report("RECOVER", "all gateways", "no request is answered any more");
        }
    };
    let ((), (), result, ()) = tokio::join!(loads, held, disturbed, rest);
    result
}

/// Records how long it takes until all engines hold the newest version and keep it.
async fn wait_until_held(fleet: &Fleet, plan: &Plan) {
    let (start, version) = (Instant::now(), fleet.newest_version());
    let mut since = None;
    while start.elapsed() < plan.bound + CALM_MARGIN {
        let is_held = fleet.seats.iter().all(|seat| seat.engine.version() == Some(version));
        since = is_held.then(|| since.unwrap_or_else(Instant::now));
        sleep(CHECK_INTERVAL).await;
    }
    fleet.journal.hold_all(version, since);
}

/// Has the engines load the newest version, the late ones just after the rollout time.
async fn load_engines(fleet: &Fleet, plan: &Plan, late: usize) {
    if plan.loaders {
        return;
    }
    let loads = fleet.seats.iter().enumerate().map(|(number, seat)| async move {
        let factor = if number < late { 1.0 } else { LOAD_FRACTION };
        sleep(plan.bound.mul_f64(factor)).await;
        if number < late {
            sleep(CALM_MARGIN).await;
        }
        seat.engine.load(fleet.newest_version());
    });
    join_all(loads).await;
}

async fn signal_process(fleet: &Fleet, rng: &mut SmallRng) -> anyhow::Result<()> {
    let number = rng.random_range(0..fleet.members.len());
    let (member, part) = (&fleet.members[number], Part::Process(number));
    let interrupt = || fleet.journal.notices(|notices| notices.interrupt(number));
    fleet.journal.begin(part);
    let kind = rng.random_range(0..8);
    if kind < 7 {
        interrupt();
    }
    match kind {
        0..4 => {
            member.signal(Signal::Stop);
            sleep(millis(rng, 100..2_000)).await;
            member.signal(Signal::Continue);
        }
        4..6 => restart_process(fleet, number, millis(rng, 50..500)).await?,
        6 => {
            member.signal(Signal::Terminate);
            // An overlapping fault may have stopped it.
            member.signal(Signal::Continue);
            let process = member.process.take();
            if let Some(process) = process
                && !ends(process).await
            {
                fleet.journal.report("STOP", &member.vm, "still runs");
            }
            fleet.start_member(number)?;
        }
        _ => member.signal(Signal::Reload),
    }
    if kind < 7 {
        interrupt();
    }
    fleet.journal.end(part);
    Ok(())
}

/// Kills a process that runs, and starts it again after a time.
async fn restart_process(fleet: &Fleet, number: usize, time: Duration) -> anyhow::Result<()> {
    let Some(process) = fleet.members[number].process.take() else { return Ok(()) };
    let part = Part::Process(number);
    let interrupt = || fleet.journal.notices(|notices| notices.interrupt(number));
    fleet.journal.begin(part);
    interrupt();
    drop(process);
    sleep(time).await;
    fleet.start_member(number)?;
    interrupt();
    fleet.journal.end(part);
    Ok(())
}

/// Returns whether a process that got SIGTERM ends in time.
async fn ends(mut process: Process) -> bool {
    for _ in 0..STOP_CHECKS {
        if process.has_ended() {
            return true;
        }
        sleep(CHECK_INTERVAL).await;
    }
    false
}

async fn disturb_link(fleet: &Fleet, rng: &mut SmallRng) -> anyhow::Result<()> {
    let gateways = fleet.gateways.iter().enumerate();
    let links: Vec<(Side, &RelayFilter)> = gateways
        .flat_map(|(number, gateway)| {
            [&gateway.store, gateway.callers()].map(|link| (Side::Gateway(number), link))
        })
        .chain(fleet.seats.iter().map(|seat| (Side::Engine(&seat.engine), &seat.link.filter)))
        .collect();
    let Some((side, link)) = links.choose(rng) else { return Ok(()) };
    let (time, delay) = (millis(rng, 100..1_500), millis(rng, 10..300));
    let kind = rng.random_range(0..6);
    let cuts = match side {
        Side::Gateway(_) => kind != 0,
        // The gateways still get the answers if the link is slow or cut on the way to the engine.
        Side::Engine(_) => kind != 0 && kind != 4,
    };
    if cuts {
        fleet.journal.notices(|notices| notices.begin_cut(Instant::now(), side.owner()));
    }
    match kind {
        0 => {
            lasting(fleet, time, || link.set_delay(delay), || link.set_delay(Duration::ZERO)).await
        }
        1 => lasting(fleet, time, || link.set_blocked(true), || link.set_blocked(false)).await,
        2 => momentary(fleet, || link.reset_flows()),
        3 => momentary(fleet, || link.silence_flows()),
        kind => {
            let way = if kind == 4 { Direction::ToServer } else { Direction::ToClient };
            let block = || link.block_direction(Some(way));
            lasting(fleet, time, block, || link.block_direction(None)).await;
        }
    }
    if cuts {
        fleet.journal.notices(|notices| notices.end_cut(&side.owner()));
    }
    Ok(())
}

/// The process at the side of a link to the others.
enum Side<'a> {
    Engine(&'a Engine),
    Gateway(usize),
}

impl Side<'_> {
    fn owner(&self) -> LinkOwner {
        match self {
            Self::Engine(engine) => LinkOwner::Engine(engine.instance()),
            Self::Gateway(number) => LinkOwner::Gateway(*number),
        }
    }
}

async fn disturb_store(fleet: &Fleet, rng: &mut SmallRng) -> anyhow::Result<()> {
    let (store, time) = (&fleet.store, millis(rng, 200..2_000));
    match rng.random_range(0..4) {
        0 => lasting(fleet, time, || store.set_down(true), || store.set_down(false)).await,
        1 => {
            let delay = millis(rng, 50..900);
            let (slow, usual) = (|| store.set_delay(delay), || store.set_delay(Duration::ZERO));
            lasting(fleet, time, slow, usual).await;
        }
        2 => momentary(fleet, || store.compact()),
        _ => momentary(fleet, || store.stall_watches()),
    }
    Ok(())
}

/// Has the store come back from a copy; what was lost is written again.
async fn restore_store(fleet: &Fleet, rng: &mut SmallRng) -> anyhow::Result<()> {
    let copy = fleet.store.copy();
    sleep(millis(rng, 300..2_500)).await;
    let (outage, delay) = (millis(rng, 100..1_500), millis(rng, 0..500));
    fleet.journal.begin(Part::Platform);
    fleet.store.set_down(true);
    sleep(outage).await;
    fleet.store.restore(&copy);
    fleet.store.set_down(false);
    sleep(delay).await;
    fleet.publish_again();
    fleet.journal.end(Part::Platform);
    // The entries of engines that have ended expire like after a crash.
    sleep(ENTRY_LIFETIME).await;
    fleet.remove_stale_entries();
    Ok(())
}

/// Has some engines advertise a rate limit until the next round, with at least one that does not.
fn limit_engines(fleet: &Fleet, rng: &mut SmallRng) {
    let limited = rng.random_range(1..fleet.seats.len());
    for seat in &fleet.seats[..limited] {
        seat.engine.set_rate_limit(Some(rng.random_range(5..40_u32)));
    }
}

/// Crashes, replaces, drains or spoils one engine.
async fn disturb_engine(fleet: &Fleet, rng: &mut SmallRng) -> anyhow::Result<()> {
    let Some(seat) = fleet.seats.choose(rng) else { return Ok(()) };
    let engine = &seat.engine;
    let renamed = format!("i-{:08x}", rng.random::<u32>());
    match rng.random_range(0..4) {
        0 => engine.set_flaky(true),
        // The address goes to another engine at once.
        1 => engine.restart(&renamed, fleet.start_version()),
        2 => {
            seat.link.filter.set_down(true);
            sleep(millis(rng, 100..1_000)).await;
            let instance = if rng.random() { engine.instance() } else { renamed };
            engine.restart(&instance, fleet.start_version());
            seat.link.filter.set_down(false);
        }
        _ => {
            engine.set_leaving(true);
            sleep(millis(rng, 2_500..4_000)).await;
            engine.restart(&renamed, fleet.start_version());
        }
    }
    Ok(())
}

async fn publish(fleet: &Fleet, plan: &Plan, rng: &mut SmallRng) -> anyhow::Result<()> {
    sleep(millis(rng, 100..1_200)).await;
    if rng.random() {
        fleet.publish_config();
        return Ok(());
    }
    fleet.publish_version();
    if rng.random() {
        sleep(millis(rng, 0..200)).await;
        fleet.publish_version();
    }
    let seat = fleet.seats.choose(rng);
    if let Some(seat) = seat.filter(|_| !plan.loaders) {
        let (engine, version) = (seat.engine.clone(), fleet.newest_version());
        let delay = plan.bound.mul_f64(rng.random_range(0.0..0.8));
        actix_rt::spawn(async move {
            sleep(delay).await;
            engine.load(version);
        });
    }
    Ok(())
}

/// A disturbance of the platform that is over at once.
fn momentary(fleet: &Fleet, fault: impl FnOnce()) {
    fleet.journal.begin(Part::Platform);
    fault();
    fleet.journal.end(Part::Platform);
}

/// A disturbance of the platform for a time.
async fn lasting(fleet: &Fleet, time: Duration, start: impl FnOnce(), stop: impl FnOnce()) {
    fleet.journal.begin(Part::Platform);
    start();
    sleep(time).await;
    stop();
    fleet.journal.end(Part::Platform);
}

fn millis(rng: &mut SmallRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}
