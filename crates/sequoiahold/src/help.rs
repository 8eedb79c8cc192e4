//! The help texts of the commands.

const PROCESS_OPTIONS: &str = "\
  --config FILE     the settings, JSON; docs/CONFIGURATION.md lists every key
  --print-config    print the settings in force, defaults included, and exit

SIGTERM stops the process gracefully. Exit codes: 0 stopped, 2 it could not start.
";

const CONFIG_VARIABLE_NOTE: &str = "
Without --config, the environment variable SEQUOIAHOLD_CONFIG names the settings.
";

const CHECK: &str = "\
Usage: sequoiahold check DIR

Checks all .json files below DIR as one set of declarations. Each fault is printed on standard
error with its file and key. Exit codes: 0 sound, 1 unsound, 2 the files could not be read.
";

const RENDER: &str = "\
Usage: sequoiahold render DIR --out OUT [--generation N] [--replace]

Writes the values to publish: OUT/parts/DIGEST, then OUT/head.json.
  --generation N    the generation; without it, the one of OUT/head.json plus one
  --replace         write over the head of another fleet

Exit codes: 0 written, 1 the set is unsound, 2 it could not be written.
";

const DIFF: &str = "\
Usage: sequoiahold diff OLD NEW [--manifests DIR] [--json]

Shows what publishing the set in NEW instead of OLD would change: versions to move, bytes to draw,
zones affected, endpoints that load again, accounts changed.
  --manifests DIR   manifests by digest, to count the chunks that versions share
  --json            one JSON object

Exit codes: 0 shown, 1 a set is unsound, 2 the files could not be read.
";

const STATUS: &str = "\
Usage: sequoiahold status ADDR [--json]

Shows what the process with this admin address holds and does, alarms first.
Exit codes: 0 well, 1 there are alarms, 2 the process gave no answer.
";

const EXPLAIN: &str = "\
Usage: sequoiahold explain ID [FILE...]

Shows what each process decided about the request with this id, and what it knew then, from
JSON logs of gateways in files or on standard input.
Exit codes: 0 shown, 1 no line tells of the request, 2 a file could not be read.
";

/// Returns the help text of a command, `None` where there is no such command.
pub fn text(command: &str) -> Option<String> {
    match command {
        "entry" | "endpoint" => {
            Some(format!("Usage: sequoiahold {command} --config FILE\n\n{PROCESS_OPTIONS}"))
        }
        "gateway" | "loader" => Some(format!(
            "Usage: sequoiahold {command} [--config FILE]\n\n{PROCESS_OPTIONS}{CONFIG_VARIABLE_NOTE}"
        )),
        "check" => Some(CHECK.to_owned()),
        "render" => Some(RENDER.to_owned()),
        "diff" => Some(DIFF.to_owned()),
        "status" => Some(STATUS.to_owned()),
        "explain" => Some(EXPLAIN.to_owned()),
        _ => None,
    }
}
