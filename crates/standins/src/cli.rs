//! The command line of `sequoiahold-bench`.

use std::process::ExitCode;

use anyhow::bail;
use pico_args::Arguments;
use sequoiahold_core::{ids::VersionId, units::Bytes};

use crate::{
    bench,
    content::Content,
    demo,
    deployment::EXAMPLES,
    experiment::{self, burst, routing, traffic, zones},
    processes::program_path,
    soak,
};

const HELP: &str = "\
Demo, benchmarks and experiments for sequoiahold.

Usage: sequoiahold-bench COMMAND [OPTIONS]

Commands:
  demo [glasmarke|tannverket] [--seed N] [--program FILE] [--examples DIR]
      run a deployment on loopback; the last line of output is one JSON object
  bench SERIES [--program FILE]
      measure one real process at growing sizes and fit a line; the series placement measures the
      time to place a request, one JSON object a case
  soak [--seed N] [--count N] [--regressions] [--jobs N] [--gateways N] [--program FILE]
      inject random faults into real gateways on loopback; one line per seed from N on, or per
      seed that failed before; exit code 1 if a check failed
  experiment config [--seed N] [--only TEXT] [--json]
      simulate configuration changes in a fleet of 5,310 processes in virtual time
  experiment weights [--seed N] [--vms MAX] [--scheme NAME] [--out DIR]
      simulate weight transfer schemes in virtual time; writes JSON lines and charts to DIR
  experiment zones|burst|routing [--deployment NAME] [--load PERCENT] [--seed N] [--out DIR]
      simulate request routing in virtual time; writes JSON lines and charts to DIR
  manifest VERSION --size SIZE --chunk SIZE
      print the digest of the manifest of generated weights
";

/// Runs the command on the command line and returns the exit code, 2 after an error.
pub fn run() -> ExitCode {
    match dispatch(Arguments::from_env()) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("sequoiahold-bench: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn dispatch(mut args: Arguments) -> anyhow::Result<u8> {
    let command = args.subcommand()?;
    if command.is_none() || args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(0);
    }
    match command.as_deref() {
        Some("demo") => {
            let options = demo::Options {
                seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
                program: args.opt_value_from_str("--program")?.unwrap_or_else(program_path),
                examples: args.opt_value_from_str("--examples")?.unwrap_or_else(|| EXAMPLES.into()),
                deployment: args.opt_free_from_str()?.unwrap_or_else(|| "glasmarke".to_owned()),
            };
            actix_rt::System::new().block_on(demo::run(options))
        }
        Some("bench") => {
            let options = bench::Options {
                program: args.opt_value_from_str("--program")?.unwrap_or_else(program_path),
                series: args.free_from_str()?,
            };
            actix_rt::System::new().block_on(bench::run(options))
        }
        Some("soak") => soak(args),
        Some("experiment") => experiment(args),
        Some("manifest") => {
            let size: Bytes = args.value_from_str("--size")?;
            let chunk: Bytes = args.value_from_str("--chunk")?;
            let version: VersionId = args.free_from_str()?;
            println!("{}", Content::of(&version, size, chunk)?.manifest.digest());
            Ok(0)
        }
        other => bail!("unknown command {other:?}; try --help"),
    }
}

fn soak(mut args: Arguments) -> anyhow::Result<u8> {
    let first: u64 = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let count: u64 = args.opt_value_from_str("--count")?.unwrap_or(1);
    let seeds = match args.contains("--regressions") {
        true => soak::failed_seeds(),
        false => (first..first + count).collect(),
    };
    let options = soak::Options {
        seeds,
        jobs: args.opt_value_from_str("--jobs")?.unwrap_or(1),
        gateways: args.opt_value_from_str("--gateways")?,
        program: args.opt_value_from_str("--program")?.unwrap_or_else(program_path),
    };
    actix_rt::System::new().block_on(soak::run(options))
}

fn experiment(mut args: Arguments) -> anyhow::Result<u8> {
    let name = args.subcommand()?;
    match name.as_deref() {
        Some("config") => {
            let seed = args.opt_value_from_str("--seed")?.unwrap_or(1);
            let only: Option<String> = args.opt_value_from_str("--only")?;
            experiment::config::run(seed, args.contains("--json"), only.as_deref())
        }
        Some("weights") => experiment::weights::run(&experiment::weights::Options {
            seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
            max_vms: args.opt_value_from_str("--vms")?.unwrap_or(950),
            scheme: args.opt_value_from_str("--scheme")?,
            out: args.opt_value_from_str("--out")?,
        }),
        Some("burst") => burst::run(&traffic_options(args)?),
        Some("routing") => routing::run(&traffic_options(args)?),
        Some("zones") => zones::run(&traffic_options(args)?),
        other => bail!("unknown experiment {other:?}; try --help"),
    }
}

fn traffic_options(mut args: Arguments) -> anyhow::Result<traffic::Options> {
    Ok(traffic::Options {
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        deployment: args
            .opt_value_from_str("--deployment")?
            .unwrap_or_else(|| "glasmarke".to_owned()),
        load: args.opt_value_from_str("--load")?.unwrap_or(90),
        out: args.opt_value_from_str("--out")?,
    })
}
