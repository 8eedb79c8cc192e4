//! The commands on declarations: exit codes, messages and generations.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use rstest::rstest;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sequoiahold")).args(args).output().expect("the program runs")
}

fn code(args: &[&str]) -> i32 {
    run(args).status.code().expect("an exit code")
}

fn example(name: &str) -> String {
    format!("{EXAMPLES}/{name}")
}

/// Returns an empty directory for one test.
fn scratch(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).expect("a scratch directory");
    dir
}

/// Copies an example and replaces text in one of its files.
fn changed(name: &str, example: &str, file: &str, from: &str, to: &str) -> PathBuf {
    let dir = scratch(name);
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
fn the_examples_are_sound(#[case] name: &str) {
    assert_eq!(code(&["check", &example(name)]), 0);
}

#[test]
fn an_unsound_set_is_told_by_file_and_key() {
    let dir = changed("unsound", "glasmarke", "pools.json", "\"slots\": 8", "\"slots\": 0");
    let output = run(&["check", dir.to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.starts_with("pools.json: [0].cold: 2 is not between 1 and 1"), "{text}");
    assert!(text.contains("pools.json: [0].slots: 0 is not between 1 and 4096"), "{text}");
}

#[test]
fn a_missing_directory_cannot_be_read() {
    assert_eq!(code(&["check", "no-such-directory"]), 2);
}

#[test]
fn generations_only_rise() {
    let out = scratch("rising");
    let (set, out) = (example("glasmarke"), out.to_str().expect("a path").to_owned());
    let render = |more: &[&str]| code(&[&["render", &set, "--out", &out], more].concat());
    assert_eq!(render(&[]), 0);
    assert_eq!(render(&["--generation", "1"]), 2, "a generation is not used twice");
    assert_eq!(render(&["--generation", "7"]), 0);
    assert_eq!(render(&["--generation", "6"]), 2, "a generation is not lowered");
    assert_eq!(render(&[]), 0);
    let head = fs::read_to_string(Path::new(&out).join("head.json")).expect("the head");
    assert!(head.contains("\"generation\": 8"), "{head}");
}

#[test]
fn values_of_another_fleet_are_kept() {
    let out = scratch("other");
    let out = out.to_str().expect("a path").to_owned();
    assert_eq!(code(&["render", &example("glasmarke"), "--out", &out]), 0);
    assert_eq!(code(&["render", &example("tannverket"), "--out", &out]), 2);
    assert_eq!(code(&["render", &example("tannverket"), "--out", &out, "--replace"]), 0);
}

#[test]
fn a_head_that_cannot_be_read_is_not_replaced() {
    let out = scratch("broken");
    fs::write(out.join("head.json"), "{").expect("a broken head");
    let output = run(&["render", &example("glasmarke"), "--out", out.to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(2), "the last generation is not known");
}
