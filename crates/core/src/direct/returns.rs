//! Recognises requests that were turned away before, by the time that their callers still have.
//!
//! Load pattern: more requests arrive than can be served, and those that were turned away come back.
//! Their objective counts from the first try, so that they are late already; a new request in their
//! place is on time. A route whose callers set all kinds of deadlines tells nothing.

use std::collections::{BTreeMap, VecDeque};

use crate::units::Span;

/// Requests of a route that are remembered.
const REMEMBERED: usize = 64;
/// Requests of a route without which nothing is told.
const LEAST: usize = 16;
/// Hundredths of the longest time left from which a request counts as new.
const NEW: u64 = 95;
/// Hundredths of the remembered requests that must be new for the longest time to be the usual one.
const USUAL: usize = 30;

/// The time left of the last requests of each route.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    routes: BTreeMap<String, VecDeque<Span>>,
}

impl Returns {
    /// Takes note of a request and returns how long its caller has waited already; zero where that
    /// cannot be told.
    pub fn waited(&mut self, route: &str, left: Span) -> Span {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), VecDeque::new());
        }
        let Some(seen) = self.routes.get_mut(route) else { return Span(0) };
        seen.push_back(left);
        if seen.len() > REMEMBERED {
            seen.pop_front();
        }
        let longest = seen.iter().max().copied().unwrap_or_default();
        let is_new = |left: &Span| left.0 >= longest.0 / 100 * NEW;
        let new = seen.iter().filter(|left| is_new(left)).count();
        if is_new(&left) || seen.len() < LEAST || new * 100 < seen.len() * USUAL {
            return Span(0);
        }
        Span(longest.0 - left.0)
    }

    /// Forgets the routes that are gone.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_there(route));
    }
}
