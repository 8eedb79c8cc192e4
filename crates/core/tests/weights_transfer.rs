//! Planning of transfers: chunk owners, corrupt chunks, refused pulls and changes of version.

use std::collections::BTreeSet;

use rstest::rstest;
use sequoiahold_core::{
    declare::{Fleet, Object, Role, Vm, Zone},
    ids::{Digest, VmId},
    time::Time,
    units::{ByteRate, Bytes, Span},
    weights::{
        ChunkOutcome, ChunkSource, Manifest, PullError, RendezvousOwners, Topology, Transfer,
        TransferLimits, TransferState, UploadLimits,
    },
};

const RATE: ByteRate = ByteRate(1_000_000);

fn fleet(vms: usize, zones: usize) -> Fleet {
    let zone = |zone: usize| {
        Object::Zone(Zone {
            name: format!("zone-{zone}").parse().expect("valid name"),
            region: format!("region-{zone}").parse().expect("valid name"),
            out: false,
            link: RATE,
        })
    };
    let vm = |vm: usize| {
        Object::Vm(Vm {
            name: vm_id(vm),
            zone: format!("zone-{}", vm % zones).parse().expect("valid name"),
            role: Role::Endpoint("pool".parse().expect("valid name")),
            addr: ([10, 0, 0, 1], 7400).into(),
        })
    };
    Fleet::new((0..zones).map(zone).chain((0..vms).map(vm)))
}

fn vm_id(vm: usize) -> VmId {
    format!("vm-{vm:03}").parse().expect("valid name")
}

fn chunk_data(chunk: u64) -> [u8; 8] {
    chunk.to_le_bytes()
}

fn manifest(chunks: impl IntoIterator<Item = u64>) -> Manifest {
    let chunks: Vec<Digest> =
        chunks.into_iter().map(|chunk| Digest::of(&chunk_data(chunk))).collect();
    Manifest { chunk: Bytes(100_000), size: Bytes(100_000 * chunks.len() as u64), chunks }
}

fn transfer(vm: usize, vms: usize, zones: usize, manifest: &Manifest) -> Transfer {
    let fleet = fleet(vms, zones);
    let region = "region-0".parse().expect("valid name");
    let topology = Topology::new(&vm_id(vm), fleet.vms.values(), &fleet, Some(&region));
    let limits = TransferLimits { rate: RATE, max_pulls: 4, time_limit: None };
    let owners = RendezvousOwners { origin_rate: ByteRate(2 * RATE.0) };
    Transfer::new(manifest, |_| false, topology, owners, limits, Time::default())
}

/// Returns the pulls of a VM whose peers do not answer until `end`; each pull fails with `error`.
fn pulls(transfer: &mut Transfer, end: Span, error: PullError) -> Vec<(Time, Digest, ChunkSource)> {
    let mut pulls = vec![];
    for now in (0..=end.0 / 100_000).map(|step| Time(step * 100_000)) {
        while let Some(pull) = transfer.next_pull(now) {
            pulls.push((now, pull.digest, pull.source));
            transfer.on_pull_failed(now, &pull.digest, error);
        }
    }
    pulls
}

#[rstest]
#[case(1)]
#[case(7)]
#[case(60)]
fn each_chunk_is_pulled_from_the_origin_by_one_owner(#[case] vms: usize) {
    let manifest = manifest(0..120);
    let mut pulled = vec![];
    for vm in 0..vms {
        let mut transfer = transfer(vm, vms, 1, &manifest);
        let mut now = Time::default();
        while now < Time(8_000_000) {
            while let Some(pull) = transfer.next_pull(now) {
                assert_eq!(pull.source, ChunkSource::Origin);
                pulled.push(pull.digest);
                let chunk = manifest.chunks.iter().position(|d| *d == pull.digest);
                transfer.on_chunk(now, pull.digest, &chunk_data(chunk.expect("a chunk") as u64));
            }
            now = now + Span::millis(50);
        }
    }
    let set: BTreeSet<Digest> = pulled.iter().copied().collect();
    assert_eq!(set.len(), 120, "every chunk is pulled");
    assert_eq!(pulled.len(), 120, "no chunk is pulled twice");
}

#[test]
fn other_regions_pull_from_peers_and_not_from_the_origin() {
    let manifest = manifest(0..60);
    let mut sources = BTreeSet::new();
    for vm in (0..9).filter(|vm| vm % 3 != 0) {
        let mut transfer = transfer(vm, 9, 3, &manifest);
        let pulled = pulls(&mut transfer, Span::secs(8), PullError::Later(Span::secs(30)));
        sources.extend(pulled.into_iter().map(|(.., source)| source));
    }
    assert!(!sources.is_empty());
    assert!(!sources.contains(&ChunkSource::Origin), "{sources:?}");
}

