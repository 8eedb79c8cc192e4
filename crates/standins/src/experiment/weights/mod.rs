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
    node::{AnyVmPolicy, SequentialNode, TransferNode},
    plan::{Faults, Figures, ORIGIN_RATE, Plan, VM_RATE},
    sim::Sim,
};

/// Chunks that a VM draws at the same time.
const MAX_PULLS: usize = 4;
/// Chunks that a VM gives at the same time.
const MAX_UPLOADS: u32 = 4;
/// Time that a draw may take in a chain or tree.
const PULL_TIMEOUT: Span = Span::secs(3_600);
/// Runs at the same time.
const CONCURRENT_RUNS: usize = 4;
/// Numbers of VMs.
const FLEET_SIZES: [usize; 6] = [10, 50, 100, 200, 400, 950];

/// What is asked for on the command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of all random numbers.
    pub seed: u64,
    /// The largest number of VMs.
    pub max_vms: usize,
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
    let runs = planned_runs(options);
    report::print_header();
    let figures = run_parallel(&runs, report::print_row);
    if let Some(out) = &options.out {
        report::write_files(out, &figures)?;
    }
    Ok(0)
}

fn planned_runs(options: &Options) -> Vec<(Scheme, Plan, &'static str)> {
    let faults = Faults { killed: 50, corrupt: 10, stalled: true };
    let cases =
        [("cold", 0, Faults::default()), ("faults", 0, faults), ("change", 950, Faults::default())];
    let mut runs = vec![];
    for (case, held, faults) in cases {
        for zones in [1, 3, 8] {
            for vms in FLEET_SIZES.into_iter().filter(|vms| *vms <= options.max_vms) {
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
fn run_parallel(
    runs: &[(Scheme, Plan, &'static str)],
    mut show: impl FnMut(&Figures),
) -> Vec<Figures> {
    let next = AtomicUsize::new(0);
    let (sender, receiver) = mpsc::channel();
    let mut done = BTreeMap::new();
    let mut figures = vec![];
    thread::scope(|scope| {
        for _ in 0..CONCURRENT_RUNS {
            let (sender, next) = (sender.clone(), &next);
            scope.spawn(move || {
                while let Some((i, run)) = next_run(runs, next) {
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

fn next_run<'a, T>(runs: &'a [T], next: &AtomicUsize) -> Option<(usize, &'a T)> {
    let i = next.fetch_add(1, Ordering::Relaxed);
    runs.get(i).map(|run| (i, run))
}

/// Runs one way to draw weights under a plan.
pub fn measure(scheme: Scheme, plan: Plan, case: &'static str) -> Figures {
    let held = plan.held();
    let name = scheme.name();
    match scheme {
        Scheme::Chain => {
            Sim::new(plan, MAX_PULLS, sequential_nodes(plan, &held, 1), &held).run(name, case)
        }
        Scheme::Tree => {
            Sim::new(plan, MAX_PULLS, sequential_nodes(plan, &held, 2), &held).run(name, case)
        }
        Scheme::Swarm => Sim::new(plan, MAX_PULLS, transfer_nodes(plan, &held, AnyVmPolicy), &held)
            .run(name, case),
        Scheme::Owned => {
            let owners = RendezvousOwners { origin_rate: ORIGIN_RATE };
            Sim::new(plan, MAX_PULLS, transfer_nodes(plan, &held, owners), &held).run(name, case)
        }
    }
}

fn sequential_nodes(plan: Plan, held: &[bool], fan_out: usize) -> Vec<SequentialNode> {
    let manifest = plan.manifest();
    let parent = |vm: usize| {
        let (zone, place) = (plan.zone_of(vm), vm / plan.zones);
        let above = if place == 0 { zone.checked_sub(1)? } else { 0 };
        Some(if place == 0 { above } else { (place - 1) / fan_out * plan.zones + zone })
    };
    let line = |vm| {
        SequentialNode::new(
            parent(vm).map(|parent| plan::numbered_name("vm", parent)),
            &manifest,
            held,
            PULL_TIMEOUT,
        )
    };
    (0..plan.vms).map(line).collect()
}

fn transfer_nodes<O: Copy + CrossZonePolicy>(
    plan: Plan,
    held: &[bool],
    outside: O,
) -> Vec<TransferNode<O, impl Fn(Time) -> Transfer<O>>> {
    let fleet = Rc::new(plan.fleet());
    let manifest = Rc::new(plan.manifest());
    let known: Rc<BTreeMap<Digest, bool>> =
        Rc::new(manifest.chunks.iter().copied().zip(held.iter().copied()).collect());
    let uploads = UploadLimits { max_uploads: MAX_UPLOADS, rate: VM_RATE };
    let limits = TransferLimits { rate: VM_RATE, max_pulls: MAX_PULLS as u32, time_limit: None };
    let region: RegionId = plan::numbered_name("region", 0);
    let node = |vm| {
        let (fleet, manifest, known) = (fleet.clone(), manifest.clone(), known.clone());
        let own = plan::numbered_name("vm", vm);
        let region = region.clone();
        TransferNode::new(uploads, move |now| {
            let topology = Topology::new(&own, fleet.vms.values(), &fleet, Some(&region));
            Transfer::new(&manifest, |digest| known[digest], topology, outside, limits, now)
        })
    };
    (0..plan.vms).map(node).collect()
}
