//! Readers of sections and items of a document.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use marked_yaml::types::{MarkedMappingNode, MarkedScalarNode, Node};

use crate::Problem;

type SharedProblems = Rc<RefCell<Vec<Problem>>>;

/// Mapping of a document that tracks which of its keys have been read.
pub struct Section<'a> {
    node: &'a MarkedMappingNode,
    path: String,
    read_keys: BTreeSet<String>,
    problems: SharedProblems,
}

/// Element of a list, or value of a mapping with arbitrary keys.
pub struct Item<'a> {
    node: &'a Node,
    path: String,
    problems: SharedProblems,
}

impl<'a> Section<'a> {
    pub(crate) fn new(node: &'a MarkedMappingNode, path: String, problems: SharedProblems) -> Self {
        Self {
            node,
            path,
            read_keys: BTreeSet::new(),
            problems,
        }
    }

    /// Whether the key is present.
    pub fn has(&self, key: &str) -> bool {
        self.node.get_node(key).is_some()
    }

    /// Records a problem at `key`, or at the section itself if `key` is empty.
    pub fn note<M>(&self, key: &str, message: M)
    where
        M: Into<String>,
    {
        let line = match self.node.get_node(key) {
            Some(node) => line_of(node),
            None => self.node.span().start().map(|m| m.line()),
        };
        let path = if key.is_empty() {
            self.path.clone()
        } else {
            self.path_of(key)
        };
        self.problems.borrow_mut().push(Problem {
            path,
            line,
            message: message.into(),
        });
    }

    /// Reads required text; returns an empty string if it is missing.
    pub fn text(&mut self, key: &str) -> String {
        match self.scalar(key) {
            Some(scalar) => scalar.as_str().to_owned(),
            None => {
                self.require(key, "text");
                String::new()
            }
        }
    }

    /// Reads optional text.
    pub fn optional_text(&mut self, key: &str) -> Option<String> {
        self.scalar(key).map(|s| s.as_str().to_owned())
    }

    /// Reads and parses a required value; `expected` describes it in the error message.
    pub fn parse<T>(&mut self, key: &str, expected: &str) -> Option<T>
    where
        T: FromStr,
    {
        let value = self.optional_parse(key, expected);
        if !self.has(key) {
            self.require(key, expected);
        }
        value
    }

    /// Reads and parses an optional value.
    pub fn optional_parse<T>(&mut self, key: &str, expected: &str) -> Option<T>
    where
        T: FromStr,
    {
        let text = self.scalar(key)?.as_str();
        let value = text.parse().ok();
        if value.is_none() {
            self.note(key, format!("expected {expected}, found {text:?}"));
        }
        value
    }

    /// Reads a number within `range`; returns `default` if it is missing or invalid.
    pub fn number<T>(&mut self, key: &str, range: RangeInclusive<T>, default: T) -> T
    where
        T: FromStr + PartialOrd + Display + Copy,
    {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let Some(value) = self.optional_parse::<T>(key, &expected) else {
            return default;
        };
        if !range.contains(&value) {
            self.note(key, format!("expected {expected}, found {value}"));
            return default;
        }
        value
    }

