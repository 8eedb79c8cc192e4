//! Decoders neither panic on mutated inputs nor take memory beyond the size of the input.

use std::sync::Arc;

use bytes::Bytes;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use rstest::rstest;
use sequoiahold_core::{
    chart::Chart,
    config::{ConfigCall, ConfigEvent, ConfigReply, ConfigState, DeltaStep, Gossip, HeadDelta},
    declare::{Head, HeadEntry, PublishedSet, SetId, load::read_set},
    ids::{Digest, Generation},
    proto::{Call, MAX_MESSAGE_BYTES, Reply, decode, encode},
    units::Span,
    weights::Manifest,
};
const MUTATIONS_PER_INPUT: usize = 2_000;
const DECLARATIONS: [&str; 6] = [
    include_str!("../../../examples/glasmarke/clients.json"),
    include_str!("../../../examples/glasmarke/models.json"),
    include_str!("../../../examples/glasmarke/pools.json"),
    include_str!("../../../examples/glasmarke/services.json"),
    include_str!("../../../examples/glasmarke/vms.json"),
    include_str!("../../../examples/glasmarke/zones.json"),
];

/// Changes, truncates, removes or repeats bytes in one to four places.
fn mutate(rng: &mut SmallRng, valid: &[u8]) -> Vec<u8> {
    let mut data = valid.to_vec();
    for _ in 0..rng.random_range(1..=4) {
        let at = rng.random_range(0..=data.len());
        let end = rng.random_range(at..=data.len().min(at + 16));
        match rng.random_range(0..5) {
            0 if at < data.len() => data[at] ^= 1 << rng.random_range(0..8),
            1 if at < data.len() => data[at] = [0, 0x7f, 0x80, 0xff][rng.random_range(0..4)],
            2 => data.truncate(at),
            3 => drop(data.drain(at..end)),
            _ => {
                let part = data[at..end].to_vec();
                data.splice(at..at, part);
            }
        }
    }
    data
}

fn published_set() -> PublishedSet {
    let part = Bytes::from_static(b"[]");
    let digest = Digest::of(&part);
    let entry = HeadEntry { name: "vm-a".to_owned(), digest };
    let head = Head { generation: Generation(7), parts: vec![entry] };
    PublishedSet { head, parts: [(digest, part)].into() }
}

fn gossip() -> Box<Gossip> {
    Box::new(Gossip {
        vm: "e1".parse().expect("valid name"),
        zone: "z1".parse().expect("valid name"),
        addr: ([10, 0, 0, 1], 7400).into(),
        held: Some(published_set().head.id()),
        age: Some(Span::secs(1)),
    })
}

fn calls() -> Vec<Call> {
    let digest = Digest::of(b"part");
    let config = [
        ConfigCall::Gossip(gossip()),
        ConfigCall::Set,
        ConfigCall::Head(digest),
        ConfigCall::Part(digest),
    ];
    config
        .into_iter()
        .map(Call::Config)
        .chain([Call::Chunk(digest), Call::HeldChunks(digest)])
        .collect()
}

fn replies() -> Vec<Reply> {
    let set = published_set();
    let delta = HeadDelta::between(Some(&set.head), &set.head);
    let config = [
        ConfigReply::Gossip(gossip()),
        ConfigReply::Set(Some(Arc::new(set))),
        ConfigReply::Head(Some(delta)),
        ConfigReply::Part(Some(Bytes::from_static(b"part"))),
    ];
    let others = [
        Reply::Part(3, Bytes::from_static(b"answer")),
        Reply::End(4),
        Reply::Chunk(Some(Bytes::from_static(b"chunk"))),
        Reply::HeldChunks(vec![255; 12]),
    ];
    config.into_iter().map(Reply::Config).chain(others).collect()
}

#[rstest]
#[case(1)]
#[case(2)]
fn mutated_messages_are_decoded_or_rejected(#[case] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let valid: Vec<Vec<u8>> =
        calls().iter().map(encode).chain(replies().iter().map(encode)).collect();
    for data in valid {
        for _ in 0..MUTATIONS_PER_INPUT {
            let data = mutate(&mut rng, &data);
            // A decoded message is at most a small multiple of the size of its input.
            let size = |len: usize| len <= data.len() * 4 + 64;
            assert!(decode::<Call>(&data).map_or(true, |call| size(encode(&call).len())));
            assert!(decode::<Reply>(&data).map_or(true, |reply| size(encode(&reply).len())));
        }
    }
}

#[test]
fn valid_messages_round_trip() {
    for call in calls() {
        assert_eq!(decode::<Call>(&encode(&call)), Ok(call));
    }
    for reply in replies() {
        assert_eq!(decode::<Reply>(&encode(&reply)), Ok(reply));
    }
}

#[test]
fn length_beyond_the_input_is_rejected() {
    for length in [u64::from(u32::MAX), u64::MAX, MAX_MESSAGE_BYTES as u64 + 1] {
        let mut data = encode(&Reply::HeldChunks(vec![]));
        data.pop();
        data.extend(encode(&length));
        assert!(decode::<Reply>(&data).is_err());
    }
}

#[rstest]
#[case(1)]
#[case(2)]
fn mutated_declarations_are_parsed_or_rejected(#[case] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    for text in DECLARATIONS {
        for _ in 0..MUTATIONS_PER_INPUT / 10 {
            let data = mutate(&mut rng, text.as_bytes());
            let text = String::from_utf8_lossy(&data);
            if let Err(errors) = read_set([("set.json", text.as_ref())]) {
                assert!(!errors.is_empty());
            }
        }
    }
    assert!(read_set([("deep.json", "[".repeat(100_000).as_str())]).is_err());
}

#[test]
fn mutated_charts_manifests_and_heads_do_not_panic() {
    let mut rng = SmallRng::seed_from_u64(3);
    let chart = include_bytes!("../charts/configuration.json");
    let manifest = Manifest::from_data(&[7; 1_000], sequoiahold_core::units::Bytes(100)).to_json();
    let head = serde_json::to_vec(&published_set().head).expect("JSON");
    for _ in 0..MUTATIONS_PER_INPUT {
        let text = mutate(&mut rng, chart);
        let text = String::from_utf8_lossy(&text);
        let _ = Chart::<ConfigState, ConfigEvent>::parse(&text);
        let text = mutate(&mut rng, &manifest);
        let _ = Manifest::parse(&text, Digest::of(&text));
        let _ = serde_json::from_slice::<Head>(&mutate(&mut rng, &head));
    }
}

#[test]
fn head_delta_that_repeats_parts_is_rejected() {
    let set = published_set();
    let base = set.head.id().digest;
    let steps = vec![DeltaStep::Keep(0, 1); 30_000];
    let delta = HeadDelta { base: Some(base), generation: Generation(8), steps };
    assert_eq!(delta.apply(Some(&set.head)), None);
    let steps = vec![DeltaStep::Keep(u32::MAX, u32::MAX)];
    let delta = HeadDelta { base: Some(base), generation: Generation(8), steps };
    assert_eq!(delta.apply(Some(&set.head)), None);
    let other = SetId { digest: Digest::of(b"other"), ..set.head.id() };
    let delta = HeadDelta { base: Some(other.digest), generation: Generation(8), steps: vec![] };
    assert_eq!(delta.apply(Some(&set.head)), None, "the delta is relative to another head");
}
