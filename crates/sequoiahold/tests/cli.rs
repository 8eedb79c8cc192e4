//! Command line: help texts, exit codes and error messages.

use std::process::{Command, Output};

use rstest::rstest;

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sequoiahold")).args(args).output().unwrap()
}

#[rstest]
#[case::entry("entry", "--config FILE")]
#[case::endpoint("endpoint", "--config FILE")]
#[case::gateway("gateway", "SEQUOIAHOLD_CONFIG")]
#[case::loader("loader", "[--config FILE]")]
#[case::check("check", "check DIR")]
#[case::render("render", "--generation")]
#[case::diff("diff", "--manifests")]
#[case::status("status", "status ADDR")]
#[case::explain("explain", "explain ID")]
fn each_command_has_a_help_text(#[case] command: &str, #[case] part: &str) {
    let output = run(&[command, "--help"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(text.contains(part) && text.contains("Exit codes"), "{text}");
}

#[rstest]
#[case::unknown_command(&["publish"], "unknown command")]
#[case::unknown_argument(&["check", "examples", "--fast"], "unexpected argument")]
#[case::no_directory(&["check"], "directory of a set")]
#[case::no_file(&["entry", "--config", "no/such/file"], "no/such/file")]
#[case::no_request(&["explain"], "id of a request")]
#[case::no_log(&["explain", "1f", "no/such/log"], "no/such/log")]
#[case::no_option(&["explain", "1f", "--fast"], "unexpected argument")]
#[case::no_process(&["status", "127.0.0.1:1"], "no answer")]
fn failed_commands_exit_with_2(#[case] args: &[&str], #[case] part: &str) {
    let output = run(args);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(part), "{text}");
}

#[rstest]
fn the_version_is_printed() {
    let output = run(&["--version"]);
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8(output.stdout).unwrap().starts_with("sequoiahold "));
}
