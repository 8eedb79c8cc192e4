//! `sequoiahold render`: turns a sound set into the values to publish.

use std::{fs, path::Path};

use anyhow::Context as _;
use sequoiahold_core::{
    declare::{Head, Published, load::read_set},
    ids::Generation,
};

use super::files;
use crate::cli::EXIT_UNSOUND;

/// Writes the head and the parts of the set in `dir` below `out`.
pub fn run(dir: &Path, out: &Path, generation: Option<Generation>) -> anyhow::Result<u8> {
    let files = files::read(dir)?;
    let set = read_set(files.iter().map(|(name, text)| (name.as_str(), text.as_str())));
    let declared = match set {
        Ok((declared, _)) => declared,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return Ok(EXIT_UNSOUND);
        }
    };
    let generation = generation.unwrap_or_else(|| last_generation(out).next());
    let published = Published::render(&declared, generation)?;
    let parts = out.join("parts");
    fs::create_dir_all(&parts).with_context(|| format!("cannot create {}", parts.display()))?;
    for (digest, part) in &published.parts {
        write(&parts.join(digest.to_string()), part)?;
    }
    write(&out.join("head.json"), &serde_json::to_vec_pretty(&published.head)?)?;
    println!("generation {generation}: {} parts in {}", published.parts.len(), out.display());
    Ok(0)
}

fn last_generation(out: &Path) -> Generation {
    fs::read(out.join("head.json"))
        .ok()
        .and_then(|text| serde_json::from_slice::<Head>(&text).ok())
        .map_or(Generation::default(), |head| head.generation)
}

fn write(path: &Path, data: &[u8]) -> anyhow::Result<()> {
    fs::write(path, data).with_context(|| format!("cannot write {}", path.display()))
}
