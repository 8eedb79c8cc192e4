//! Reading declarations from text, with faults that name the file and key.

use std::fmt;

use super::{Object, check, fleet::Fleet};

/// Where an object was declared.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Source {
    /// The file, relative to the directory of the set.
    pub file: String,
    /// The position of the object in its file.
    pub index: usize,
}

/// An object and where it was declared.
#[derive(Clone, Debug, PartialEq)]
pub struct Declared {
    /// The object.
    pub object: Object,
    /// Where it was declared.
    pub source: Source,
}

/// A fault in a set of declarations.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fault {
    /// The file that the fault is in.
    pub file: String,
    /// The path of the key within the file, such as `[3].zone`.
    pub key: String,
    /// What is wrong, and what is allowed.
    pub text: String,
}

impl Fault {
    /// Returns a fault at `key` of a declared object.
    pub fn at(source: &Source, key: &str, text: impl Into<String>) -> Self {
        Self {
            file: source.file.clone(),
            key: format!("[{}].{key}", source.index),
            text: text.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.file, self.key, self.text)
    }
}

/// The faults that keep a set from being used.
pub type ReadError = Vec<Fault>;

/// Reads the objects of one file, a JSON array.
pub fn parse(file: &str, text: &str) -> Result<Vec<Declared>, ReadError> {
    let values: Vec<serde_json::Value> = serde_json::from_str(text).map_err(|e| {
        vec![Fault {
            file: file.to_owned(),
            key: format!("line {}", e.line()),
            text: format!("not a JSON array of objects: {e}"),
        }]
    })?;
    let mut declared = Vec::with_capacity(values.len());
    let mut faults = Vec::new();
    for (index, value) in values.into_iter().enumerate() {
        match object(file, index, value) {
            Ok(one) => declared.push(one),
            Err(fault) => faults.push(fault),
        }
    }
    if faults.is_empty() { Ok(declared) } else { Err(faults) }
}

/// Reads and checks a whole set of files, given as names and texts.
pub fn read_set<'a>(
    files: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Result<(Vec<Declared>, Fleet), ReadError> {
    let mut declared = Vec::new();
    let mut faults = Vec::new();
    for (file, text) in files {
        match parse(file, text) {
            Ok(mut objects) => declared.append(&mut objects),
            Err(mut found) => faults.append(&mut found),
        }
    }
    faults.extend(check(&declared));
    if !faults.is_empty() {
        faults.sort();
        return Err(faults);
    }
    let fleet = Fleet::new(declared.iter().map(|d| d.object.clone()));
    Ok((declared, fleet))
}

fn object(file: &str, index: usize, value: serde_json::Value) -> Result<Declared, Fault> {
    let object = serde_path_to_error::deserialize(value).map_err(|e| {
        let path = e.path().to_string();
        let key = if path == "." { format!("[{index}]") } else { format!("[{index}].{path}") };
        Fault { file: file.to_owned(), key, text: e.inner().to_string() }
    })?;
    Ok(Declared { object, source: Source { file: file.to_owned(), index } })
}
