//! Commands on declarations: exit codes, messages and generations.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use rstest::rstest;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sequoiahold")).args(args).output().expect("program starts")
}

fn exit_code(args: &[&str]) -> i32 {
    run(args).status.code().expect("an exit code")
}

fn example_path(name: &str) -> String {
    format!("{EXAMPLES}/{name}")
}

/// Creates an empty directory for a test.
fn scratch_dir(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).expect("a scratch directory");
    dir
}

/// Copies an example into a scratch directory and replaces the first match in one of its files.
fn modified_example(name: &str, example: &str, file: &str, from: &str, to: &str) -> PathBuf {
    let dir = scratch_dir(name);
    for entry in fs::read_dir(Path::new(EXAMPLES).join(example)).expect("the example") {
        let path = entry.expect("a file").path();
        let target = dir.join(path.file_name().expect("a name"));
        let text = fs::read_to_string(&path).expect("the file's text");
        let text = if path.ends_with(file) { text.replacen(from, to, 1) } else { text };
        fs::write(target, text).expect("the copy");
    }
    dir
}

#[rstest]
#[case("glasmarke")]
#[case("tannverket")]
fn the_examples_are_valid(#[case] name: &str) {
    assert_eq!(exit_code(&["check", &example_path(name)]), 0);
}

#[test]
fn faults_are_reported_with_file_and_key() {
    let dir =
        modified_example("unsound", "glasmarke", "pools.json", "\"slots\": 8", "\"slots\": 0");
    let output = run(&["check", dir.to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.starts_with("pools.json: [0].cold: 2 is not between 1 and 1"), "{text}");
    assert!(text.contains("pools.json: [0].slots: 0 is not between 1 and 4096"), "{text}");
}

#[test]
fn a_missing_directory_cannot_be_read() {
    assert_eq!(exit_code(&["check", "no-such-directory"]), 2);
}

#[test]
fn generations_only_rise() {
    let out = scratch_dir("rising");
    let (set, out) = (example_path("glasmarke"), out.to_str().expect("a path").to_owned());
    let render = |more: &[&str]| exit_code(&[&["render", &set, "--out", &out], more].concat());
    assert_eq!(render(&[]), 0);
    assert_eq!(render(&["--generation", "1"]), 2, "a generation cannot be reused");
    assert_eq!(render(&["--generation", "7"]), 0);
    assert_eq!(render(&["--generation", "6"]), 2, "a generation cannot decrease");
    assert_eq!(render(&[]), 0);
    let head = fs::read_to_string(Path::new(&out).join("head.json")).expect("the head");
    assert!(head.contains("\"generation\": 8"), "{head}");
}

#[test]
fn values_of_another_fleet_are_kept() {
    let out = scratch_dir("other");
    let out = out.to_str().expect("a path").to_owned();
    assert_eq!(exit_code(&["render", &example_path("glasmarke"), "--out", &out]), 0);
    assert_eq!(exit_code(&["render", &example_path("tannverket"), "--out", &out]), 2);
    assert_eq!(exit_code(&["render", &example_path("tannverket"), "--out", &out, "--replace"]), 0);
}

#[test]
fn a_head_that_cannot_be_read_is_not_replaced() {
    let out = scratch_dir("broken");
    fs::write(out.join("head.json"), "{").expect("a broken head");
    let output =
        run(&["render", &example_path("glasmarke"), "--out", out.to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(2), "the last generation is unknown");
}

#[test]
fn a_diff_lists_the_effects_of_publishing() {
    let text = ("\"version\": \"assist-llm-1\"", "\"version\": \"assist-llm-2\"");
    let new = modified_example("moved", "glasmarke", "models.json", text.0, text.1);
    let new = new.to_str().expect("a path");
    let output = run(&["diff", &example_path("glasmarke"), new, "--json"]);
    assert_eq!(output.status.code(), Some(0));
    let diff: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(diff["moves"][0]["to"], "assist-llm-2");
    assert_eq!(diff["loads"].as_array().expect("VMs").len(), 15);
    assert_eq!(diff["draws"]["ch-ost-a"]["least"], "8MB");
    assert_eq!(diff["draws"]["ch-ost-a"]["drawn"], "40MB");
    assert_eq!(diff["clients"].as_array().expect("accounts").len(), 0);
    let same = run(&["diff", &example_path("glasmarke"), &example_path("glasmarke")]);
    assert_eq!(String::from_utf8_lossy(&same.stdout), "no change\n");
}
