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
const TELLS: u32 = 2;
/// Time between two of them.
const TELL: Duration = Duration::from_millis(250);

/// The requests in progress by endpoint, and what is held against requests.
#[derive(Default)]
pub(super) struct Suspected {
    running: BTreeMap<InstanceId, Vec<Fingerprint>>,
    suspects: Suspects,
}

impl Suspected {
    /// Returns whether a request is refused.
    pub(super) fn is_condemned(&self, print: Fingerprint) -> bool {
        self.suspects.suspicion(print) == Suspicion::Blocked
    }

    /// Takes note that a request ran to its end.
    pub(super) fn clear(&mut self, print: Fingerprint) {
        self.suspects.clear(print);
    }

    /// Takes a crash that another gateway saw.
    pub(super) fn hear(&mut self, now: Time, crash: Crash) {
        self.suspects.expire(now);
        self.suspects.record_crash(now, crash);
    }

    fn leave(&mut self, instance: &InstanceId, print: Fingerprint) {
        let Some(prints) = self.running.get_mut(instance) else { return };
        if let Some(place) = prints.iter().position(|held| *held == print) {
            prints.swap_remove(place);
        }
        if prints.is_empty() {
            self.running.remove(instance);
        }
    }
}

/// A request in progress at an endpoint.
pub(super) struct Running<D: Codec> {
    gateway: Rc<Gateway<D>>,
    instance: InstanceId,
    print: Fingerprint,
}

impl<D: Codec> Drop for Running<D> {
    fn drop(&mut self) {
        self.gateway.suspects.borrow_mut().leave(&self.instance, self.print);
    }
}

/// Returns the fingerprint of a request, the same for each copy of it.
pub(super) fn print(request: &Incoming, account: Option<&ClientId>) -> Fingerprint {
    let account = account.map_or("", |account| account.as_str());
    let line = format!("{} {} {account}\n", request.method, request.target);
    Fingerprint::from(&Digest::of(&[line.as_bytes(), &request.body].concat()))
}

/// Counts a request as in progress at an endpoint while the result lives.
pub(super) fn enter<D: Codec>(
    gateway: &Rc<Gateway<D>>,
    instance: &InstanceId,
    print: Fingerprint,
) -> Running<D> {
    let mut suspects = gateway.suspects.borrow_mut();
    suspects.running.entry(instance.clone()).or_default().push(print);
    Running { gateway: gateway.clone(), instance: instance.clone(), print }
}

/// Takes note of a crash and tells the other gateways.
pub(super) fn crashed<D: Codec>(gateway: &Rc<Gateway<D>>, instance: &InstanceId) {
    let now = gateway.node.now();
    let own = Digest::of(gateway.node.settings.vm.as_str().as_bytes());
    let crash = {
        let mut suspects = gateway.suspects.borrow_mut();
        let prints = suspects.running.get(instance).cloned().unwrap_or_default();
        let Ok(vm) = instance.as_str().parse() else { return };
        // Each gateway sees the crash with its own requests in progress.
        let crash = Crash { vm, incarnation: Fingerprint::from(&own).0, fingerprints: prints };
        suspects.hear(now, crash.clone());
        crash
    };
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        let datagram = Datagram::Crash(crash);
        for _ in 0..TELLS {
            gateway.node.send(gateway.node.peer_addrs(Role::Gateway), &datagram);
            actix_rt::time::sleep(TELL).await;
        }
    });
}
