//! Histograms are bounded in number and separate only the accounts with the largest weights.

use rstest::rstest;
use sequoiahold_core::{
    declare::{Client, Fleet, Object},
    histogram::{Histograms, Measure},
    ids::{ClientId, Digest},
    units::Span,
};

fn fleet(accounts: u32) -> Fleet {
    Fleet::new((0..accounts).map(|number| {
        Object::Client(Client {
            name: account_id(number),
            key: Digest::of(&number.to_le_bytes()),
            weight: number + 1,
            services: vec![],
        })
    }))
}

fn account_id(number: u32) -> ClientId {
    format!("account-{number}").parse().expect("valid name")
}

#[rstest]
#[case(3, 3)]
#[case(200, 21)]
fn accounts_beyond_the_largest_share_one_label(#[case] accounts: u32, #[case] labels: usize) {
    let mut histograms = Histograms::default();
    histograms.track_accounts(&fleet(accounts));
    for number in 0..accounts {
        histograms.record(&account_id(number), Measure::Whole, Span::millis(10));
    }
    let summaries = histograms.summaries();
    assert_eq!(summaries.len(), labels);
    let count: u64 = summaries.values().map(|measures| measures[&Measure::Whole].count).sum();
    assert_eq!(count, u64::from(accounts));
    assert_eq!(histograms.label(&account_id(accounts - 1)), account_id(accounts - 1).as_str());
}

#[rstest]
fn percentiles_are_accurate_to_two_digits() {
    let mut histograms = Histograms::default();
    for millis in 1..=100 {
        histograms.record(&account_id(1), Measure::First, Span::millis(millis));
    }
    let first = &histograms.summaries()["rest"][&Measure::First];
    assert!((first.p50.0 as f64 / 50_000.0 - 1.0).abs() < 0.02);
    assert!((first.p99.0 as f64 / 99_000.0 - 1.0).abs() < 0.02);
}