    /// Reads a duration in milliseconds within `range`; returns `default` if it is missing or invalid.
    pub fn millis(&mut self, key: &str, range: RangeInclusive<u64>, default: Duration) -> Duration {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.number(key, range, default))
    }

    /// Reads `true` or `false`; returns `default` if it is missing or invalid.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        self.optional_parse(key, "true or false").unwrap_or(default)
    }

    /// Reads one of the named choices; returns `default` if it is missing or unknown.
    pub fn choice<T>(&mut self, key: &str, choices: &[(&str, T)], default: T) -> T
    where
        T: Copy,
    {
        let Some(text) = self.scalar(key).map(|s| s.as_str()) else {
            return default;
        };
        if let Some((_, value)) = choices.iter().find(|(name, _)| *name == text) {
            return *value;
        }
        let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
        self.note(
            key,
            format!("expected one of {}, found {text:?}", names.join(", ")),
        );
        default
    }

    /// Reads a nested section; its unknown keys are reported when `read` returns.
    pub fn section<T, F>(&mut self, key: &str, read: F) -> Option<T>
    where
        F: FnOnce(&mut Section<'_>) -> T,
    {
        let node = self.node_at(key)?;
        let item = Item {
            node,
            path: self.path_of(key),
            problems: Rc::clone(&self.problems),
        };
        item.section(read)
    }

    /// Reads each element of a list; returns an empty list if it is missing.
    pub fn list<T, F>(&mut self, key: &str, read: F) -> Vec<T>
    where
        F: FnMut(&Item<'_>) -> Option<T>,
    {
        let Some(node) = self.node_at(key) else {
            return Vec::new();
        };
        let Some(sequence) = node.as_sequence() else {
            self.note(key, "expected a list");
            return Vec::new();
        };
        let path = self.path_of(key);
        let items = sequence.iter().enumerate().map(|(i, node)| Item {
            node,
            path: format!("{path}[{i}]"),
            problems: Rc::clone(&self.problems),
        });
        items.collect::<Vec<_>>().iter().filter_map(read).collect()
    }

    /// Reads each pair of a mapping with arbitrary keys.
    pub fn pairs<T, F>(&mut self, key: &str, mut read: F) -> Vec<(String, T)>
    where
        F: FnMut(&Item<'_>) -> Option<T>,
    {
        let Some(node) = self.node_at(key) else {
            return Vec::new();
        };
        let Some(mapping) = node.as_mapping() else {
            self.note(key, "expected a mapping of names to values");
            return Vec::new();
        };
        let mut pairs = Vec::new();
        for (name, node) in mapping.iter() {
            let path = format!("{}.{}", self.path_of(key), name.as_str());
            let item = Item {
                node,
                path,
                problems: Rc::clone(&self.problems),
            };
            if let Some(value) = read(&item) {
                pairs.push((name.as_str().to_owned(), value));
            }
        }
        pairs
    }

    /// Reports the keys that have not been read.
    pub(crate) fn finish(&self) {
        for (key, node) in self.node.iter() {
            if self.read_keys.contains(key.as_str()) {
                continue;
            }
            let known: Vec<_> = self.read_keys.iter().map(String::as_str).collect();
            self.problems.borrow_mut().push(Problem {
                path: self.path_of(key.as_str()),
                line: key
                    .span()
                    .start()
                    .map(|m| m.line())
                    .or_else(|| line_of(node)),
                message: format!("unknown key; known here: {}", known.join(", ")),
            });
        }
    }

    fn scalar(&mut self, key: &str) -> Option<&'a MarkedScalarNode> {
        let node = self.node_at(key)?;
        let scalar = node.as_scalar();
        if scalar.is_none() {
            self.note(key, "expected a single value");
        }
        scalar
    }

    fn node_at(&mut self, key: &str) -> Option<&'a Node> {
        self.read_keys.insert(key.to_owned());
        self.node.get_node(key)
    }

    fn require(&self, key: &str, expected: &str) {
        if !self.has(key) {
            self.note(key, format!("missing; expected {expected}"));
        }
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

impl Item<'_> {
    /// Records a problem at this item.
    pub fn note<M>(&self, message: M)
    where
        M: Into<String>,
    {
        let line = line_of(self.node);
        let problem = Problem {
            path: self.path.clone(),
            line,
            message: message.into(),
        };
        self.problems.borrow_mut().push(problem);
    }

    /// Reads the item as text.
    pub fn text(&self) -> Option<String> {
        let scalar = self.node.as_scalar();
        if scalar.is_none() {
            self.note("expected a single value");
        }
        scalar.map(|s| s.as_str().to_owned())
    }

    /// Parses the item; `expected` describes the value in the error message.
    pub fn parse<T>(&self, expected: &str) -> Option<T>
    where
        T: FromStr,
    {
        let text = self.text()?;
        let value = text.parse().ok();
        if value.is_none() {
            self.note(format!("expected {expected}, found {text:?}"));
        }
        value
    }

    /// Reads the item as a section; its unknown keys are reported when `read` returns.
    pub fn section<T, F>(&self, read: F) -> Option<T>
    where
        F: FnOnce(&mut Section<'_>) -> T,
    {
        let Some(mapping) = self.node.as_mapping() else {
            self.note("expected a mapping of keys to values");
            return None;
        };
        let mut section = Section::new(mapping, self.path.clone(), Rc::clone(&self.problems));
        let value = read(&mut section);
        section.finish();
        Some(value)
    }
}

pub(crate) fn line_of(node: &Node) -> Option<usize> {
    node.span().start().map(|m| m.line())
}
