//! `sequoiahold render`: converts a valid set into the values to publish.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use anyhow::{Context as _, bail};
use sequoiahold_core::{
    declare::{Fleet, Head, HeadEntry, PublishedSet, load::read_set},
    ids::Generation,
};

use super::files;
use crate::cli::EXIT_PROBLEM_FOUND;

/// Name of the file that holds the head.
const HEAD_FILE: &str = "head.json";

/// Options of the command.
#[derive(Clone, Debug)]
pub struct Options {
    /// The directory of the declarations.
    pub dir: PathBuf,
    /// The directory to write the values to.
    pub out: PathBuf,
    /// The generation, `None` for the successor of the last one.
    pub generation: Option<Generation>,
    /// Whether to overwrite the values of another fleet.
    pub replace: bool,
}

/// Writes the parts and the head of a valid set; fails if the generation does not increase.
pub fn run(options: &Options) -> anyhow::Result<u8> {
    let (dir, out) = (&options.dir, &options.out);
    let files = files::read_set_files(dir)?;
    let set = read_set(files.iter().map(|(name, text)| (name.as_str(), text.as_str())));
    let (declared, fleet) = match set {
        Ok(set) => set,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return Ok(EXIT_PROBLEM_FOUND);
        }
    };
    let last = read_last_set(out)?;
    if let Some(last) = &last {
        check_same_fleet(last, &fleet, options)?;
    }
    let last_generation = last.map_or(Generation::default(), |last| last.head.generation);
    let generation = options.generation.unwrap_or(last_generation.next());
    if generation <= last_generation {
        bail!(
            "generation {generation} is not above {last_generation}, the last one in {}",
            out.display()
        );
    }
    let published = PublishedSet::render(&declared, generation)?;
    let parts = out.join("parts");
    fs::create_dir_all(&parts).with_context(|| format!("cannot create {}", parts.display()))?;
    for (digest, part) in &published.parts {
        write_file(&parts.join(digest.to_string()), part)?;
    }
    write_file(&out.join(HEAD_FILE), &serde_json::to_vec_pretty(&published.head)?)?;
    println!("generation {generation}: {} parts in {}", published.parts.len(), out.display());
    Ok(0)
}

/// Reads the set rendered last, `None` if there is none.
fn read_last_set(out: &Path) -> anyhow::Result<Option<PublishedSet>> {
    let path = out.join(HEAD_FILE);
    let text = match fs::read(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error).with_context(|| format!("cannot read {}", path.display())),
    };
    let head: Head = serde_json::from_slice(&text)
        .with_context(|| format!("{} is not a valid head; move it away", path.display()))?;
    let part = |entry: &HeadEntry| {
        let data = fs::read(out.join("parts").join(entry.digest.to_string())).ok()?;
        Some((entry.digest, data.into()))
    };
    let parts = head.parts.iter().filter_map(part).collect();
    Ok(Some(PublishedSet { head, parts }))
}

/// Fails if the last set shares no availability zone with the new fleet, unless `replace` is set.
fn check_same_fleet(last: &PublishedSet, fleet: &Fleet, options: &Options) -> anyhow::Result<()> {
    let shares_zone = last
        .verified_fleet()
        .is_ok_and(|last| last.zones.keys().any(|z| fleet.zones.contains_key(z)));
    if shares_zone || options.replace {
        return Ok(());
    }
    bail!(
        "{} holds generation {} of another fleet, or one that cannot be read; \
         use another --out, or --replace to continue its generations with this fleet",
        options.out.display(),
        last.head.generation
    )
}

fn write_file(path: &Path, data: &[u8]) -> anyhow::Result<()> {
    fs::write(path, data).with_context(|| format!("cannot write {}", path.display()))
}
