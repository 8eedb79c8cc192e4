//! Reads the files of a set of declarations.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use anyhow::Context as _;

/// Reads all `.json` files below a directory and returns their relative paths and texts by path.
pub fn read_set_files(dir: &Path) -> anyhow::Result<Vec<(String, String)>> {
    let mut paths = Vec::new();
    collect_json_files(dir, &mut paths)
        .with_context(|| format!("cannot read {}", dir.display()))?;
    paths.sort();
    paths
        .into_iter()
        .map(|path| {
            let text = fs::read_to_string(&path)
                .with_context(|| format!("cannot read {}", path.display()))?;
            let name = path.strip_prefix(dir).unwrap_or(&path).display().to_string();
            Ok((name, text))
        })
        .collect()
}

fn collect_json_files(dir: &Path, paths: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.is_dir() {
            collect_json_files(&path, paths)?;
        } else if path.extension().is_some_and(|extension| extension == "json") {
            paths.push(path);
        }
    }
    Ok(())
}
