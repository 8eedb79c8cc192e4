//! State machines that interpret transition tables loaded from JSON.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The reason why a chart file was rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChartError {
    /// The file is not valid JSON for a chart of these states and events.
    Parse(String),
    /// No path leads from the initial state to this state.
    Unreachable(String),
    /// A transition leads to a state without an entry in the chart.
    Missing(String),
}

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Parse(text) => write!(f, "invalid state chart: {text}"),
            Self::Unreachable(state) => write!(f, "no path leads to state {state}"),
            Self::Missing(state) => write!(f, "state {state} is a target without an entry"),
        }
    }
}

impl std::error::Error for ChartError {}

/// A transition table between states `S` on events `E`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(bound(deserialize = "S: DeserializeOwned + Ord, E: DeserializeOwned + Ord"))]
#[serde(deny_unknown_fields)]
pub struct Chart<S: Ord, E: Ord> {
    /// The name of the chart.
    pub name: String,
    /// The state in which a machine starts.
    pub initial: S,
    /// The target state of each event that applies, by state.
    pub states: BTreeMap<S, BTreeMap<E, S>>,
}

impl<S, E> Chart<S, E>
where
    S: Copy + fmt::Debug + DeserializeOwned + Ord,
    E: Copy + fmt::Debug + DeserializeOwned + Ord,
{
    /// Parses a chart and checks that every state has an entry and is reachable.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let chart: Self =
            serde_json::from_str(text).map_err(|e| ChartError::Parse(e.to_string()))?;
        chart.check()?;
        Ok(chart)
    }

    /// Returns the state after `event`, or `None` if the event does not apply in `state`.
    pub fn next_state(&self, state: S, event: E) -> Option<S> {
        self.states.get(&state)?.get(&event).copied()
    }

    fn check(&self) -> Result<(), ChartError> {
        let targets = self.states.values().flat_map(|events| events.values());
        if let Some(target) = targets.into_iter().find(|t| !self.states.contains_key(t)) {
            return Err(ChartError::Missing(format!("{target:?}")));
        }
        let reachable = self.reachable();
        match self.states.keys().find(|state| !reachable.contains(state)) {
            Some(state) => Err(ChartError::Unreachable(format!("{state:?}"))),
            None => Ok(()),
        }
    }

    fn reachable(&self) -> BTreeSet<S> {
        let mut reachable = BTreeSet::from([self.initial]);
        let mut pending = vec![self.initial];
        while let Some(state) = pending.pop() {
            let targets = self.states.get(&state).into_iter().flat_map(BTreeMap::values);
            pending.extend(targets.filter(|target| reachable.insert(**target)));
        }
        reachable
    }
}

/// A state machine that is driven by a chart.
#[derive(Clone, Debug)]
pub struct Machine<S: Ord, E: Ord> {
    chart: Arc<Chart<S, E>>,
    state: S,
}

impl<S, E> Machine<S, E>
where
    S: Copy + fmt::Debug + DeserializeOwned + Ord,
    E: Copy + fmt::Debug + DeserializeOwned + Ord,
{
    /// Returns a machine in the initial state of `chart`.
    pub fn new(chart: Arc<Chart<S, E>>) -> Self {
        Self { state: chart.initial, chart }
    }

    /// Returns the current state.
    pub fn state(&self) -> S {
        self.state
    }

    /// Applies `event` and returns whether the state changed; ignores events without a transition.
    pub fn apply(&mut self, event: E) -> bool {
        let Some(next) = self.chart.next_state(self.state, event) else { return false };
        let changed = next != self.state;
        self.state = next;
        changed
    }
}
