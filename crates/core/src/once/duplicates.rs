//! Detection of duplicate requests, by the request numbers of each entry.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    gate::RunId,
    ids::{Incarnation, RequestId, VmId},
};

/// Maximum number of request numbers stored per entry; older ones count as duplicates.
const MAX_WINDOW_IDS: usize = 256;

#[derive(Clone, Debug, Default)]
struct Window {
    incarnation: Incarnation,
    floor: RequestId,
    ids: BTreeSet<RequestId>,
}

/// The numbers of the latest requests from each entry.
#[derive(Clone, Debug, Default)]
pub struct DuplicateFilter {
    windows: BTreeMap<VmId, Window>,
}

impl DuplicateFilter {
    /// Records a request and returns whether it is new.
    pub fn insert(&mut self, (entry, incarnation, id): &RunId) -> bool {
        let window = self.windows.entry(entry.clone()).or_default();
        if *incarnation > window.incarnation {
            *window = Window { incarnation: *incarnation, ..Window::default() };
        }
        if *incarnation < window.incarnation || *id <= window.floor || !window.ids.insert(*id) {
            return false;
        }
        if window.ids.len() > MAX_WINDOW_IDS {
            window.floor = window.ids.pop_first().unwrap_or(window.floor);
        }
        true
    }
}
