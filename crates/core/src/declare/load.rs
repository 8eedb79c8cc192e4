//! Parsing of declarations, with errors that name the file and key.

use std::fmt;

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{Object, check, fleet::Fleet, unique_keys::UniqueKeys};

/// The allowed kinds of objects, for error messages.
const KINDS: &str = "zone, pool, service, model, version, adapter, client, vm";

/// The location of an object in the files of a set.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SourceLocation {
    /// The file, relative to the directory of the set.
    pub file: String,
    /// The position of the object in its file.
    pub index: usize,
}

/// A declared object and its location.
#[derive(Clone, Debug, PartialEq)]
pub struct Declaration {
    /// The object.
    pub object: Object,
    /// The location of the object.
    pub source: SourceLocation,
}

/// An error in a set of declarations.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DeclarationError {
    /// The file with the error.
    pub file: String,
    /// The path of the key within the file, such as `[3].zone`.
    pub key: String,
    /// The description of the error, with the allowed values.
    pub text: String,
}

impl DeclarationError {
    /// Returns an error at `key` of a declared object.
    pub fn at(source: &SourceLocation, key: &str, text: impl Into<String>) -> Self {
        Self {
            file: source.file.clone(),
            key: format!("[{}].{key}", source.index),
            text: text.into(),
        }
    }

    /// Returns an error of the set as a whole, attributed to `file`.
    pub fn in_set(file: &str, text: &str) -> Self {
        Self { file: file.to_owned(), key: "[]".to_owned(), text: text.to_owned() }
    }
}

impl fmt::Display for DeclarationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.file, self.key, self.text)
    }
}

/// All errors of a set, sorted by file and key.
pub type DeclarationErrors = Vec<DeclarationError>;

/// The parsed objects of a set and the errors so far.
#[derive(Clone, Debug, Default)]
struct ParsedSet {
    declared: Vec<Declaration>,
    /// The kinds and names of objects that could not be parsed.
    invalid: Vec<(String, String)>,
    /// Whether all files are JSON arrays, so that no object is missing.
    is_complete: bool,
    errors: Vec<DeclarationError>,
}

impl ParsedSet {
    fn add_file(&mut self, file: &str, text: &str) {
        let values: Vec<UniqueKeys> = match serde_json::from_str(text) {
            Ok(values) => values,
            Err(error) => {
                self.is_complete = false;
                return self.errors.push(DeclarationError {
                    file: file.to_owned(),
                    key: format!("line {}", error.line()),
                    text: format!("not a JSON array of objects: {error}"),
                });
            }
        };
        for (index, UniqueKeys(value)) in values.into_iter().enumerate() {
            let text = |key| value.get(key).and_then(Value::as_str).map(str::to_owned);
            let name = text("kind").zip(text("name"));
            match parse_object(file, index, value) {
                Ok(declaration) => self.declared.push(declaration),
                Err(error) => {
                    self.invalid.extend(name);
                    self.errors.push(error);
                }
            }
        }
    }

    /// Checks the parsed objects.
    ///
    /// Consistency checks are skipped if an object could not be parsed, and all checks if a file
    /// could not, since their errors would only follow from the missing objects.
    fn check(&mut self) {
        let errors = match (self.is_complete, self.errors.is_empty()) {
            (true, true) => check(&self.declared),
            (true, false) => check::check_objects(&self.declared, &self.invalid),
            (false, _) => vec![],
        };
        self.errors.extend(errors);
    }
}

/// Parses and checks a set of files, given as names and contents.
pub fn read_set<'a>(
    files: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Result<(Vec<Declaration>, Fleet), DeclarationErrors> {
    let mut parsed = ParsedSet { is_complete: true, ..ParsedSet::default() };
    for (file, text) in files {
        parsed.add_file(file, text);
    }
    parsed.check();
    if !parsed.errors.is_empty() {
        parsed.errors.sort();
        return Err(parsed.errors);
    }
    let fleet = Fleet::new(parsed.declared.iter().map(|d| d.object.clone()));
    Ok((parsed.declared, fleet))
}

fn parse_object(
    file: &str,
    index: usize,
    mut value: Value,
) -> Result<Declaration, DeclarationError> {
    let error = |key: &str, text: String| DeclarationError {
        file: file.to_owned(),
        key: if key.is_empty() { format!("[{index}]") } else { format!("[{index}].{key}") },
        text,
    };
    let Some(map) = value.as_object_mut() else {
        return Err(error("", "not a JSON object".to_owned()));
    };
    let kind = match map.remove("kind") {
        Some(Value::String(kind)) => kind,
        Some(_) => return Err(error("kind", format!("must be one of {KINDS}"))),
        None => return Err(error("kind", format!("is missing; must be one of {KINDS}"))),
    };
    let object = match kind.as_str() {
        "zone" => deserialize_object(value).map(Object::Zone),
        "pool" => deserialize_object(value).map(Object::Pool),
        "service" => deserialize_object(value).map(Object::Service),
        "model" => deserialize_object(value).map(Object::Model),
        "version" => deserialize_object(value).map(Object::Version),
        "adapter" => deserialize_object(value).map(Object::Adapter),
        "client" => deserialize_object(value).map(Object::Client),
        "vm" => deserialize_object(value).map(Object::Vm),
        other => return Err(error("kind", format!("{other:?} is not one of {KINDS}"))),
    };
    let object = object.map_err(|(key, text)| error(&key, text))?;
    Ok(Declaration { object, source: SourceLocation { file: file.to_owned(), index } })
}

/// Deserializes an object of a known kind; the error is the key and a description.
fn deserialize_object<T: DeserializeOwned>(value: Value) -> Result<T, (String, String)> {
    serde_path_to_error::deserialize(value).map_err(|e| {
        let path = e.path().to_string();
        let text = e.inner().to_string();
        let path = if path == "." { String::new() } else { path };
        (error_key(path, &text), text)
    })
}

/// Returns the path of the invalid key.
///
/// The path of a missing or unknown key lacks its name, which is taken from the error message.
fn error_key(path: String, text: &str) -> String {
    let named = ["missing field `", "unknown field `"]
        .iter()
        .find_map(|start| text.strip_prefix(start)?.split_once('`'));
    match named {
        Some((key, _)) if path.is_empty() => key.to_owned(),
        Some((key, _)) if !path.ends_with(key) => format!("{path}.{key}"),
        _ => path,
    }
}
