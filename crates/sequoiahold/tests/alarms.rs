//! Alarms raised by the status of a process.

use std::collections::BTreeMap;

use rstest::rstest;
use sequoiahold::{
    alarm::Alarm,
    status::{EndpointStatus, Status},
};
use sequoiahold_core::ids::Generation;

fn healthy(role: &str) -> Status {
    let endpoint = EndpointStatus { open: true, ..EndpointStatus::default() };
    Status {
        role: role.to_owned(),
        generation: Generation(3),
        open: true,
        endpoints: BTreeMap::from([("vm-1".parse().unwrap(), endpoint)]),
        ..Status::default()
    }
}

fn with_counter(name: &str) -> Status {
    Status { counters: BTreeMap::from([(name.to_owned(), 1)]), ..healthy("endpoint") }
}

#[rstest]
#[case::healthy_entry(healthy("entry"), vec![])]
#[case::healthy_endpoint(healthy("endpoint"), vec![])]
#[case::corrupt(with_counter("chunks.corrupt"), vec![Alarm::CorruptChunks])]
#[case::conflict(with_counter("config.conflicts"), vec![Alarm::GenerationConflict])]
#[case::keys(with_counter("keys.refused"), vec![Alarm::KeysRefused])]
#[case::refused(with_counter("config.refused"), vec![Alarm::SetRefused])]
#[case::not_open(Status { open: false, ..healthy("endpoint") }, vec![Alarm::NotOpen])]
#[case::empty(Status { endpoints: BTreeMap::new(), ..healthy("entry") }, vec![Alarm::NoEndpoint])]
#[case::superseded(Status { superseded: true, ..healthy("endpoint") }, vec![Alarm::Superseded])]
#[case::unconfigured(
    Status { generation: Generation(0), open: false, ..healthy("endpoint") },
    vec![Alarm::NotOpen, Alarm::Unconfigured]
)]
fn a_status_raises_its_alarms(#[case] status: Status, #[case] alarms: Vec<Alarm>) {
    assert_eq!(Alarm::from_status(&status), alarms);
}
