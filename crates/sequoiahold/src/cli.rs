//! The command line.

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

/// Exit code of a command that found a set unsound or a process unwell.
pub const EXIT_UNSOUND: u8 = 1;
/// Exit code of a command that could not do its work.
pub const EXIT_FAILED: u8 = 2;

/// Environment variable that names the settings file where the command line does not.
const CONFIG_VARIABLE: &str = "SEQUOIAHOLD_CONFIG";

const HELP: &str = "\
Weight distribution and request routing for bursts.

Usage: sequoiahold COMMAND [OPTIONS]

Commands:
  entry --config FILE       take callers and route to endpoints
  endpoint --config FILE    stand before one engine or plain service
  gateway [--config FILE]   take callers and send straight to the endpoints of a platform
  loader [--config FILE]    bring weights to the engine on the same VM
  check DIR                 check a set of declarations
  render DIR --out DIR [--generation N] [--replace]
                            turn a sound set into the values to publish
  diff OLD NEW [--manifests DIR] [--json]
                            show what publishing the set in NEW would change
  status ADDR [--json]      show what a process holds and does
  explain ID [FILE...]      show what was decided about a request, from logs

Options:
  --print-config            with entry and endpoint: print the settings in force and exit
  -h, --help                show this help, or that of a command
  -V, --version             show the version

Exit codes: 0 done, 1 the set is unsound or the process unwell, 2 the command could not do its work.
";

/// Runs the program and returns its exit code.
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
        print!("{}", command.and_then(|name| help::of(&name)).unwrap_or_else(|| HELP.to_owned()));
        return Ok(0);
    }
    match command.as_deref() {
        Some("entry") => {
            let file: PathBuf = args.value_from_os_str("--config", path)?;
            run_process(args, &file, |settings: &settings::Entry| &settings.log, entry::run)
        }
        Some("endpoint") => {
            let file: PathBuf = args.value_from_os_str("--config", path)?;
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
            let dir = directory(&mut args)?;
            finish(args)?;
            command::check::run(&dir)
        }
        Some("render") => {
            let out: PathBuf = args.value_from_os_str("--out", path)?;
            let generation: Option<Generation> = args.opt_value_from_str("--generation")?;
            let replace = args.contains("--replace");
            let dir = directory(&mut args)?;
            finish(args)?;
            command::render::run(&command::render::Options { dir, out, generation, replace })
        }
        Some("diff") => {
            let json = args.contains("--json");
            let manifests: Option<PathBuf> = args.opt_value_from_os_str("--manifests", path)?;
            let (old, new) = (directory(&mut args)?, directory(&mut args)?);
            finish(args)?;
            command::diff::run(&command::diff::Options { old, new, manifests, json })
        }
        Some("status") => {
            let json = args.contains("--json");
            let addr = args.free_from_str().context("status needs the address of a process")?;
            finish(args)?;
            command::status::run(addr, json)
        }
        Some("explain") => explain(args),
        Some(other) => bail!("unknown command {other:?}; try --help"),
        None => unreachable!("handled above"),
    }
}

fn explain(mut args: Arguments) -> anyhow::Result<u8> {
    let id: String = args.free_from_str().context("explain needs the id of a request")?;
    let files: Vec<PathBuf> = args.finish().into_iter().map(PathBuf::from).collect();
    if let Some(option) = files.iter().find(|file| file.to_string_lossy().starts_with('-')) {
        bail!("unexpected argument {}", option.display());
    }
    command::explain::run(&id, &files)
}

/// Runs a process with the settings in a file until it is told to stop.
fn run_process<T, F>(
    mut args: Arguments,
    file: &Path,
    log: fn(&T) -> &settings::Log,
    run: impl FnOnce(T) -> F,
) -> anyhow::Result<u8>
where
    T: settings::Check + DeserializeOwned + Serialize,
    F: Future<Output = anyhow::Result<()>>,
{
    let print = args.contains("--print-config");
    finish(args)?;
    let settings: T = settings::load(file)?;
    if print {
        println!("{}", serde_json::to_string_pretty(&settings)?);
        return Ok(0);
    }
    logging::start(log(&settings))?;
    logging::stop_on_panic();
    actix_rt::System::new().block_on(run(settings))?;
    Ok(0)
}

/// Returns the settings file of the command line, else the one that the environment names.
fn config_file(args: &mut Arguments) -> anyhow::Result<PathBuf> {
    let file: Option<PathBuf> = args.opt_value_from_os_str("--config", path)?;
    let named = || std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from);
    file.or_else(named).with_context(|| format!("needs --config FILE or {CONFIG_VARIABLE}"))
}

fn directory(args: &mut Arguments) -> anyhow::Result<PathBuf> {
    args.free_from_os_str(path).context("the command needs the directory of a set")
}

fn path(text: &std::ffi::OsStr) -> Result<PathBuf, std::convert::Infallible> {
    Ok(text.into())
}

fn finish(args: Arguments) -> anyhow::Result<()> {
    let rest: Vec<OsString> = args.finish();
    match rest.first() {
        Some(first) => bail!("unexpected argument {first:?}; try --help"),
        None => Ok(()),
    }
}
