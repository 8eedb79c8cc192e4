//! What engines said in their answers to each gateway, to check that the gateways keep to it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::journal::{AttemptId, DRAIN_TIME, SLACK, Sent};

/// Time after the answer that asks for a pause from which the pause is kept.
const PAUSE_GRACE: Duration = Duration::from_millis(500);
/// Number of requests from one gateway that may arrive within a pause.
const PAUSE_ARRIVALS: u32 = 2;

/// A pause that an engine asked a gateway for.
#[derive(Clone, Debug)]
struct Pause {
    gateway: usize,
    instance: String,
    since: Instant,
    end: Instant,
    arrivals: u32,
}

/// What gateways were told, until a fault excuses them from it.
#[derive(Debug, Default)]
pub(super) struct Notices {
    /// The gateway and engine of each answer that says the engine leaves.
    answers: HashMap<AttemptId, (usize, String)>,
    /// When each gateway first passed on such an answer.
    leaving: HashMap<(usize, String), Instant>,
    pauses: Vec<Pause>,
    /// The number of links that fail now.
    cuts: u32,
}

impl Notices {
    /// Records an answer that says its engine leaves.
    pub(super) fn answer(&mut self, attempt: AttemptId, gateway: usize, instance: &str) {
        self.answers.insert(attempt, (gateway, instance.to_owned()));
    }

    /// Records that a caller has an answer with this signature.
    pub(super) fn pass_on(&mut self, attempt: AttemptId, signature: &str) {
        let Some((gateway, instance)) = self.answers.remove(&attempt) else { return };
        if signature == format!("signed-{instance}") {
            self.leaving.entry((gateway, instance)).or_insert_with(Instant::now);
        }
    }

    /// Records an answer that asks for a pause.
    pub(super) fn ask(&mut self, gateway: usize, instance: &str, time: Duration) {
        let since = Instant::now();
        if self.cuts == 0 {
            let (instance, end) = (instance.to_owned(), since + time);
            self.pauses.push(Pause { gateway, instance, since, end, arrivals: 0 });
        }
    }

    /// Records a request that reaches an engine; returns the checks that it breaks.
    pub(super) fn arrive(&mut self, sent: &Sent, instance: &str) -> Vec<(&'static str, String)> {
        let (now, mut broken) = (Instant::now(), vec![]);
        let told = self.leaving.get(&(sent.gateway, instance.to_owned()));
        let late = told.map(|told| sent.at.saturating_duration_since(*told));
        if let Some(late) = late.filter(|late| *late > DRAIN_TIME) {
            let text = format!(
                "{instance} said {late:?} before to gateway-{} that it leaves",
                sent.gateway
            );
            broken.push(("DRAIN", text));
        }
        self.pauses.retain(|pause| pause.end > now);
        let pauses = self.pauses.iter_mut();
        for pause in
            pauses.filter(|pause| pause.gateway == sent.gateway && pause.instance == instance)
        {
            if now <= pause.since + PAUSE_GRACE + SLACK {
                continue;
            }
            pause.arrivals += 1;
            if pause.arrivals > PAUSE_ARRIVALS {
                let (count, gateway) = (pause.arrivals, pause.gateway);
                let time = pause.end - pause.since;
                let text =
                    format!("{instance} got {count} from gateway-{gateway} in a pause of {time:?}");
                broken.push(("BUDGET", text));
            }
        }
        broken
    }

    /// Forgets what a gateway was told, which is frozen or restarts.
    pub(super) fn interrupt(&mut self, gateway: usize) {
        self.answers.retain(|_, (told, _)| *told != gateway);
        self.leaving.retain(|(told, _), _| *told != gateway);
        self.pauses.retain(|pause| pause.gateway != gateway);
    }

    /// Forgets what an engine said, which starts again.
    pub(super) fn restart(&mut self, instance: &str) {
        self.answers.retain(|_, (_, known)| known != instance);
        self.leaving.retain(|(_, known), _| known != instance);
        self.pauses.retain(|pause| pause.instance != instance);
    }

    /// Records that a link begins to fail, which excuses from all pauses.
    pub(super) fn begin_cut(&mut self) {
        self.cuts += 1;
        self.pauses.clear();
    }

    /// Records that a link works again.
    pub(super) fn end_cut(&mut self) {
        self.cuts = self.cuts.saturating_sub(1);
    }
}
