//! `sequoiahold diff`: shows the effects of publishing a set.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use anyhow::Context as _;
use sequoiahold_core::{
    declare::{Diff, Fleet, load::read_set},
    ids::Digest,
    weights::Manifest,
};

use super::files;
use crate::cli::EXIT_PROBLEM_FOUND;

/// Options of the command.
#[derive(Clone, Debug)]
pub struct Options {
    /// The directory of the published set.
    pub old: PathBuf,
    /// The directory of the set to publish.
    pub new: PathBuf,
    /// The directory of manifests, to count the chunks that versions share.
    pub manifests: Option<PathBuf>,
    /// Whether to print a JSON object instead of text.
    pub json: bool,
}

/// Prints the difference of two valid sets.
pub fn run(options: &Options) -> anyhow::Result<u8> {
    let (Some(old), Some(new)) = (read_fleet(&options.old)?, read_fleet(&options.new)?) else {
        return Ok(EXIT_PROBLEM_FOUND);
    };
    let manifests = options.manifests.as_deref().map(read_manifests).transpose()?;
    let diff = Diff::between(&old, &new, &manifests.unwrap_or_default());
    if options.json {
        println!("{}", serde_json::to_string(&diff)?);
    } else {
        print!("{diff}");
    }
    Ok(0)
}

fn read_fleet(dir: &Path) -> anyhow::Result<Option<Fleet>> {
    let files = files::read_set_files(dir)?;
    match read_set(files.iter().map(|(name, text)| (name.as_str(), text.as_str()))) {
        Ok((_, fleet)) => Ok(Some(fleet)),
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{}: {fault}", dir.display()));
            Ok(None)
        }
    }
}

/// Reads all manifests in a directory, keyed by the digest of their text.
fn read_manifests(dir: &Path) -> anyhow::Result<BTreeMap<Digest, Manifest>> {
    let entries = fs::read_dir(dir).with_context(|| format!("cannot read {}", dir.display()))?;
    let mut manifests = BTreeMap::new();
    for entry in entries {
        let path = entry?.path();
        let text = fs::read(&path).with_context(|| format!("cannot read {}", path.display()))?;
        let digest = Digest::of(&text);
        let manifest = Manifest::parse(&text, digest)
            .with_context(|| format!("{} is not a manifest", path.display()))?;
        manifests.insert(digest, manifest);
    }
    Ok(manifests)
}
