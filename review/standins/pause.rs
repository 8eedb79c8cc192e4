//! A loader's machine freezes after the last check of the staged pieces, some of which turn bad
//! meanwhile.

use std::{thread, time::Duration};

use crate::{case::Case, fleet::Fleet, process::Signal};

/// Time from the call for the report to the freeze.
const FREEZE_DELAY: Duration = Duration::from_millis(6);
/// Duration of the freeze (`for_s`).
const FREEZE: Duration = Duration::from_secs(4);
/// Time from the start of the freeze until pieces turn bad.
const SPOIL_DELAY: Duration = Duration::from_millis(300);
/// The pieces that turn bad: 5 of 96.
const SPOILT: [u64; 5] = [3, 21, 40, 66, 90];
/// Time within which a version is on every worker.
const ROLLOUT: Duration = Duration::from_secs(14);

/// Returns whether a token was made with weights of which pieces had been bad for over 3 s.
pub fn run(case: &Case) -> Result<bool, String> {
    let fleet = Fleet::start(case, 12, 2)?;
    thread::sleep(Duration::from_secs(4));
    let (loader, engine) = (fleet.loader(0), fleet.engines[0].clone());
    if !case.is_calm() {
        let case = case.clone();
        let spoilt = engine.clone();
        engine.at_step(move |step| {
            thread::spawn(move || {
                thread::sleep(FREEZE_DELAY);
                loader.signal(Signal::Stop);
                case.note(&format!("i-0: {step:?}; the loader's machine freezes"));
                thread::sleep(SPOIL_DELAY);
                spoilt.spoil(&SPOILT);
                thread::sleep(FREEZE - SPOIL_DELAY);
                loader.signal(Signal::Continue);
                case.note("the loader's machine wakes");
            });
        });
    }
    fleet.name_version(2);
    thread::sleep(ROLLOUT);
    let served = fleet.ask(120, Duration::from_millis(50));
    let runs: Vec<_> = fleet.engines.iter().flat_map(|engine| engine.runs()).collect();
    let broken: Vec<_> = runs.iter().filter(|run| !run.spoilt.is_empty()).collect();
    if let Some(run) = broken.first() {
        let (attempt, spoilt) = (&run.attempt, &run.spoilt);
        case.note(&format!("the first: request {attempt} ran with the bad pieces {spoilt:?}"));
    }
    case.note(&format!(
        "served {served} of 120; runs on version 2: {}, with pieces that had been bad for over 3 s: {}",
        runs.iter().filter(|run| run.version == 2).count(),
        broken.len()
    ));
    if engine.held() != Some(2) {
        return Err("the worker does not hold the new version".to_owned());
    }
    Ok(!broken.is_empty())
}
