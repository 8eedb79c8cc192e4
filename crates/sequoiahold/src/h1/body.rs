//! Bodies that are read whole, within what their reader may hold.

use bytes::Bytes;

/// Initial capacity of a body.
const FIRST_CAPACITY: usize = 4_096;

/// Decides whether more bytes of a body may be held in memory.
pub trait Allowance {
    /// Returns whether the body may hold `bytes` in all.
    fn try_hold(&self, bytes: usize) -> bool;
}

/// Allows every body, for connections of peers and of the platform.
#[derive(Clone, Copy, Debug)]
pub struct Unlimited;

impl Allowance for Unlimited {
    fn try_hold(&self, _: usize) -> bool {
        true
    }
}

/// A body of at most `max_len` bytes that grows as it arrives.
pub(super) struct BodyBuffer<'a, A> {
    data: Vec<u8>,
    max_len: usize,
    allowance: &'a A,
}

impl<'a, A: Allowance> BodyBuffer<'a, A> {
    /// Returns an empty body that will not be longer than `max_len`.
    pub(super) fn new(max_len: usize, allowance: &'a A) -> Self {
        Self { data: vec![], max_len, allowance }
    }

    /// Adds bytes; returns whether they may be held.
    pub(super) fn push(&mut self, part: &[u8]) -> bool {
        let needed = self.data.len() + part.len();
        if needed > self.data.capacity() {
            let doubled = (self.data.capacity() * 2).max(FIRST_CAPACITY);
            let capacity = doubled.min(self.max_len).max(needed);
            if !self.allowance.try_hold(capacity) {
                return false;
            }
            self.data.reserve_exact(capacity - self.data.len());
        }
        self.data.extend_from_slice(part);
        true
    }

    /// Returns the length.
    pub(super) fn len(&self) -> usize {
        self.data.len()
    }

    /// Returns the complete body.
    pub(super) fn freeze(self) -> Bytes {
        self.data.into()
    }
}
