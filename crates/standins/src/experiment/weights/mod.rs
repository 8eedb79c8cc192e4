//! Comparison of schemes that distribute weights to many VMs: time, origin load and link load.

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

/// Maximum number of chunks that a VM fetches at the same time.
const MAX_PULLS: usize = 4;
/// Maximum number of chunks that a VM uploads at the same time.
const MAX_UPLOADS: u32 = 4;
/// Timeout of a chunk transfer in a chain or tree.
const PULL_TIMEOUT: Span = Span::secs(3_600);
/// Number of runs measured in parallel.
const CONCURRENT_RUNS: usize = 4;
/// Fleet sizes in VMs.
const FLEET_SIZES: [usize; 6] = [10, 50, 100, 200, 400, 950];

/// Command-line options of the experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Largest fleet size to measure, in VMs.
    pub max_vms: usize,
    /// Name of the only scheme to measure, `None` for all.
    pub scheme: Option<String>,
    /// Directory for raw figures and charts, `None` to write none.
    pub out: Option<PathBuf>,
}

/// A scheme to distribute weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scheme {
    /// Each VM fetches from the one before it.
    Chain,
    /// Each VM fetches from its parent in a binary tree.
    Tree,
    /// VMs exchange the rarest chunks first; any VM may fetch from the origin.
    Swarm,
    /// Like `Swarm`, but only the owner of a chunk in each zone fetches it from outside.
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

/// Runs the experiment and prints its table; writes figures and charts if a directory is given.
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
    let selected = |scheme: Scheme| options.scheme.as_ref().is_none_or(|s| s == scheme.name());
    runs.retain(|(scheme, ..)| selected(*scheme));
    runs
}

/// Measures runs in parallel; calls `show` with the figures in the order of the runs.
fn run_parallel(
    runs: &[(Scheme, Plan, &'static str)],
    mut show: impl FnMut(&Figures),
) -> Vec<Figures> {
    let next = AtomicUsize::new(0);
    let (sender, receiver) = mpsc::channel();
    let mut finished = BTreeMap::new();
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
        for (i, measured) in receiver {
            finished.insert(i, measured);
            while let Some(measured) = finished.remove(&figures.len()) {
                show(&measured);
                figures.push(measured);
            }
        }
    });
    figures
}

fn next_run<'a, T>(runs: &'a [T], next: &AtomicUsize) -> Option<(usize, &'a T)> {
    let i = next.fetch_add(1, Ordering::Relaxed);
    runs.get(i).map(|run| (i, run))
}

/// Measures one scheme under a plan.
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
        let (zone, rank) = (plan.zone_of(vm), vm / plan.zones);
        let upstream = if rank == 0 { zone.checked_sub(1)? } else { 0 };
        Some(if rank == 0 { upstream } else { (rank - 1) / fan_out * plan.zones + zone })
    };
    let node = |vm| {
        SequentialNode::new(
            parent(vm).map(|parent| plan::numbered_name("vm", parent)),
            &manifest,
            held,
            PULL_TIMEOUT,
        )
    };
    (0..plan.vms).map(node).collect()
}

fn transfer_nodes<O: Copy + CrossZonePolicy>(
    plan: Plan,
    held: &[bool],
    policy: O,
) -> Vec<TransferNode<O, impl Fn(Time) -> Transfer<O>>> {
    let fleet = Rc::new(plan.fleet());
    let manifest = Rc::new(plan.manifest());
    let held_chunks: Rc<BTreeMap<Digest, bool>> =
        Rc::new(manifest.chunks.iter().copied().zip(held.iter().copied()).collect());
    let uploads = UploadLimits { max_uploads: MAX_UPLOADS, rate: VM_RATE };
    let limits = TransferLimits { rate: VM_RATE, max_pulls: MAX_PULLS as u32, time_limit: None };
    let region: RegionId = plan::numbered_name("region", 0);
    let node = |vm| {
        let (fleet, manifest, held_chunks) = (fleet.clone(), manifest.clone(), held_chunks.clone());
        let vm_name = plan::numbered_name("vm", vm);
        let region = region.clone();
        TransferNode::new(uploads, move |now| {
            let topology = Topology::new(&vm_name, fleet.vms.values(), &fleet, Some(&region));
            Transfer::new(&manifest, |digest| held_chunks[digest], topology, policy, limits, now)
        })
    };
    (0..plan.vms).map(node).collect()
}
