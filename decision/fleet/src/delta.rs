//! Difference between two texts, for configurations that change in few places.
//!
//! Both texts are split into records that end at a closing brace. Runs of equal records become
//! copies, extended byte by byte up to the nearest difference; the rest is sent as new text. The
//! time is linear in the length of both texts. Any two texts have a delta, which gives the exact
//! bytes; records only make it short.

use std::collections::HashMap;
use std::ops::Range;

use derive_more::Display;
use pimentotide_model::Fingerprint;
use serde::{Deserialize, Serialize};

/// Maximum length of the result of a delta, bytes.
pub const MAX_DELTA_RESULT_BYTES: usize = 4 << 20;
/// Minimum length of a copy, bytes; a range takes about as much as text.
const MIN_COPY_BYTES: usize = 24;
/// Records of the base compared after a difference before the table is read.
const PROBED_RECORDS: usize = 4;
/// Character that ends a record.
const RECORD_END: char = '}';

/// Text at a position of the log.
#[derive(Clone, Copy, Debug)]
pub struct IndexedText<'a> {
    /// Position in the log.
    pub index: u64,
    /// Text.
    pub text: &'a str,
}

/// Instructions to build one text from another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Position of the base.
    pub from: u64,
    /// Position of the result.
    pub index: u64,
    /// Length of the result, bytes.
    pub length: usize,
    /// Digest of the result.
    pub digest: Fingerprint,
    /// Parts of the result in order.
    pub parts: Vec<DeltaPart>,
}

/// Part of the result of a [`Delta`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum DeltaPart {
    /// Start and length of a range of the base, bytes.
    Copied(usize, usize),
    /// Text that is not in the base.
    New(String),
}

/// Reason why a delta gives no result.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DeltaError {
    /// The delta starts from another text.
    #[display("the base is at another position")]
    OtherBase,
    /// A range is not in the base or splits a character.
    #[display("a range is outside the base")]
    OutsideBase,
    /// The parts do not have the stated length together, or it is too long.
    #[display("the length is wrong")]
    WrongLength,
    /// The result has another digest.
    #[display("the digest is wrong")]
    WrongDigest,
}

impl std::error::Error for DeltaError {}

impl Delta {
    /// Computes the delta from `base` to `target`.
    pub fn between(base: IndexedText<'_>, target: IndexedText<'_>) -> Self {
        Self {
            from: base.index,
            index: target.index,
            length: target.text.len(),
            digest: digest(target.text),
            parts: list_parts(base.text, target.text),
        }
    }

    /// Returns the text that the delta makes of `base`.
    ///
    /// # Errors
    ///
    /// Fails if `base` is not the text that the delta starts from, or if the delta is damaged.
    pub fn apply(&self, base: IndexedText<'_>) -> Result<String, DeltaError> {
        if base.index != self.from {
            return Err(DeltaError::OtherBase);
        }
        let lengths = self.parts.iter().map(DeltaPart::length);
        let length = lengths.fold(0, usize::saturating_add);
        if length != self.length || length > MAX_DELTA_RESULT_BYTES {
            return Err(DeltaError::WrongLength);
        }
        let mut text = String::with_capacity(length);
        for part in &self.parts {
            text.push_str(part.resolve(base.text).ok_or(DeltaError::OutsideBase)?);
        }
        if digest(&text) == self.digest {
            Ok(text)
        } else {
            Err(DeltaError::WrongDigest)
        }
    }
}

impl DeltaPart {
    fn length(&self) -> usize {
        match self {
            Self::Copied(_, length) => *length,
            Self::New(text) => text.len(),
        }
    }

    fn resolve<'a>(&'a self, base: &'a str) -> Option<&'a str> {
        match self {
            Self::Copied(start, length) => base.get(*start..start.checked_add(*length)?),
            Self::New(text) => Some(text),
        }
    }
}

fn digest(text: &str) -> Fingerprint {
    Fingerprint::of([text.as_bytes()])
}

/// Equal range of the base and the target.
#[derive(Clone, Copy)]
struct Run {
    base: usize,
    target: usize,
    length: usize,
}

impl Run {
    fn base_end(&self) -> usize {
        self.base + self.length
    }

