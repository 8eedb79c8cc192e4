//! Requests that are in progress where endpoints crash, told to the other gateways.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use sequoiahold_core::{
    direct::{membership::Role, platform::Codec},
    ids::{ClientId, Digest, InstanceId},
    suspect::{Crash, Fingerprint, Suspects, Suspicion},
    time::Time,
};

use super::state::Gateway;
use crate::{h1::Incoming, node::Datagram};

/// Times that a crash is told, as datagrams get lost.
const CRASH_SENDS: u32 = 2;
/// Time between two of them.
const CRASH_SEND_INTERVAL: Duration = Duration::from_millis(250);

/// The requests in progress by endpoint, and what is held against requests.
#[derive(Default)]
pub(super) struct CrashSuspects {
    running: BTreeMap<InstanceId, Vec<Fingerprint>>,
    suspects: Suspects,
}

impl CrashSuspects {
    /// Returns whether a request is refused.
    pub(super) fn is_blocked(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.suspicion(fingerprint) == Suspicion::Blocked
    }

    /// Takes note that a request ran to its end.
    pub(super) fn clear(&mut self, fingerprint: Fingerprint) {
        self.suspects.clear(fingerprint);
    }

    /// Takes a crash that another gateway saw.
    pub(super) fn record_crash(&mut self, now: Time, crash: Crash) {
        self.suspects.expire(now);
        self.suspects.record_crash(now, crash);
    }

    fn remove_running(&mut self, instance: &InstanceId, fingerprint: Fingerprint) {
        let Some(fingerprints) = self.running.get_mut(instance) else { return };
        if let Some(index) = fingerprints.iter().position(|running| *running == fingerprint) {
            fingerprints.swap_remove(index);
        }
        if fingerprints.is_empty() {
            self.running.remove(instance);
        }
    }
}

/// A request in progress at an endpoint.
pub(super) struct RunningGuard<D: Codec> {
    gateway: Rc<Gateway<D>>,
    instance: InstanceId,
    fingerprint: Fingerprint,
}

impl<D: Codec> Drop for RunningGuard<D> {
    fn drop(&mut self) {
        self.gateway.suspects.borrow_mut().remove_running(&self.instance, self.fingerprint);
    }
}

/// Returns the fingerprint of a request, the same for each copy of it.
pub(super) fn fingerprint(request: &Incoming, account: Option<&ClientId>) -> Fingerprint {
    let account = account.map_or("", |account| account.as_str());
    let request_line = format!("{} {} {account}\n", request.method, request.target);
    Fingerprint::from(&Digest::of(&[request_line.as_bytes(), &request.body].concat()))
}

/// Counts a request as in progress at an endpoint while the result lives.
pub(super) fn track_running<D: Codec>(
    gateway: &Rc<Gateway<D>>,
    instance: &InstanceId,
    fingerprint: Fingerprint,
) -> RunningGuard<D> {
    let mut suspects = gateway.suspects.borrow_mut();
    suspects.running.entry(instance.clone()).or_default().push(fingerprint);
    RunningGuard { gateway: gateway.clone(), instance: instance.clone(), fingerprint }
}

/// Takes note of a crash and tells the other gateways.
pub(super) fn report_crash<D: Codec>(gateway: &Rc<Gateway<D>>, instance: &InstanceId) {
    let now = gateway.node.now();
    let incarnation = Digest::of(gateway.node.settings.vm.as_str().as_bytes());
    let crash = {
        let mut suspects = gateway.suspects.borrow_mut();
        let fingerprints = suspects.running.get(instance).cloned().unwrap_or_default();
        let Ok(vm) = instance.as_str().parse() else { return };
        // Each gateway sees the crash with its own requests in progress.
        let crash = Crash { vm, incarnation: Fingerprint::from(&incarnation).0, fingerprints };
        suspects.record_crash(now, crash.clone());
        crash
    };
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        let datagram = Datagram::Crash(crash);
        for _ in 0..CRASH_SENDS {
            gateway.node.tell(gateway.node.peers(Role::Gateway), &datagram);
            actix_rt::time::sleep(CRASH_SEND_INTERVAL).await;
        }
    });
}
