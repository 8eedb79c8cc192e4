//! What engines said in their answers to each gateway, to check that the gateways keep to it.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use super::journal::{AttemptId, DRAIN_TIME, SLACK};

/// Time after the answer that asks for a pause from which the pause is kept, and within which the
/// answer arrives on a link that works.
const PAUSE_GRACE: Duration = Duration::from_millis(500);
/// Number of requests from one gateway that may arrive within a pause.
const PAUSE_ARRIVALS: u32 = 2;

/// A process by whose link answers and requests come.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LinkOwner {
    /// The id of an engine.
    Engine(String),
    /// The index of a gateway.
    Gateway(usize),
}

/// A pause that an engine asked a gateway for.
#[derive(Clone, Debug)]
struct Pause {
    /// The request that the engine turned away.
    attempt: AttemptId,
    gateway: usize,
    instance: String,
    since: Instant,
    end: Instant,
    /// Whether the caller's answer shows that the gateway got the engine's.
    confirmed: bool,
    /// The time from which arrivals count, `None` while the answer may not have reached the
    /// gateway.
    counted: Option<Instant>,
    arrivals: u32,
}

/// What gateways were told, until a fault excuses them from it.
///
/// A restart or freeze of a gateway excuses it from all that it was told, a cut of its own link
/// from its pauses. A cut of an engine's link excuses only from pauses of this engine whose answer
/// may be lost, which is one that the engine gave less than [`PAUSE_GRACE`] before the cut or
/// during it. Such a pause counts nevertheless once the caller has an answer that promises that the
/// request did not run, as its gateway can only know that from the engine's answer. A link that is
/// slow or that carries nothing to the engine excuses nothing: the answer arrives in time.
#[derive(Debug, Default)]
pub struct Notices {
    /// The gateway and engine of each answer that says the engine leaves.
    answers: HashMap<AttemptId, (usize, String)>,
    /// When each gateway first passed on such an answer.
    leaving: HashMap<(usize, String), Instant>,
    pauses: Vec<Pause>,
    /// The processes whose link fails now.
    cuts: HashSet<LinkOwner>,
}

impl Notices {
    /// Records an answer that says its engine leaves.
    pub fn answer(&mut self, attempt: AttemptId, gateway: usize, instance: &str) {
        self.answers.insert(attempt, (gateway, instance.to_owned()));
    }

    /// Records that a caller has an answer with this signature.
    pub fn pass_on(&mut self, now: Instant, attempt: AttemptId, signature: &str) {
        let Some((gateway, instance)) = self.answers.remove(&attempt) else { return };
        if signature == format!("signed-{instance}") {
            self.leaving.entry((gateway, instance)).or_insert(now);
        }
    }

    /// Records an answer that asks for a pause.
    pub fn ask(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        (gateway, instance): (usize, &str),
        time: Duration,
    ) {
        if self.cuts.contains(&LinkOwner::Gateway(gateway)) {
            return;
        }
        let arrives = !self.cuts.contains(&LinkOwner::Engine(instance.to_owned()));
        self.pauses.push(Pause {
            attempt,
            gateway,
            instance: instance.to_owned(),
            since: now,
            end: now + time,
            confirmed: false,
            counted: arrives.then_some(now + PAUSE_GRACE + SLACK),
            arrivals: 0,
        });
    }

    /// Records that a caller has an answer which promises that its request did not run.
    pub fn confirm(&mut self, now: Instant, attempt: AttemptId) {
        for pause in self.pauses.iter_mut().filter(|pause| pause.attempt == attempt) {
            let counted = now.max(pause.since + PAUSE_GRACE) + SLACK;
            (pause.confirmed, pause.counted) = (true, pause.counted.or(Some(counted)));
        }
    }

    /// Records a request that reaches an engine; returns the checks that it breaks.
    pub fn arrive(
        &mut self,
        now: Instant,
        (gateway, sent_at): (usize, Instant),
        instance: &str,
    ) -> Vec<(&'static str, String)> {
        let mut broken = vec![];
        let told = self.leaving.get(&(gateway, instance.to_owned()));
        let late = told.map(|told| sent_at.saturating_duration_since(*told));
        if let Some(late) = late.filter(|late| *late > DRAIN_TIME) {
            let text =
                format!("{instance} said {late:?} before to gateway-{gateway} that it leaves");
            broken.push(("DRAIN", text));
        }
        self.pauses.retain(|pause| pause.end > now);
        let binds = |pause: &&mut Pause| {
            let counts = pause.counted.is_some_and(|counted| now > counted);
            counts && pause.gateway == gateway && pause.instance == instance
        };
        for pause in self.pauses.iter_mut().filter(binds) {
            pause.arrivals += 1;
            if pause.arrivals > PAUSE_ARRIVALS {
                let (count, late, time) =
                    (pause.arrivals, now - pause.since, pause.end - pause.since);
                let text = format!(
                    "{instance} got {count} from gateway-{gateway} {late:?} after an answer to {} \
                     with a pause of {time:?}",
                    pause.attempt
                );
                broken.push(("BUDGET", text));
            }
        }
        broken
    }

    /// Forgets what a gateway was told, which is frozen or restarts.
    pub fn interrupt(&mut self, gateway: usize) {
        self.answers.retain(|_, (told, _)| *told != gateway);
        self.leaving.retain(|(told, _), _| *told != gateway);
        self.pauses.retain(|pause| pause.gateway != gateway);
    }

    /// Forgets what an engine said, which starts again under an id.
    pub fn restart(&mut self, ended: &str, instance: &str) {
        let is_other = |known: &str| known != ended && known != instance;
        self.answers.retain(|_, (_, known)| is_other(known));
        self.leaving.retain(|(_, known), _| is_other(known));
        self.pauses.retain(|pause| is_other(&pause.instance));
        if self.cuts.remove(&LinkOwner::Engine(ended.to_owned())) {
            self.cuts.insert(LinkOwner::Engine(instance.to_owned()));
        }
    }

    /// Records that a link begins to fail on the way to the gateways.
    pub fn begin_cut(&mut self, now: Instant, owner: LinkOwner) {
        match &owner {
            LinkOwner::Gateway(gateway) => self.pauses.retain(|pause| pause.gateway != *gateway),
            LinkOwner::Engine(instance) => {
                let may_be_lost = |pause: &&mut Pause| {
                    pause.instance == *instance
                        && !pause.confirmed
                        && now < pause.since + PAUSE_GRACE
                };
                let lost = self.pauses.iter_mut().filter(may_be_lost);
                lost.for_each(|pause| pause.counted = None);
            }
        }
        self.cuts.insert(owner);
    }

    /// Records that a link works again.
    pub fn end_cut(&mut self, owner: &LinkOwner) {
        self.cuts.remove(owner);
    }

    /// Records that the soak with its links stood still until now.
    ///
    /// Answers and requests that were on the way meanwhile arrive later by this time.
    pub fn stall(&mut self, now: Instant, time: Duration) {
        let counted = self.pauses.iter_mut().filter_map(|pause| pause.counted.as_mut());
        counted.filter(|counted| **counted > now - time).for_each(|counted| *counted += time);
    }
}