    fn target_end(&self) -> usize {
        self.target + self.length
    }
}

fn list_parts(base: &str, target: &str) -> Vec<DeltaPart> {
    let mut runs = equal_records(base, target);
    extend_runs(&mut runs, base, target);
    let mut parts = Vec::new();
    let mut written = 0;
    for run in runs.iter().filter(|r| r.length >= MIN_COPY_BYTES) {
        if run.target > written {
            parts.push(DeltaPart::New(target[written..run.target].to_owned()));
        }
        parts.push(DeltaPart::Copied(run.base, run.length));
        written = run.target_end();
    }
    if written < target.len() {
        parts.push(DeltaPart::New(target[written..].to_owned()));
    }
    parts
}

/// Splits a text after each closing brace.
fn split_records(text: &str) -> Vec<Range<usize>> {
    let mut start = 0;
    let records = text.split_inclusive(RECORD_END).map(|record| {
        let range = start..start + record.len();
        start = range.end;
        range
    });
    records.collect()
}

/// Returns the runs of equal records in the order of the target, between an empty run at the
/// start and one at the end of both texts.
fn equal_records(base: &str, target: &str) -> Vec<Run> {
    let records = split_records(base);
    let mut positions = HashMap::with_capacity(records.len());
    for (position, record) in records.iter().enumerate() {
        if record.len() >= MIN_COPY_BYTES {
            positions.entry(&base[record.clone()]).or_insert(position);
        }
    }
    let mut runs = vec![Run {
        base: 0,
        target: 0,
        length: 0,
    }];
    // Position of the record that would continue the last run.
    let mut next = 0;
    let mut continues = true;
    for range in split_records(target) {
        let record = &target[range.clone()];
        let is_equal = |position: &usize| {
            let candidate = records.get(*position);
            candidate.is_some_and(|r| base[r.clone()] == *record)
        };
        let begins = record.len() >= MIN_COPY_BYTES;
        let found = Some(next).filter(|p| (continues || begins) && is_equal(p));
        let found = found.or_else(|| {
            let probed = (next + 1..next + PROBED_RECORDS).find(is_equal);
            let known = probed.or_else(|| positions.get(record).copied());
            known.filter(|_| begins)
        });
        continues = found.is_some();
        let Some(position) = found else {
            continue;
        };
        next = position + 1;
        let start = records[position].start;
        match runs.last_mut() {
            Some(run) if run.base_end() == start && run.target_end() == range.start => {
                run.length += range.len();
            }
            _ => runs.push(Run {
                base: start,
                target: range.start,
                length: range.len(),
            }),
        }
    }
    runs.push(Run {
        base: base.len(),
        target: target.len(),
        length: 0,
    });
    runs
}

/// Extends runs into the gaps between them as far as the bytes are equal.
fn extend_runs(runs: &mut [Run], base: &str, target: &str) {
    for at in 1..runs.len() {
        let (before, after) = (runs[at - 1], runs[at]);
        let gap = &target[before.target_end()..after.target];
        let prefix = common_prefix(gap, &base.as_bytes()[before.base_end()..]);
        let suffix = common_suffix(&gap[prefix..], &base.as_bytes()[..after.base]);
        runs[at - 1].length += prefix;
        runs[at] = Run {
            base: after.base - suffix,
            target: after.target - suffix,
            length: after.length + suffix,
        };
    }
}

/// Returns the length of the longest prefix of `text` in whole characters that begins `bytes`.
fn common_prefix(text: &str, bytes: &[u8]) -> usize {
    let equal = text.bytes().zip(bytes).take_while(|(a, b)| a == *b);
    let mut length = equal.count();
    while !text.is_char_boundary(length) {
        length -= 1;
    }
    length
}

/// Returns the length of the longest suffix of `text` in whole characters that ends `bytes`.
fn common_suffix(text: &str, bytes: &[u8]) -> usize {
    let pairs = text.bytes().rev().zip(bytes.iter().rev());
    let mut length = pairs.take_while(|(a, b)| a == *b).count();
    while !text.is_char_boundary(text.len() - length) {
        length -= 1;
    }
    length
}
