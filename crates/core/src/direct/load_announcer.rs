//! Decides which gateways a loader reports its engine's load to.
//!
//! Load pattern: gateways that start, or return after a network partition, while nothing changes at
//! the engine; datagrams that are lost.

use std::{collections::BTreeMap, net::SocketAddr};

use super::load_reports::LoadReport;
use crate::ids::Incarnation;

/// Number of times that each gateway is sent a report.
const SENDS: u32 = 5;

/// What one gateway has been sent.
#[derive(Clone, Debug)]
struct Recipient {
    incarnation: Incarnation,
    report: LoadReport,
    sends: u32,
}

/// The gateways that have been sent the report of an engine's load.
#[derive(Clone, Debug, Default)]
pub struct LoadAnnouncer {
    recipients: BTreeMap<SocketAddr, Recipient>,
}

impl LoadAnnouncer {
    /// Returns those of the live gateways that are sent the report in this round: a gateway that is
    /// new, has been away or has an older report, [`SENDS`] times.
    pub fn recipients(
        &mut self,
        report: &LoadReport,
        gateways: &[(SocketAddr, Incarnation)],
    ) -> Vec<SocketAddr> {
        self.recipients.retain(|addr, _| gateways.iter().any(|(live, _)| live == addr));
        let mut due = vec![];
        for (addr, incarnation) in gateways {
            let new = || Recipient { incarnation: *incarnation, report: report.clone(), sends: 0 };
            let recipient = self.recipients.entry(*addr).or_insert_with(new);
            if recipient.incarnation != *incarnation || recipient.report != *report {
                *recipient = new();
            }
            if recipient.sends < SENDS {
                recipient.sends += 1;
                due.push(*addr);
            }
        }
        due
    }
}