#[test]
fn chunk_is_pulled_from_the_vm_of_another_zone_that_offers_it() {
    let manifest = manifest(0..60);
    let mut transfer = transfer(1, 9, 3, &manifest);
    let holder = vm_id(6);
    let pulled = pulls(&mut transfer, Span::secs(2), PullError::Absent);
    let (_, chunk, _) = pulled
        .iter()
        .rfind(|(.., source)| *source != ChunkSource::Peer(holder.clone()))
        .expect("a pull");
    let index = manifest.chunks.iter().position(|digest| digest == chunk).expect("a chunk");
    let mut bits = vec![0; 8];
    bits[index / 8] = 1 << (index % 8);
    transfer.on_offer(Time(2_050_000), &holder, &bits);
    let mut later = vec![];
    while let Some(pull) = transfer.next_pull(Time(2_050_000)) {
        later.push((pull.digest, pull.source));
    }
    assert!(later.contains(&(*chunk, ChunkSource::Peer(holder))), "{later:?}");
}

#[test]
fn busy_source_is_replaced_by_the_next_one_of_its_zone() {
    let manifest = manifest(0..60);
    let mut transfer = transfer(1, 9, 3, &manifest);
    let pulled = pulls(&mut transfer, Span::secs(2), PullError::Later(Span::millis(50)));
    let first = pulled.first().expect("a pull").1;
    let sources: BTreeSet<&ChunkSource> = pulled
        .iter()
        .filter(|(_, digest, _)| *digest == first)
        .map(|(.., source)| source)
        .collect();
    assert!(sources.len() > 1, "{sources:?}");
}

#[test]
fn zone_with_only_silent_sources_falls_back_to_the_origin() {
    let manifest = manifest(0..30);
    let mut transfer = transfer(1, 6, 3, &manifest);
    let pulled = pulls(&mut transfer, Span::secs(600), PullError::Silent);
    assert!(pulled.iter().any(|(.., source)| *source == ChunkSource::Origin));
}

#[test]
fn retry_delay_of_the_origin_is_respected() {
    let manifest = manifest(0..30);
    let mut transfer = transfer(0, 1, 1, &manifest);
    let pause = Span::secs(20);
    let pulled = pulls(&mut transfer, Span::secs(100), PullError::Later(pause));
    let times: Vec<Time> = pulled.iter().map(|(now, ..)| *now).collect();
    assert!(times.len() >= 4, "the origin is tried again: {times:?}");
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= pause), "{times:?}");
}

#[test]
fn next_owner_takes_over_only_once_the_owner_is_silent() {
    let manifest = manifest(0..40);
    let mut transfer = transfer(0, 2, 1, &manifest);
    let owned = pulls(&mut transfer, Span::secs(4), PullError::Absent).len();
    let own: BTreeSet<Digest> = pulls(&mut transfer, Span::secs(4), PullError::Absent)
        .into_iter()
        .map(|(_, digest, _)| digest)
        .collect();
    assert!(owned > 0 && own.len() < 40);
    transfer.on_held_chunks(Time(4_000_000), &vm_id(1), &[0; 5]);
    transfer.on_query_unanswered(&vm_id(1));
    transfer.on_query_unanswered(&vm_id(1));
    let mut pulled = BTreeSet::new();
    for now in (4..60).map(|second| Time(second * 1_000_000)) {
        while let Some(pull) = transfer.next_pull(now) {
            pulled.insert(pull.digest);
            let chunk = manifest.chunks.iter().position(|d| *d == pull.digest);
            transfer.on_chunk(now, pull.digest, &chunk_data(chunk.expect("a chunk") as u64));
        }
    }
    assert_eq!(pulled.len(), 40, "the other VM's chunks are pulled too");
    assert_eq!(transfer.state(), TransferState::Complete);
}

#[test]
fn corrupt_chunks_are_dropped_and_their_sender_is_avoided() {
    let manifest = manifest(0..40);
    let mut transfer = transfer(0, 3, 1, &manifest);
    let now = Time(1_000);
    transfer.on_held_chunks(now, &vm_id(1), &[0xff; 5]);
    transfer.on_held_chunks(now, &vm_id(2), &[0xff; 5]);
    let mut corrupt = 0;
    let mut accepted = 0;
    while let Some(pull) = transfer.next_pull(now) {
        let chunk = manifest.chunks.iter().position(|d| *d == pull.digest).expect("a chunk");
        if pull.source == ChunkSource::Peer(vm_id(1)) {
            corrupt += 1;
            let outcome = transfer.on_chunk(now, pull.digest, b"wrong");
            assert_eq!(outcome, ChunkOutcome::Corrupt);
        } else {
            accepted += 1;
            transfer.on_chunk(now, pull.digest, &chunk_data(chunk as u64));
        }
    }
    assert_eq!((corrupt, accepted), (3, 40), "three corrupt chunks, then the sender is avoided");
    assert!(transfer.is_complete());
}

