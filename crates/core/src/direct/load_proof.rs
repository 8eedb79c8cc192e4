//! Decides whether the chunks that an engine loaded are known to have been intact.
//!
//! An engine loads whatever is staged as it accepts an order, and staged chunks can turn corrupt at
//! any moment. A load counts as intact only by evidence: either the order was accepted soon enough
//! after a check that found all chunks intact, or a check afterwards does, as corrupt chunks do not
//! recover by themselves.

use crate::{time::Time, units::Span};

/// Time for which a chunk may have been corrupt when an engine loads it.
const CORRUPTION_GRACE: Span = Span::secs(3);
/// Age of a check above which the chunks are checked again before an order, counted from the read
/// of the first chunk. The rest of the grace is left for the order to arrive.
const MAX_CHECK_AGE: Span = Span::millis(1_500);
/// Time between a check that takes longer than [`MAX_CHECK_AGE`] and its order.
const ORDER_TIME: Span = Span::millis(250);

/// A check that found all staged chunks intact.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChunkCheck {
    /// When the first chunk was read.
    pub started: Time,
    /// When the last chunk had been read.
    pub ended: Time,
}

/// Which order an engine has accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcceptedOrder {
    /// The last one sent.
    Last,
    /// Any one that was sent, at an unknown time.
    Unknown,
}

/// The versions of which calls of an earlier process may stage chunks during a load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ForeignChunks {
    /// Any one.
    #[default]
    AnyVersion,
    /// Any but the one to load, which was announced since the start of this process.
    OtherVersions,
    /// None but the one to load, as there is no other.
    ///
    /// No version could be loaded in between, so that a late call is not taken to have replaced a
    /// corrupt chunk where a check after the load finds all intact.
    OnlyVersion,
}

/// What is known of the chunks that an engine loads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadVerdict {
    /// They were intact.
    Intact,
    /// They were intact if a check finds the staged ones intact now.
    Recheck,
    /// Some may have been corrupt.
    Doubtful,
}

/// The evidence on the chunks that an engine loads.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadProof {
    check: Option<ChunkCheck>,
    open_order: bool,
    /// Whether an order was sent since the last report of the engine.
    unseen_order: bool,
    /// Whether an order of an earlier process, or one that reached a start of the engine before it was
    /// seen, may be open.
    foreign_order: bool,
    /// Whether chunks were staged while an order was open, since the engine last reported that it
    /// had begun no load.
    restaged: bool,
    /// Whether chunks were found corrupt while an order was open.
    spoilt: bool,
    /// Calls to stage a chunk without an answer: one that was given up may yet take effect.
    open_stagings: u32,
    /// Those of them that began since the last report of the engine.
    unseen_stagings: u32,
    /// Whether calls of an earlier process to stage a chunk may yet take effect.
    foreign_staging: bool,
    /// Of which versions.
    foreign_chunks: ForeignChunks,
}

impl LoadProof {
    /// Returns the evidence of a started process: calls of an earlier one may yet take effect, an
    /// order as well as the staging of a chunk.
    pub fn started() -> Self {
        Self { foreign_order: true, foreign_staging: true, ..Self::default() }
    }

    /// Begins the load of another version, for which no check counts yet, given of which versions an
    /// earlier process may have staged chunks.
    pub fn begin_load(&mut self, staged: ForeignChunks) {
        self.check = None;
        self.foreign_chunks = staged;
    }

    /// Records a check.
    pub fn record_check(&mut self, check: ChunkCheck) {
        self.check = Some(check);
    }

    /// Records that a call to stage a chunk begins, which counts as open until it is answered.
    pub fn begin_staging(&mut self) {
        self.open_stagings += 1;
        self.unseen_stagings += 1;
        self.record_staging();
    }

    /// Records that chunks are staged.
    pub fn record_staging(&mut self) {
        self.check = None;
        self.restaged |= self.open_order || self.foreign_order;
    }

    /// Records that a call to stage a chunk was answered.
    pub fn end_staging(&mut self) {
        self.open_stagings = self.open_stagings.saturating_sub(1);
        self.unseen_stagings = self.unseen_stagings.saturating_sub(1);
    }

