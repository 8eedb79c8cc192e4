//! Staged rollout of a version over the replicas of a zone.

use rstest::rstest;
use sequoiahold_core::{
    declare::{Fleet, Object, Role, Vm},
    ids::{Digest, VersionId, VmId},
    time::Time,
    units::{Share, Span},
    weights::{Rollout, RolloutDecision, Topology},
};

fn vm_id(vm: usize) -> VmId {
    format!("vm-{vm:03}").parse().expect("valid name")
}

fn version() -> VersionId {
    "model-2".parse().expect("valid name")
}

fn rollouts(vms: usize, step: u16) -> Vec<Rollout> {
    let vm = |vm: usize| {
        Object::Vm(Vm {
            name: vm_id(vm),
            zone: "zone".parse().expect("valid name"),
            role: Role::Endpoint("pool".parse().expect("valid name")),
            addr: ([10, 0, 0, 1], 7400).into(),
        })
    };
    let fleet = Fleet::new((0..vms).map(vm));
    let rollout = |vm| {
        let topology = Topology::new(&vm_id(vm), fleet.vms.values(), &fleet, None);
        Rollout::new(&topology, version(), &Digest::of(b"manifest"), Share(step), Time(0))
    };
    (0..vms).map(rollout).collect()
}

#[rstest]
#[case(20, 250, 5)]
#[case(7, 250, 2)]
#[case(3, 1, 1)]
#[case(9, 1_000, 9)]
fn wave_size_stays_within_the_step(#[case] vms: usize, #[case] step: u16, #[case] max_wave: usize) {
    let mut rollouts = rollouts(vms, step);
    let mut serving: Vec<usize> = vec![];
    while serving.len() < vms {
        let may_load = |vm: &usize| rollouts[*vm].decide(Time(1)) == RolloutDecision::Load;
        let wave: Vec<usize> =
            (0..vms).filter(|vm| !serving.contains(vm)).filter(may_load).collect();
        assert!(!wave.is_empty() && wave.len() <= max_wave, "{wave:?}");
        for vm in &wave {
            let observe = |rollout: &mut Rollout| {
                rollout.observe(Time(1), &vm_id(*vm), Some(&version()), true)
            };
            rollouts.iter_mut().for_each(observe);
        }
        serving.extend(wave);
    }
}

#[rstest]
#[case(None, false, RolloutDecision::Halt)]
#[case(Some("model-1"), true, RolloutDecision::Halt)]
#[case(Some("model-2"), false, RolloutDecision::Halt)]
#[case(Some("model-2"), true, RolloutDecision::Load)]
fn failing_replica_halts_the_next_wave(
    #[case] served: Option<&str>,
    #[case] open: bool,
    #[case] expected: RolloutDecision,
) {
    let mut rollouts = rollouts(2, 500);
    let second = rollouts
        .iter()
        .position(|rollout| rollout.pending_replicas().count() == 1)
        .expect("a second wave");
    let rollout = &mut rollouts[second];
    let first = rollout.pending_replicas().next().cloned().expect("a first wave");
    let served: Option<VersionId> = served.map(|name| name.parse().expect("valid name"));
    rollout.observe(Time(1), &first, served.as_ref(), open);
    assert_eq!(rollout.decide(Time(1) + Span::secs(60)), expected);
    rollout.observe(Time(2), &first, Some(&version()), true);
    assert_eq!(
        rollout.decide(Time(3)),
        RolloutDecision::Load,
        "the rollout continues once the replica serves"
    );
}

#[test]
fn unresponsive_replica_delays_the_next_wave_for_a_bounded_time() {
    let rollouts = rollouts(2, 500);
    let rollout = rollouts
        .iter()
        .find(|rollout| rollout.pending_replicas().count() == 1)
        .expect("a second wave");
    assert_eq!(rollout.decide(Time(0) + Span::secs(59)), RolloutDecision::Wait);
    assert_eq!(rollout.decide(Time(0) + Span::secs(60)), RolloutDecision::Load);
}
