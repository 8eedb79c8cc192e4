//! State charts: loaded from JSON, checked, and interpreted.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A fault in a chart file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChartError {
    /// The file is not a chart of these states and events.
    Parse(String),
    /// A state is the target of no path from the initial state.
    Unreachable(String),
    /// A state has no entry in the chart.
    Missing(String),
}

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Parse(text) => write!(f, "chart cannot be read: {text}"),
            Self::Unreachable(state) => write!(f, "state {state} cannot be reached"),
            Self::Missing(state) => write!(f, "state {state} has no entry"),
        }
    }
}

impl std::error::Error for ChartError {}

/// A table of transitions between states `S` on events `E`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(bound(deserialize = "S: DeserializeOwned + Ord, E: DeserializeOwned + Ord"))]
#[serde(deny_unknown_fields)]
pub struct Chart<S: Ord, E: Ord> {
    /// The name of the chart.
    pub name: String,
    /// The state that a machine starts in.
    pub initial: S,
    /// The transitions of each state.
    pub states: BTreeMap<S, BTreeMap<E, S>>,
}

impl<S, E> Chart<S, E>
where
    S: Copy + fmt::Debug + DeserializeOwned + Ord,
    E: Copy + fmt::Debug + DeserializeOwned + Ord,
{
    /// Reads a chart and checks that each state has an entry and can be reached.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let chart: Self =
            serde_json::from_str(text).map_err(|e| ChartError::Parse(e.to_string()))?;
        chart.check()?;
        Ok(chart)
    }

    /// Returns the state after `event`, or `None` where the event does not apply.
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

/// A machine that follows a chart.
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

    /// Returns the present state.
    pub fn state(&self) -> S {
        self.state
    }

    /// Applies `event` and returns whether the state changed; an event without a transition is ignored.
    pub fn apply(&mut self, event: E) -> bool {
        let Some(next) = self.chart.next_state(self.state, event) else { return false };
        let changed = next != self.state;
        self.state = next;
        changed
    }
}
