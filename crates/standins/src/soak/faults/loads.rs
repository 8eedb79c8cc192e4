//! Faults around loads: chunks that turn corrupt, engines that hang with an order, and the loaders
//! and gateways that are stopped or restarted meanwhile.

use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};

use super::{lasting, millis, restart_process, series};
use crate::{
    processes::Signal,
    soak::{fleet::Fleet, origin::CHUNKS, plan::Plan},
};

/// Smallest number of engines of which two may hang at the same time.
const MIN_ENGINES: usize = 4;
/// Time within which an engine must get an order to hang with it.
const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Turns chunks corrupt and disturbs loads, in overlapping series.
pub(super) async fn disturb(fleet: &Fleet, plan: &Plan, rng: &mut SmallRng) -> anyhow::Result<()> {
    let mut fork = || SmallRng::seed_from_u64(rng.random());
    let mut rngs = [fork(), fork(), fork()];
    let [chunks, first, second] = &mut rngs;
    let hangs_twice = plan.corruption && plan.engines >= MIN_ENGINES;
    let results = tokio::join!(
        series(plan.corruption, chunks, async |rng| corrupt_chunks(fleet, rng).await),
        series(plan.corruption, first, async |rng| hang_with_order(fleet, plan, rng).await),
        series(hangs_twice, second, async |rng| hang_with_order(fleet, plan, rng).await),
    );
    results.0.and(results.1).and(results.2)
}

/// Turns some chunks of an engine corrupt.
async fn corrupt_chunks(fleet: &Fleet, rng: &mut SmallRng) -> anyhow::Result<()> {
    sleep(millis(rng, 0..600)).await;
    if let Some(seat) = fleet.seats.choose(rng) {
        seat.engine.corrupt(&draw_chunks(rng));
    }
    Ok(())
}

/// Has an engine hang with its next order while chunks turn corrupt, its loader stands still or is
/// killed, and a gateway starts again.
///
/// The last engine, which has no rate limit, does not hang, so that requests can be answered.
async fn hang_with_order(fleet: &Fleet, plan: &Plan, rng: &mut SmallRng) -> anyhow::Result<()> {
    let number = rng.random_range(0..fleet.seats.len() - 1);
    let (engine, time) = (&fleet.seats[number].engine, millis(rng, 2_500..5_000));
    let chunks = draw_chunks(rng);
    let delay = millis(rng, 0..800);
    let mut fork = || SmallRng::seed_from_u64(rng.random());
    let (mut loader, mut gateway) = (fork(), fork());
    let arrival = engine.hang_with_order(time);
    if !matches!(timeout(ORDER_TIMEOUT, arrival).await, Ok(Ok(()))) {
        engine.cancel_hang();
        return Ok(());
    }
    let corruption = async {
        sleep(delay).await;
        engine.corrupt(&chunks);
    };
    let ((), (), stopped, restarted) = tokio::join!(
        lasting(fleet, time, || (), || ()),
        corruption,
        disturb_loader(fleet, plan.gateways + number, time, &mut loader),
        restart_gateway(fleet, plan, time, &mut gateway),
    );
    stopped.and(restarted)
}

/// Stops a loader until after its engine hangs, or kills it.
async fn disturb_loader(
    fleet: &Fleet,
    number: usize,
    hang: Duration,
    rng: &mut SmallRng,
) -> anyhow::Result<()> {
    // The loader has just sent the order.
    sleep(millis(rng, 0..20)).await;
    match rng.random_range(0..8) {
        0..4 => {
            let member = &fleet.members[number];
            member.signal(Signal::Stop);
            sleep(hang + millis(rng, 0..2_500)).await;
            member.signal(Signal::Continue);
        }
        4..6 => restart_process(fleet, number, millis(rng, 50..500)).await?,
        6 => restart_process(fleet, number, hang + millis(rng, 0..2_000)).await?,
        _ => {}
    }
    Ok(())
}

/// Restarts a gateway at times, while an engine hangs or just after.
async fn restart_gateway(
    fleet: &Fleet,
    plan: &Plan,
    hang: Duration,
    rng: &mut SmallRng,
) -> anyhow::Result<()> {
    if rng.random() {
        return Ok(());
    }
    let (number, factor) = (rng.random_range(0..plan.gateways), rng.random_range(0.0..1.2));
    sleep(hang.mul_f64(factor)).await;
    restart_process(fleet, number, millis(rng, 50..500)).await
}

/// Draws up to four chunks.
fn draw_chunks(rng: &mut SmallRng) -> Vec<u64> {
    (0..rng.random_range(1..5)).map(|_| rng.random_range(0..CHUNKS)).collect()
}
