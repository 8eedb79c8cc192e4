//! State charts: committed charts are valid, and invalid charts are rejected with the reason.

use std::{fs, path::PathBuf};

use rstest::rstest;
use sequoiahold_core::{
    chart::{Chart, ChartError},
    endpoint::{LifecycleEvent, LifecycleState},
    entry::{RequestEvent, RequestState},
};

type RequestChart = Chart<RequestState, RequestEvent>;

#[rstest]
#[case::request("request.json")]
#[case::endpoint("endpoint.json")]
fn committed_charts_are_valid(#[case] name: &str) {
    let file = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("charts").join(name);
    let text = fs::read_to_string(file).unwrap();
    let request = RequestChart::parse(&text).is_ok();
    let endpoint = Chart::<LifecycleState, LifecycleEvent>::parse(&text).is_ok();
    assert!(request ^ endpoint, "the chart must match exactly one state machine");
}

#[rstest]
#[case::unknown_state(r#"{"name":"x","initial":"arrived","states":{"arrived":{"send":"gone"}}}"#)]
#[case::unknown_event(
    r#"{"name":"x","initial":"arrived","states":{"arrived":{"jump":"arrived"}}}"#
)]
#[case::unknown_key(r#"{"name":"x","initial":"arrived","states":{"arrived":{}},"more":1}"#)]
#[case::no_initial(r#"{"name":"x","states":{"arrived":{}}}"#)]
fn unknown_names_are_rejected(#[case] text: &str) {
    assert!(matches!(RequestChart::parse(text), Err(ChartError::Parse(_))));
}

#[rstest]
fn unreachable_state_is_rejected() {
    let text = r#"{"name":"x","initial":"arrived","states":{"arrived":{},"offered":{}}}"#;
    let error = RequestChart::parse(text).unwrap_err();
    assert_eq!(error, ChartError::Unreachable("Offered".to_owned()));
}

#[rstest]
fn transition_to_undeclared_state_is_rejected() {
    let text = r#"{"name":"x","initial":"arrived","states":{"arrived":{"send":"offered"}}}"#;
    let error = RequestChart::parse(text).unwrap_err();
    assert_eq!(error, ChartError::Missing("Offered".to_owned()));
}
