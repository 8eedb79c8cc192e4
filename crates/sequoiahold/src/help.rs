//! Help texts of the commands.

const PROCESS_OPTIONS: &str = "\
  --config FILE     the settings file in JSON; docs/CONFIGURATION.md lists all keys
  --print-config    print the settings, defaults included, and exit

SIGTERM stops the process gracefully. Exit codes: 0 stopped, 2 failed.
";

const CONFIG_NOTE: &str = "
Without --config, the environment variable SEQUOIAHOLD_CONFIG must name the settings file.
";

const CHECK: &str = "\
Usage: sequoiahold check DIR

Validates all .json files below DIR as one set of declarations. Prints each fault on standard error
with its file and key. Exit codes: 0 valid, 1 invalid, 2 the files could not be read.
";

const RENDER: &str = "\
Usage: sequoiahold render DIR --out OUT [--generation N] [--replace]

Writes the values to publish: OUT/parts/DIGEST, then OUT/head.json.
  --generation N    the generation; by default, that of OUT/head.json plus one
  --replace         overwrite the head of another fleet

Exit codes: 0 written, 1 the set is invalid, 2 the values could not be written.
";

const DIFF: &str = "\
Usage: sequoiahold diff OLD NEW [--manifests DIR] [--json]

Shows the effects of publishing the set in NEW instead of OLD: version changes, bytes to download,
affected zones, endpoints that reload, changed accounts.
  --manifests DIR   directory of manifests, to count the chunks that versions share
  --json            print one JSON object

Exit codes: 0 shown, 1 a set is invalid, 2 the files could not be read.
";

const STATUS: &str = "\
Usage: sequoiahold status ADDR [--json]

Shows the status of the process with the admin address ADDR, alarms first.
Exit codes: 0 no alarms, 1 alarms, 2 the process did not answer.
";

const EXPLAIN: &str = "\
Usage: sequoiahold explain ID [FILE...]

Shows how each process handled the request ID and what it knew at that time, from the JSON logs
of gateways in files or on standard input.
Exit codes: 0 shown, 1 no log line mentions the request, 2 a file could not be read.
";

/// Returns the help text of a command, `None` for an unknown command.
pub fn text(command: &str) -> Option<String> {
    match command {
        "entry" | "endpoint" => {
            Some(format!("Usage: sequoiahold {command} --config FILE\n\n{PROCESS_OPTIONS}"))
        }
        "gateway" | "loader" => Some(format!(
            "Usage: sequoiahold {command} [--config FILE]\n\n{PROCESS_OPTIONS}{CONFIG_NOTE}"
        )),
        "check" => Some(CHECK.to_owned()),
        "render" => Some(RENDER.to_owned()),
        "diff" => Some(DIFF.to_owned()),
        "status" => Some(STATUS.to_owned()),
        "explain" => Some(EXPLAIN.to_owned()),
        _ => None,
    }
}
