//! Reader of YAML documents that reports all errors with key paths and lines.
//!
//! A document is parsed once and then read section by section. Every reader
//! method records problems in a list shared by the whole document and returns a
//! usable value, so that one pass finds all errors. Keys that no method has read
//! are reported at the end of their section.

mod locate;
mod problem;
mod section;

use std::cell::RefCell;
use std::rc::Rc;

use marked_yaml::types::Node;
use marked_yaml::{LoadError, LoaderOptions};

pub use locate::locate;
pub use problem::{Problem, Problems};
pub use section::{Item, Section};

/// Maximum size of a document.
pub const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// Reads a document whose top level is a mapping.
///
/// `read` builds the value from the top section. The value is returned only if
/// no problem was recorded.
///
/// # Errors
///
/// Returns every problem of the document.
pub fn read<T, F>(text: &str, read: F) -> Result<T, Problems>
where
    F: FnOnce(&mut Section<'_>) -> T,
{
    let root = parse(text)?;
    let Some(mapping) = root.as_mapping() else {
        return Err(Problems::one(
            "",
            Some(1),
            "expected a mapping of keys to values",
        ));
    };
    let problems = Rc::new(RefCell::new(Vec::new()));
    let mut top = Section::new(mapping, String::new(), Rc::clone(&problems));
    let value = read(&mut top);
    top.finish();
    drop(top);
    let mut found = problems.take();
    if found.is_empty() {
        return Ok(value);
    }
    found.sort_by_key(|p: &Problem| p.line);
    Err(Problems(found))
}

fn parse(text: &str) -> Result<Node, Problems> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let message = format!(
            "expected at most {MAX_DOCUMENT_BYTES} bytes, found {}",
            text.len()
        );
        return Err(Problems::one("", None, message));
    }
    let options = LoaderOptions::default().error_on_duplicate_keys(true);
    marked_yaml::parse_yaml_with_options(0, text, options).map_err(|e| load_problem(&e))
}

fn load_problem(error: &LoadError) -> Problems {
    match error {
        LoadError::DuplicateKey(inner) => Problems::one(
            inner.key.as_str(),
            inner.key.span().start().map(|m| m.line()),
            "the key is given twice; keep one",
        ),
        LoadError::TopLevelMustBeMapping(mark) => Problems::one(
            "",
            Some(mark.line()),
            "expected a mapping of keys to values",
        ),
        LoadError::ScanError(mark, scan) => {
            Problems::one("", Some(mark.line()), format!("not valid YAML: {scan}"))
        }
        other => Problems::one("", None, other.to_string()),
    }
}
