//! Agreement of the kinds of log lines with the operator documentation.

use std::collections::BTreeMap;

use pimentotide::lines::line_kinds;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Returns the events in the table of the page with the names in their column of fields.
fn documented() -> BTreeMap<String, Vec<String>> {
    let section = PAGE
        .split("## Log lines")
        .nth(1)
        .and_then(|rest| rest.split("\n## ").next())
        .expect("a section on log lines");
    let rows = section.lines().filter(|l| l.starts_with("| `"));
    rows.map(|row| {
        let cells: Vec<&str> = row.split('|').collect();
        let [_, event, .., fields, _] = cells[..] else {
            panic!("an unreadable row: {row}");
        };
        let mut names: Vec<String> = quoted(fields).collect();
        names.sort_unstable();
        (quoted(event).next().expect("an event"), names)
    })
    .collect()
}

/// Returns the words in backquotes.
fn quoted(text: &str) -> impl Iterator<Item = String> {
    text.split('`').skip(1).step_by(2).map(str::to_owned)
}

#[test]
fn page_lists_every_event_with_its_fields() {
    let written: BTreeMap<String, Vec<String>> = line_kinds()
        .into_iter()
        .map(|kind| (kind.event.to_owned(), kind.fields))
        .collect();
    assert_eq!(documented(), written);
}

#[test]
fn event_names_are_unique() {
    let mut names: Vec<&str> = line_kinds().iter().map(|kind| kind.event).collect();
    let all = names.len();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), all);
}
