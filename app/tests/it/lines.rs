//! The vocabulary of the log and the operators' page.

use std::collections::BTreeMap;

use pimentotide::lines::vocabulary;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Events of the page's table with the names in the column of their fields.
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

/// Words in backquotes.
fn quoted(text: &str) -> impl Iterator<Item = String> {
    text.split('`').skip(1).step_by(2).map(str::to_owned)
}

#[test]
fn the_page_lists_every_event_with_its_fields() {
    let written: BTreeMap<String, Vec<String>> = vocabulary()
        .into_iter()
        .map(|kind| (kind.event.to_owned(), kind.fields))
        .collect();
    assert_eq!(documented(), written);
}

#[test]
fn no_event_stands_twice() {
    let mut names: Vec<&str> = vocabulary().iter().map(|kind| kind.event).collect();
    let all = names.len();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), all);
}
