//! Command line of the program.

use std::{
    ffi::OsString,
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::{Context as _, bail};
use pico_args::Arguments;
use sequoiahold_core::ids::Generation;
use sequoiahold_platform::HostedCodec;
use serde::{Serialize, de::DeserializeOwned};

use crate::{command, endpoint, entry, gateway, help, loader, logging, settings};

/// Exit code of a command that found an invalid set, a process with alarms or no matching request.
pub const EXIT_PROBLEM_FOUND: u8 = 1;
/// Exit code of a command that failed.
pub const EXIT_FAILED: u8 = 2;

/// Environment variable with the path of the settings file, used if `--config` is absent.
const CONFIG_VARIABLE: &str = "SEQUOIAHOLD_CONFIG";

const HELP: &str = "\
Weight distribution and request routing for bursts.

Usage: sequoiahold COMMAND [OPTIONS]

Commands:
  entry --config FILE       accept requests and route them to endpoints
  endpoint --config FILE    serve one engine or plain service
  gateway [--config FILE]   accept requests and send them to the endpoints of a platform
  loader [--config FILE]    load weights into the engine on the same VM
  check DIR                 validate a set of declarations
  render DIR --out DIR [--generation N] [--replace]
                            convert a valid set into the values to publish
  diff OLD NEW [--manifests DIR] [--json]
                            show the effects of publishing the set in NEW
  status ADDR [--json]      show the status of a process
  explain ID [FILE...]      show how a request was handled, from logs

Options:
  --print-config            with a process: print its settings, defaults included, and exit
  -h, --help                show this help or the help of a command
  -V, --version             show the version

Exit codes: 0 success, 1 invalid set, process with alarms or request not found, 2 failure.
";

/// Runs the command given on the command line and returns the exit code.
pub fn run() -> ExitCode {
    match dispatch(Arguments::from_env()) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("sequoiahold: {error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn dispatch(mut args: Arguments) -> anyhow::Result<u8> {
    if args.contains(["-V", "--version"]) {
        println!("sequoiahold {}", env!("CARGO_PKG_VERSION"));
        return Ok(0);
    }
    let command = args.subcommand()?;
    if command.is_none() || args.contains(["-h", "--help"]) {
        print!("{}", command.and_then(|name| help::text(&name)).unwrap_or_else(|| HELP.to_owned()));
        return Ok(0);
    }
    match command.as_deref() {
        Some("entry") => {
            let file: PathBuf = args.value_from_os_str("--config", os_path)?;
            run_process(args, &file, |settings: &settings::Entry| &settings.log, entry::run)
        }
        Some("endpoint") => {
            let file: PathBuf = args.value_from_os_str("--config", os_path)?;
            run_process(args, &file, |settings: &settings::Endpoint| &settings.log, endpoint::run)
        }
        Some("gateway") => {
            let file = config_file(&mut args)?;
            let run = |settings| gateway::run(HostedCodec, settings);
            run_process(args, &file, |settings: &settings::Gateway| &settings.log, run)
        }
        Some("loader") => {
            let file = config_file(&mut args)?;
            let run = |settings| loader::run(HostedCodec, settings);
            run_process(args, &file, |settings: &settings::Loader| &settings.log, run)
        }
        Some("check") => {
            let dir = directory_arg(&mut args)?;
            reject_rest(args)?;
            command::check::run(&dir)
        }
        Some("render") => {
            let out: PathBuf = args.value_from_os_str("--out", os_path)?;
            let generation: Option<Generation> = args.opt_value_from_str("--generation")?;
            let replace = args.contains("--replace");
            let dir = directory_arg(&mut args)?;
            reject_rest(args)?;
            command::render::run(&command::render::Options { dir, out, generation, replace })
        }
        Some("diff") => {
            let json = args.contains("--json");
            let manifests: Option<PathBuf> = args.opt_value_from_os_str("--manifests", os_path)?;
            let (old, new) = (directory_arg(&mut args)?, directory_arg(&mut args)?);
            reject_rest(args)?;
            command::diff::run(&command::diff::Options { old, new, manifests, json })
        }
        Some("status") => {
            let json = args.contains("--json");
            let addr = args.free_from_str().context("status needs the address of a process")?;
            reject_rest(args)?;
            command::status::run(addr, json)
        }
        Some("explain") => run_explain(args),
        Some(other) => bail!("unknown command {other:?}; try --help"),
        None => unreachable!("handled above"),
    }
}

fn run_explain(mut args: Arguments) -> anyhow::Result<u8> {
    let id: String = args.free_from_str().context("explain needs the id of a request")?;
    let files: Vec<PathBuf> = args.finish().into_iter().map(PathBuf::from).collect();
    if let Some(option) = files.iter().find(|file| file.to_string_lossy().starts_with('-')) {
        bail!("unexpected argument {}", option.display());
    }
    command::explain::run(&id, &files)
}

/// Runs a process with the settings in `file` until it is stopped, or prints the settings.
fn run_process<T, F>(
    mut args: Arguments,
    file: &Path,
    log: fn(&T) -> &settings::Log,
    run: impl FnOnce(T) -> F,
) -> anyhow::Result<u8>
where
    T: settings::Validate + DeserializeOwned + Serialize,
    F: Future<Output = anyhow::Result<()>>,
{
    let print_config = args.contains("--print-config");
    reject_rest(args)?;
    let settings: T = settings::load(file)?;
    if print_config {
        println!("{}", serde_json::to_string_pretty(&settings)?);
        return Ok(0);
    }
    logging::start(log(&settings))?;
    logging::abort_on_panic();
    actix_rt::System::new().block_on(run(settings))?;
    Ok(0)
}

/// Returns the settings file from the command line, or else from the environment.
fn config_file(args: &mut Arguments) -> anyhow::Result<PathBuf> {
    let file: Option<PathBuf> = args.opt_value_from_os_str("--config", os_path)?;
    let from_env = || std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from);
    file.or_else(from_env).with_context(|| format!("needs --config FILE or {CONFIG_VARIABLE}"))
}

fn directory_arg(args: &mut Arguments) -> anyhow::Result<PathBuf> {
    args.free_from_os_str(os_path).context("the command needs the directory of a set")
}

fn os_path(text: &std::ffi::OsStr) -> Result<PathBuf, std::convert::Infallible> {
    Ok(text.into())
}

fn reject_rest(args: Arguments) -> anyhow::Result<()> {
    let rest: Vec<OsString> = args.finish();
    match rest.first() {
        Some(first) => bail!("unexpected argument {first:?}; try --help"),
        None => Ok(()),
    }
}
