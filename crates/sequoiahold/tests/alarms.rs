//! The status of a process raises the alarms that its operators must see.

use std::collections::BTreeMap;

use rstest::rstest;
use sequoiahold::{
    alarm::Alarm,
    status::{EndpointStatus, Status},
};
use sequoiahold_core::ids::Generation;

fn well(role: &str) -> Status {
    let known = EndpointStatus { open: true, ..EndpointStatus::default() };
    Status {
        role: role.to_owned(),
        generation: Generation(3),
        open: true,
        endpoints: BTreeMap::from([("vm-1".parse().unwrap(), known)]),
        ..Status::default()
    }
}

fn counted(name: &str) -> Status {
    Status { counters: BTreeMap::from([(name.to_owned(), 1)]), ..well("endpoint") }
}

#[rstest]
#[case::well_entry(well("entry"), vec![])]
#[case::well_endpoint(well("endpoint"), vec![])]
#[case::corrupt(counted("chunks.corrupt"), vec![Alarm::CorruptChunks])]
#[case::conflict(counted("config.conflicts"), vec![Alarm::GenerationConflict])]
#[case::keys(counted("keys.refused"), vec![Alarm::KeysRefused])]
#[case::refused(counted("config.refused"), vec![Alarm::SetRefused])]
#[case::closed(Status { open: false, ..well("endpoint") }, vec![Alarm::NotOpen])]
#[case::alone(Status { endpoints: BTreeMap::new(), ..well("entry") }, vec![Alarm::NoEndpoint])]
#[case::superseded(Status { superseded: true, ..well("endpoint") }, vec![Alarm::Superseded])]
#[case::new(
    Status { generation: Generation(0), open: false, ..well("endpoint") },
    vec![Alarm::NotOpen, Alarm::Unconfigured]
)]
fn a_status_raises_its_alarms(#[case] status: Status, #[case] alarms: Vec<Alarm>) {
    assert_eq!(Alarm::from_status(&status), alarms);
}