#[test]
fn chunk_of_another_version_is_rejected() {
    let mut transfer = transfer(0, 1, 1, &manifest(0..4));
    let other = Digest::of(&chunk_data(9));
    assert_eq!(transfer.on_chunk(Time(1), other, &chunk_data(9)), ChunkOutcome::Unwanted);
    assert_eq!(transfer.missing_count(), 4);
}

#[test]
fn chunks_shared_by_two_versions_are_not_pulled_again() {
    let fleet = fleet(1, 1);
    let (old, new) = (manifest(0..100), manifest((0..95).chain(200..205)));
    let topology = Topology::new(&vm_id(0), fleet.vms.values(), &fleet, None);
    let owners = RendezvousOwners { origin_rate: RATE };
    let limits = TransferLimits { rate: RATE, max_pulls: 4, time_limit: None };
    let held = |digest: &Digest| old.chunks.contains(digest);
    let transfer = Transfer::new(&new, held, topology, owners, limits, Time::default());
    assert_eq!(transfer.missing_count(), 5);
}

#[test]
fn joining_vm_becomes_a_source_and_known_holders_remain() {
    let manifest = manifest(0..16);
    let mut transfer = transfer(0, 2, 1, &manifest);
    transfer.on_held_chunks(Time(1), &vm_id(1), &[0xff, 0xff]);
    let larger = fleet(3, 1);
    transfer.set_topology(Topology::new(&vm_id(0), larger.vms.values(), &larger, None));
    let mut sources = BTreeSet::new();
    transfer.on_held_chunks(Time(2), &vm_id(2), &[0xff, 0xff]);
    while let Some(pull) = transfer.next_pull(Time(3)) {
        sources.insert(pull.source);
    }
    assert_eq!(sources, BTreeSet::from([1, 2].map(|vm| ChunkSource::Peer(vm_id(vm)))));
}

#[rstest]
#[case(0, None)]
#[case(3, None)]
#[case(4, Some(Span::millis(100)))]
fn uploads_are_bounded(#[case] busy: u32, #[case] pause: Option<Span>) {
    let uploads = UploadLimits { max_uploads: 4, rate: RATE };
    assert_eq!(uploads.retry_delay(busy, Bytes(100_000)), pause);
}

#[rstest]
#[case(2)]
#[case(60)]
#[case(950)]
fn queries_to_peers_are_logarithmic_in_the_zone_size(#[case] vms: usize) {
    let manifest = manifest(0..16);
    let mut transfer = transfer(0, vms, 1, &manifest);
    let mut queried = BTreeSet::new();
    for now in (0..10).map(|round| Time(round * 250_000)) {
        let peers = transfer.peers_to_query(now);
        assert!(peers.len() <= 6, "{} queries in a round", peers.len());
        queried.extend(peers);
    }
    assert!(queried.len() <= 2 * (vms.ilog2() as usize + 1) + 6);
    assert!(!queried.contains(&vm_id(0)));
}

/// The origin refuses all calls for six seconds, as during its restart; meanwhile the VM that owns
/// some chunks must not try those of the others, whose calls add to the load on the origin when it
/// returns.
#[test]
fn chunks_of_other_owners_are_left_alone_while_the_origin_refuses_calls() {
    let manifest = manifest(0..40);
    let fleet = fleet(8, 1);
    let topology = Topology::new(&vm_id(0), fleet.vms.values(), &fleet, None);
    let time_limit = Some(Span::secs(8));
    let limits = TransferLimits { rate: RATE, max_pulls: 4, time_limit };
    let owners = RendezvousOwners { origin_rate: ByteRate(20 * RATE.0) };
    let mut transfer = Transfer::new(&manifest, |_| false, topology, owners, limits, Time(0));
    let first = pulls(&mut transfer, Span::millis(700), PullError::Later(Span::millis(150)));
    let owned: BTreeSet<Digest> = first.into_iter().map(|(_, digest, _)| digest).collect();
    assert!(!owned.is_empty() && owned.len() < 20, "{} owned", owned.len());
    let mut foreign = 0;
    let mut own = 0;
    for now in (700..6_500).step_by(50).map(|ms| Time(ms * 1_000)) {
        while let Some(pull) = transfer.next_pull(now) {
            *if owned.contains(&pull.digest) { &mut own } else { &mut foreign } += 1;
            transfer.on_pull_failed(now, &pull.digest, PullError::Later(Span::millis(150)));
        }
    }
    assert!(own >= 20, "{own} calls for owned chunks");
    assert_eq!(foreign, 0, "calls for chunks of other owners");
}
