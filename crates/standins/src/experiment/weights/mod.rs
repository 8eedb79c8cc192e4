//! Weights on many VMs: time, origin bytes and link bytes of several ways to draw them.

pub mod link;
pub mod node;
pub mod plan;
pub mod sim;

use std::path::PathBuf;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use self::{
    node::Present,
    plan::{CHUNKS, Faults, Figures, Plan, name},
    sim::Sim,
};

/// Chunks that a VM draws at the same time.
const DRAWS: usize = 4;

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

/// Runs the experiment and prints its table.
pub fn run(options: &Options) -> anyhow::Result<u8> {
    println!(
        "{:>8} {:>7} {:>4} {:>2} {:>8} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>5}",
        "scheme",
        "case",
        "vms",
        "zo",
        "seconds",
        "bounds",
        "origin",
        "reg.in",
        "reg.out",
        "upload",
        "downld",
        "ctl.KB",
        "open"
    );
    for zones in [1, 3, 8] {
        for vms in [10, 50, 100, 200, 400, 950].into_iter().filter(|vms| *vms <= options.most) {
            let plan = Plan { vms, zones, seed: options.seed, held: 0, faults: Faults::default() };
            show(&present(plan, "cold"));
        }
    }
    Ok(0)
}

fn present(plan: Plan, case: &'static str) -> Figures {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let held: Vec<bool> = (0..CHUNKS).map(|_| rng.random_range(0..1_000) < plan.held).collect();
    let near = |zone| (0..plan.vms).filter(move |vm| plan.zone_of(*vm) == zone);
    let node = |vm| {
        let peers = near(plan.zone_of(vm)).map(|peer| name("vm", peer)).collect();
        Present::new(name("vm", vm), plan.manifest(), held.clone(), peers)
    };
    let nodes = (0..plan.vms).map(node).collect();
    Sim::new(plan, DRAWS, nodes, &held).run("present", case)
}

fn show(f: &Figures) {
    println!(
        "{:>8} {:>7} {:>4} {:>2} {:>8.1} {:>6.2} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>7.2} {:>5}",
        f.scheme,
        f.case,
        f.vms,
        f.zones,
        f.seconds,
        f.bounds,
        f.origin,
        f.region_in,
        f.region_out,
        f.upload,
        f.download,
        f.control,
        f.unfinished + f.wrong as usize
    );
}