    /// Returns whether chunks were staged that a load of unknown time may have taken or not.
    pub fn has_restaged(&self) -> bool {
        self.restaged
    }

    /// Records that the engine, asked after the last chunk was staged, has begun no load: an order
    /// that it accepts from now on loads what is staged now.
    pub fn record_idle_engine(&mut self) {
        self.restaged = false;
    }

    /// Records that chunks were found corrupt while an order is open.
    ///
    /// They are not staged again: a process that started later would take the load for intact. The
    /// order is sent again as it is, so that one of them begins and the others no longer can.
    pub fn record_spoilt(&mut self) {
        self.spoilt = true;
    }

    /// Returns whether an order may be sent: the last check is recent enough, or what it loads is
    /// known to be corrupt.
    pub fn allows_order(&self, now: Time) -> bool {
        self.spoilt
            || self.check.is_some_and(|check| {
                let slow_check = check.ended + ORDER_TIME;
                now <= slow_check.max(check.started + MAX_CHECK_AGE)
            })
    }

    /// Records that an order is sent, which the engine may accept at any time from now on.
    pub fn record_order(&mut self) {
        self.open_order = true;
        self.unseen_order = true;
    }

    /// Records that the engine rejected the only order sent; one of an earlier process stays open.
    pub fn record_rejection(&mut self) {
        (self.open_order, self.unseen_order) = (false, false);
    }

    /// Records a report of the same start as before, which received all calls so far.
    pub fn record_report(&mut self) {
        self.unseen_order = false;
        self.unseen_stagings = 0;
    }

    /// Records that the engine can no longer accept an order sent so far.
    pub fn close_orders(&mut self) {
        (self.open_order, self.unseen_order, self.foreign_order) = (false, false, false);
        (self.restaged, self.spoilt) = (false, false);
    }

    /// Records that the engine has started again: what was staged may be lost, and the calls that
    /// the earlier start received are over.
    ///
    /// Calls sent since its last report may have reached the new start. What an order among them
    /// would load may be gone, so that chunks are staged beside it.
    pub fn record_engine_start(&mut self) {
        let open_stagings = self.unseen_stagings;
        *self = Self {
            foreign_order: self.unseen_order,
            open_stagings,
            unseen_stagings: open_stagings,
            ..Self::default()
        };
    }

    /// Returns whether the engine may still accept an order.
    pub fn has_open_order(&self) -> bool {
        self.open_order
    }

    /// Returns whether an order of an earlier process may be open.
    pub fn has_foreign_order(&self) -> bool {
        self.foreign_order
    }

    /// Returns the number of calls to stage a chunk that may yet take effect.
    pub fn open_stagings(&self) -> u32 {
        self.open_stagings
    }

    /// Returns the time since the first read of the last check, `None` without one.
    pub fn check_age(&self, now: Time) -> Option<Span> {
        self.check.map(|check| now - check.started)
    }

    /// Returns what is known of the chunks loaded by an order that was accepted by `now`.
    pub fn verdict(&self, now: Time, accepted: AcceptedOrder) -> LoadVerdict {
        if self.restaged && accepted == AcceptedOrder::Unknown {
            return LoadVerdict::Doubtful;
        }
        let is_recent = self.check.is_some_and(|check| now - check.started <= CORRUPTION_GRACE);
        // A late call may have replaced a checked chunk, or a corrupt one since the load.
        let foreign = self.foreign_chunks;
        let may_spoil =
            self.open_stagings > 0 || self.foreign_staging && foreign != ForeignChunks::OnlyVersion;
        let may_repair =
            self.open_stagings > 0 || self.foreign_staging && foreign == ForeignChunks::AnyVersion;
        match is_recent {
            // Chunks found corrupt since then have been so for less than the grace.
            true if !may_spoil => LoadVerdict::Intact,
            _ if self.spoilt => LoadVerdict::Doubtful,
            false if may_repair => LoadVerdict::Doubtful,
            _ => LoadVerdict::Recheck,
        }
    }
}
