//! Weights on many VMs: time, origin bytes and link bytes of several ways to draw them.

pub mod link;
pub mod node;
pub mod plan;
pub mod report;
pub mod sim;

use std::{collections::BTreeMap, path::PathBuf, rc::Rc};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use sequoiahold_core::{
    ids::{Digest, RegionId},
    units::Span,
    weights::{Limits, Outside, Owners, Topology, Transfer, Uploads},
};

use self::{
    node::{Anyone, Line, Swarm},
    plan::{CHUNKS, Faults, Figures, ORIGIN_RATE, Plan, VM_RATE},
    sim::Sim,
};

/// Chunks that a VM draws at the same time.
const DRAWS: usize = 4;
/// Chunks that a VM gives at the same time.
const SLOTS: u32 = 4;
/// Time that a draw may take in a chain or tree.
const LINE_TIMEOUT: Span = Span::secs(3_600);
/// Numbers of VMs.
const SIZES: [usize; 6] = [10, 50, 100, 200, 400, 950];

/// What is asked for on the command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of all random numbers.
    pub seed: u64,
    /// The largest number of VMs.
    pub most: usize,
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

/// Runs the experiment and prints its table.
pub fn run(options: &Options) -> anyhow::Result<u8> {
    report::head();
    for zones in [1, 3, 8] {
        for vms in SIZES.into_iter().filter(|vms| *vms <= options.most) {
            let plan = Plan { vms, zones, seed: options.seed, held: 0, faults: Faults::default() };
            report::row(&measure(Scheme::Owned, plan, "cold"));
        }
    }
    Ok(0)
}

/// Runs one way to draw weights under a plan.
pub fn measure(scheme: Scheme, plan: Plan, case: &'static str) -> Figures {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let held: Vec<bool> = (0..CHUNKS).map(|_| rng.random_range(0..1_000) < plan.held).collect();
    let name = scheme.name();
    match scheme {
        Scheme::Chain => Sim::new(plan, DRAWS, lines(plan, &held, 1), &held).run(name, case),
        Scheme::Tree => Sim::new(plan, DRAWS, lines(plan, &held, 2), &held).run(name, case),
        Scheme::Swarm => Sim::new(plan, DRAWS, swarm(plan, &held, Anyone), &held).run(name, case),
        Scheme::Owned => {
            let owners = Owners { origin: ORIGIN_RATE };
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

fn swarm<O: Copy + Outside + 'static>(plan: Plan, held: &[bool], outside: O) -> Vec<Swarm<O>> {
    let fleet = Rc::new(plan.fleet());
    let manifest = Rc::new(plan.manifest());
    let known: Rc<BTreeMap<Digest, bool>> =
        Rc::new(manifest.chunks.iter().copied().zip(held.iter().copied()).collect());
    let uploads = Uploads { slots: SLOTS, rate: VM_RATE };
    let limits = Limits { rate: VM_RATE, draws: DRAWS as u32 };
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
