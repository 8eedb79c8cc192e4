//! Weights on many VMs: time, origin bytes and link bytes of several ways to draw them.

pub mod link;
pub mod node;
pub mod plan;
pub mod report;
pub mod sim;

use std::{
    collections::BTreeMap,
    path::PathBuf,
    rc::Rc,
    sync::{
        atomic::{AtomicUsize, Ordering},
        mpsc,
    },
    thread,
};

use sequoiahold_core::{
    ids::{Digest, RegionId},
    time::Time,
    units::Span,
    weights::{
        CrossZonePolicy, RendezvousOwners, Topology, Transfer, TransferLimits, UploadLimits,
    },
};

use self::{
    node::{Anyone, Line, Swarm},
    plan::{Faults, Figures, ORIGIN_RATE, Plan, VM_RATE},
    sim::Sim,
};

/// Chunks that a VM draws at the same time.
const DRAWS: usize = 4;
/// Chunks that a VM gives at the same time.
const SLOTS: u32 = 4;
/// Time that a draw may take in a chain or tree.
const LINE_TIMEOUT: Span = Span::secs(3_600);
/// Runs at the same time.
const THREADS: usize = 4;
/// Numbers of VMs.
const SIZES: [usize; 6] = [10, 50, 100, 200, 400, 950];

/// What is asked for on the command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of all random numbers.
    pub seed: u64,
    /// The largest number of VMs.
    pub most: usize,
    /// The only way to measure, or all.
    pub scheme: Option<String>,
    /// The folder for raw figures and charts.
    pub out: Option<PathBuf>,
}

/// A way to draw weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scheme {
    /// Each VM draws from the one before it.
    Chain,
    /// Each VM draws from its parent in a binary tree.
    Tree,
    /// VMs exchange the rarest chunks first; anyone draws from the origin.
    Swarm,
    /// As the swarm, but only a chunk's owner draws it from outside.
    Owned,
}

impl Scheme {
    fn name(self) -> &'static str {
        match self {
            Self::Chain => "chain",
            Self::Tree => "tree",
            Self::Swarm => "swarm",
            Self::Owned => "owned",
        }
    }
}

/// Runs the experiment, prints its table and writes raw figures and charts.
pub fn run(options: &Options) -> anyhow::Result<u8> {
    let runs = runs(options);
    report::head();
    let figures = in_threads(&runs, report::row);
    if let Some(out) = &options.out {
        report::write(out, &figures)?;
    }
    Ok(0)
}

fn runs(options: &Options) -> Vec<(Scheme, Plan, &'static str)> {
    let faults = Faults { killed: 50, corrupt: 10, stalled: true };
    let cases =
        [("cold", 0, Faults::default()), ("faults", 0, faults), ("change", 950, Faults::default())];
    let mut runs = vec![];
    for (case, held, faults) in cases {
        for zones in [1, 3, 8] {
            for vms in SIZES.into_iter().filter(|vms| *vms <= options.most) {
                let plan = Plan { vms, zones, seed: options.seed, held, faults };
                let others = [Scheme::Chain, Scheme::Tree, Scheme::Swarm];
                let others = others.into_iter().filter(|_| case == "cold");
                runs.extend(others.chain([Scheme::Owned]).map(|scheme| (scheme, plan, case)));
            }
        }
    }
    let wanted = |scheme: Scheme| options.scheme.as_ref().is_none_or(|s| s == scheme.name());
    runs.retain(|(scheme, ..)| wanted(*scheme));
    runs
}

/// Measures runs in threads and returns the figures in the order of the runs.
fn in_threads(
    runs: &[(Scheme, Plan, &'static str)],
    mut show: impl FnMut(&Figures),
) -> Vec<Figures> {
    let next = AtomicUsize::new(0);
    let (sender, receiver) = mpsc::channel();
    let mut done = BTreeMap::new();
    let mut figures = vec![];
    thread::scope(|scope| {
        for _ in 0..THREADS {
            let (sender, next) = (sender.clone(), &next);
            scope.spawn(move || {
                while let Some((i, run)) = take(runs, next) {
                    let _ = sender.send((i, measure(run.0, run.1, run.2)));
                }
            });
        }
        drop(sender);
        for (i, one) in receiver {
            done.insert(i, one);
            while let Some(one) = done.remove(&figures.len()) {
                show(&one);
                figures.push(one);
            }
        }
    });
    figures
}

fn take<'a, T>(runs: &'a [T], next: &AtomicUsize) -> Option<(usize, &'a T)> {
    let i = next.fetch_add(1, Ordering::Relaxed);
    runs.get(i).map(|run| (i, run))
}

/// Runs one way to draw weights under a plan.
pub fn measure(scheme: Scheme, plan: Plan, case: &'static str) -> Figures {
    let held = plan.held();
    let name = scheme.name();
    match scheme {
        Scheme::Chain => Sim::new(plan, DRAWS, lines(plan, &held, 1), &held).run(name, case),
        Scheme::Tree => Sim::new(plan, DRAWS, lines(plan, &held, 2), &held).run(name, case),
        Scheme::Swarm => Sim::new(plan, DRAWS, swarm(plan, &held, Anyone), &held).run(name, case),
        Scheme::Owned => {
            let owners = RendezvousOwners { origin_rate: ORIGIN_RATE };
            Sim::new(plan, DRAWS, swarm(plan, &held, owners), &held).run(name, case)
        }
    }
}

fn lines(plan: Plan, held: &[bool], fan_out: usize) -> Vec<Line> {
    let manifest = plan.manifest();
    let parent = |vm: usize| {
        let (zone, place) = (plan.zone_of(vm), vm / plan.zones);
        let above = if place == 0 { zone.checked_sub(1)? } else { 0 };
        Some(if place == 0 { above } else { (place - 1) / fan_out * plan.zones + zone })
    };
    let line = |vm| {
        Line::new(parent(vm).map(|parent| plan::name("vm", parent)), &manifest, held, LINE_TIMEOUT)
    };
    (0..plan.vms).map(line).collect()
}

fn swarm<O: Copy + CrossZonePolicy>(
    plan: Plan,
    held: &[bool],
    outside: O,
) -> Vec<Swarm<O, impl Fn(Time) -> Transfer<O>>> {
    let fleet = Rc::new(plan.fleet());
    let manifest = Rc::new(plan.manifest());
    let known: Rc<BTreeMap<Digest, bool>> =
        Rc::new(manifest.chunks.iter().copied().zip(held.iter().copied()).collect());
    let uploads = UploadLimits { max_uploads: SLOTS, rate: VM_RATE };
    let limits = TransferLimits { rate: VM_RATE, max_pulls: DRAWS as u32, time_limit: None };
    let region: RegionId = plan::name("region", 0);
    let node = |vm| {
        let (fleet, manifest, known) = (fleet.clone(), manifest.clone(), known.clone());
        let own = plan::name("vm", vm);
        let region = region.clone();
        Swarm::new(uploads, move |now| {
            let topology = Topology::new(&own, fleet.vms.values(), &fleet, Some(&region));
            Transfer::new(&manifest, |digest| known[digest], topology, outside, limits, now)
        })
    };
    (0..plan.vms).map(node).collect()
}
