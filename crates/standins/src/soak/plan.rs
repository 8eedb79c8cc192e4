//! The size, bounds and order of events of a soak, drawn from its seed.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};

/// The times within which a version must be in use everywhere, in milliseconds; the platform's own
/// value is the last one.
const VERSION_BOUNDS_MS: [u64; 3] = [4_000, 6_000, 8_000];

/// First seed whose soak also restores the store from copies and limits the engines' rates; the
/// plans of the seeds before stay as they were.
const FIRST_EXTENDED_SEED: u64 = 10_000;

/// First seed whose engines also say in their answers that they leave, and ask for pauses.
const FIRST_NOTICE_SEED: u64 = 20_000;

/// First seed whose staged chunks turn corrupt and whose engines hang with orders, with loaders.
const FIRST_CORRUPTION_SEED: u64 = 50_000;

/// First seed with a storm around loads, in which orders mostly meet a busy engine.
const FIRST_STORM_SEED: u64 = 60_000;

/// What happens in a soak.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// The seed from which all else is drawn.
    pub(super) seed: u64,
    /// The number of gateways.
    pub(super) gateways: usize,
    /// The number of engines.
    pub(super) engines: usize,
    /// Whether loaders bring the versions to the engines; else the soak has the engines load.
    pub(super) loaders: bool,
    /// Whether the late engines of a round take long to begin a request.
    pub(super) slow: bool,
    /// The number of callers.
    pub(super) callers: usize,
    /// The time within which a version must be in use everywhere.
    pub(super) bound: Duration,
    /// The rounds, one after the other.
    pub(super) rounds: Vec<Round>,
    /// Whether the store is restored from copies, and engines advertise rate limits.
    pub(super) extended: bool,
    /// Whether engines say in their answers that they leave, and ask for pauses.
    pub(super) notices: bool,
    /// Whether staged chunks turn corrupt, and engines hang with orders.
    pub(super) corruption: bool,
    /// The storm around loads.
    pub(super) storm: Option<Storm>,
}

/// A time in which versions follow each other while orders mostly meet a busy engine.
#[derive(Clone, Debug)]
pub(super) struct Storm {
    /// Its length.
    pub(super) time: Duration,
    /// Whether reads of staged chunks are slow.
    pub(super) slow_reads: bool,
    /// Whether engines and their loaders lose power.
    pub(super) power: bool,
}

/// Some seconds of overlapping faults, then a time without faults of the store and of links.
#[derive(Clone, Debug)]
pub(super) struct Round {
    /// Whether links fail.
    pub(super) links: bool,
    /// Whether the store fails.
    pub(super) store: bool,
    /// Whether engines crash, leave and change their ids.
    pub(super) engines: bool,
    /// What happens to all links just before the versions that start the calm time.
    pub(super) prelude: Prelude,
    /// The pauses before each of these versions.
    pub(super) versions: Vec<Duration>,
    /// The engines that keep the old version for as long as they may.
    pub(super) late_engines: usize,
}

/// What happens to all links at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Prelude {
    /// Nothing.
    None,
    /// All connections are reset.
    Reset,
    /// All connections fall silent for good, while new ones work.
    Silence,
}

impl Plan {
    /// Draws a plan; `gateways` replaces the drawn number.
    pub(super) fn draw(seed: u64, gateways: Option<usize>) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let gateways = gateways.unwrap_or_else(|| rng.random_range(2..=6));
        let bound = VERSION_BOUNDS_MS.choose(&mut rng).copied().unwrap_or(8_000);
        let mut engines = rng.random_range(3..=5).max(gateways / 6);
        let mut storms = SmallRng::seed_from_u64(seed.rotate_left(8));
        let storm = (seed >= FIRST_STORM_SEED).then(|| Storm::draw(&mut storms));
        if storm.is_some() {
            engines = storms.random_range(5..=8);
        }
        let count = if bound == VERSION_BOUNDS_MS[0] && storm.is_none() { 2 } else { 1 };
        let mut rounds: Vec<Round> = (0..count).map(|_| Round::draw(&mut rng, engines)).collect();
        if storm.is_some() {
            // The last version of the storm is the one that all engines must hold in the end.
            rounds.iter_mut().for_each(|round| round.versions.clear());
        }
        Self {
            seed,
            gateways,
            engines,
            callers: (3 * engines).max(gateways),
            bound: Duration::from_millis(bound),
            rounds,
            loaders: rng.random_bool(0.4) || seed >= FIRST_CORRUPTION_SEED,
            slow: rng.random_bool(0.4),
            extended: seed >= FIRST_EXTENDED_SEED,
            notices: (FIRST_NOTICE_SEED..FIRST_STORM_SEED).contains(&seed),
            corruption: (FIRST_CORRUPTION_SEED..FIRST_STORM_SEED).contains(&seed),
            storm,
        }
    }
}

impl Storm {
    fn draw(rng: &mut SmallRng) -> Self {
        Self {
            time: Duration::from_millis(rng.random_range(24_000..45_000)),
            slow_reads: rng.random_bool(0.5),
            power: rng.random_bool(0.5),
        }
    }
}

impl Round {
    fn draw(rng: &mut SmallRng, engines: usize) -> Self {
        let preludes = [Prelude::None, Prelude::Reset, Prelude::Silence, Prelude::Silence];
        Self {
            links: rng.random_bool(0.6),
            store: rng.random_bool(0.5),
            engines: rng.random_bool(0.7),
            prelude: *preludes.choose(rng).unwrap_or(&Prelude::None),
            versions: (0..rng.random_range(1..=3))
                .map(|_| Duration::from_millis(rng.random_range(0..600)))
                .collect(),
            late_engines: rng.random_range(1..engines),
        }
    }
}
