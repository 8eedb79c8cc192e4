//! Which requests of each entry have come, so that a copy of one is dropped.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    gate::RunId,
    ids::{Incarnation, RequestId, VmId},
};

/// Requests of one entry that are remembered; an older one counts as a copy.
const WINDOW: usize = 256;

#[derive(Clone, Debug, Default)]
struct Window {
    incarnation: Incarnation,
    floor: RequestId,
    ids: BTreeSet<RequestId>,
}

/// The requests that have come from each entry.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    windows: BTreeMap<VmId, Window>,
}

impl Seen {
    /// Takes note of a request and returns whether it comes for the first time.
    pub fn is_first(&mut self, (entry, incarnation, id): &RunId) -> bool {
        let window = self.windows.entry(entry.clone()).or_default();
        if *incarnation > window.incarnation {
            *window = Window { incarnation: *incarnation, ..Window::default() };
        }
        if *incarnation < window.incarnation || *id <= window.floor || !window.ids.insert(*id) {
            return false;
        }
        if window.ids.len() > WINDOW {
            window.floor = window.ids.pop_first().unwrap_or(window.floor);
        }
        true
    }
}
