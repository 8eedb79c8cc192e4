//! A storm around loads: versions in succession, busy engines, chunks that turn corrupt, and
//! engines, loaders and gateways that stand still, crash or lose power.

use std::{ops::Range, time::Duration};

use actix_rt::time::sleep;
use futures_util::future::try_join_all;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};

use super::{millis, restart_process, series_for};
use crate::{
    processes::Signal,
    soak::{
        fleet::{Fleet, Seat},
        journal::Part,
        origin::CHUNKS,
        plan::Plan,
    },
};

/// The time for which an engine or a process stands still, in milliseconds.
const FREEZE_TIME_MS: Range<u64> = 200..4_500;
/// The time for which a process or an engine is gone, in milliseconds.
const OUTAGE_TIME_MS: Range<u64> = 50..800;
/// The pause before a loss of power, in milliseconds.
const POWER_PAUSE_MS: Range<u64> = 2_000..8_000;
/// The pause before a version as a fraction of the bound.
const VERSION_PAUSE: Range<f64> = 0.5..1.0;
/// Number of loaders that may stand still at the same time.
const STOPPED_LOADERS: usize = 3;

/// Plays the storm of a plan, if it has one.
pub(super) async fn play(fleet: &Fleet, plan: &Plan, rng: &mut SmallRng) -> anyhow::Result<()> {
    let Some(storm) = &plan.storm else { return Ok(()) };
    let (time, loaders) = (storm.time, plan.gateways..fleet.members.len());
    let mut fork = || SmallRng::seed_from_u64(rng.random());
    let mut rngs = [fork(), fork(), fork(), fork(), fork(), fork()];
    let [chunks, engines, stopped, gateways, powers, versions] = &mut rngs;
    let mut stopped: Vec<SmallRng> =
        (0..STOPPED_LOADERS).map(|_| SmallRng::seed_from_u64(stopped.random())).collect();
    let power_time = if storm.power { time } else { Duration::ZERO };
    fleet.seats.iter().for_each(|seat| seat.engine.set_busy(true));
    let results = tokio::join!(
        series_for(time, chunks, async |rng| corrupt_chunk(fleet, rng).await),
        series_for(time, engines, async |rng| disturb_engine(fleet, rng).await),
        try_join_all(stopped.iter_mut().map(|rng| {
            series_for(time, rng, async |rng| disturb_process(fleet, &loaders, rng).await)
        })),
        series_for(time, gateways, async |rng| {
            disturb_process(fleet, &(0..plan.gateways), rng).await
        }),
        series_for(power_time, powers, async |rng| cut_power(fleet, plan, rng).await),
        series_for(time, versions, async |rng| {
            sleep(plan.bound.mul_f64(rng.random_range(VERSION_PAUSE))).await;
            fleet.publish_version();
            Ok(())
        }),
    );
    fleet.seats.iter().for_each(|seat| seat.engine.set_busy(false));
    results.2?;
    results.0.and(results.1).and(results.3).and(results.4).and(results.5)
}

/// Turns a chunk of an engine corrupt.
async fn corrupt_chunk(fleet: &Fleet, rng: &mut SmallRng) -> anyhow::Result<()> {
    if let Some(seat) = fleet.seats.choose(rng) {
        seat.engine.corrupt(&[rng.random_range(0..CHUNKS)]);
    }
    Ok(())
}

/// Has an engine hang, or crash.
async fn disturb_engine(fleet: &Fleet, rng: &mut SmallRng) -> anyhow::Result<()> {
    let Some(seat) = fleet.seats.choose(rng) else { return Ok(()) };
    if rng.random_ratio(3, 4) {
        let time = millis(rng, FREEZE_TIME_MS);
        seat.engine.hang(time);
        sleep(time).await;
        return Ok(());
    }
    seat.link.filter.set_down(true);
    sleep(millis(rng, OUTAGE_TIME_MS)).await;
    seat.engine.restart(&draw_instance(seat, rng), fleet.start_version());
    seat.link.filter.set_down(false);
    Ok(())
}

/// Has one of some processes stand still, or kills it and starts it again.
async fn disturb_process(
    fleet: &Fleet,
    numbers: &Range<usize>,
    rng: &mut SmallRng,
) -> anyhow::Result<()> {
    let number = rng.random_range(numbers.clone());
    if rng.random_ratio(1, 3) {
        return restart_process(fleet, number, millis(rng, OUTAGE_TIME_MS)).await;
    }
    let interrupt = || fleet.journal.notices(|notices| notices.interrupt(number));
    let member = &fleet.members[number];
    fleet.journal.begin(Part::Process(number));
    interrupt();
    member.signal(Signal::Stop);
    sleep(millis(rng, FREEZE_TIME_MS)).await;
    member.signal(Signal::Continue);
    interrupt();
    fleet.journal.end(Part::Process(number));
    Ok(())
}

/// Has an engine and its loader lose power at the same time.
async fn cut_power(fleet: &Fleet, plan: &Plan, rng: &mut SmallRng) -> anyhow::Result<()> {
    sleep(millis(rng, POWER_PAUSE_MS)).await;
    let number = rng.random_range(0..fleet.seats.len());
    let (seat, time) = (&fleet.seats[number], millis(rng, OUTAGE_TIME_MS));
    let instance = draw_instance(seat, rng);
    let delay = millis(rng, OUTAGE_TIME_MS);
    seat.link.filter.set_down(true);
    let engine = async {
        sleep(delay).await;
        seat.engine.lose_power(&instance);
        seat.link.filter.set_down(false);
    };
    let loader = restart_process(fleet, plan.gateways + number, time);
    tokio::join!(engine, loader).1
}

/// Draws the id with which an engine starts again, at times the one that it has.
fn draw_instance(seat: &Seat, rng: &mut SmallRng) -> String {
    let renamed = format!("i-{:08x}", rng.random::<u32>());
    if rng.random() && !seat.engine.is_leaving() { seat.engine.instance() } else { renamed }
}
