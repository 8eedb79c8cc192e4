//! Short fault soak with a storm around loads, apart from the others as it needs many processes.

use futures_util::TryStreamExt as _;
use sequoiahold_standins::{
    processes::program_path,
    soak::{self, Options, Outcome},
};

/// Seeds in which orders mostly meet a busy engine.
const SEEDS: [u64; 2] = [60_001, 60_003];

// Guards against engines being used on bad loads where they are busy as they are ordered to load.
#[actix_rt::test]
async fn orders_that_mostly_meet_a_busy_engine_break_no_promise() {
    let options = Options {
        seeds: SEEDS.to_vec(),
        jobs: SEEDS.len(),
        gateways: None,
        program: program_path(),
    };
    let outcomes: Vec<Outcome> =
        soak::outcomes(&options).try_collect().await.expect("the processes start");
    let failed = outcomes.iter().filter(|outcome| !outcome.violations.is_empty());
    let failed: Vec<&Outcome> = failed.collect();
    assert!(failed.is_empty(), "{failed:#?}");
}
