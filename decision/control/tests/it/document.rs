//! YAML text of the document: all errors at once, and round trips.

use pimentotide_control::Document;
use pimentotide_control::declare::{check, read_document, write_document};
use pimentotide_model::Declarations;
use proptest::prelude::*;

use crate::common::{declarations_of, document, drafting};

fn problems(text: &str) -> String {
    let outcome = read_document(text, &Declarations::default(), false);
    outcome.unwrap_err().to_string()
}

#[test]
fn every_error_is_reported_at_once() {
    let text = "\
profiles:
  drafting:
    model: roadlaw
    adapters: [tema, tema]
    deadline_ms: 2s
    queue: {bound: 1000000, wait: 5}
    retry: {attempts: 0, budget: 1.5}
    lapse: maybe
  lodging:
    version: v1
    queue: {wait_ms: 60000}
  'bad name': {}
services:
  draft: {profile: draftng}
  lodge: {profile: lodging}
workspaces:
  assembly: {services: [draft, seal]}
";
    insta::assert_snapshot!(problems(text));
}

#[test]
fn text_that_is_not_a_document_is_reported() {
    let texts = [
        "profiles: [1, 2]",
        "- a",
        "profiles: {a: {}, a: {}}",
        "profiles: {a: {model: [}",
    ];
    insta::assert_snapshot!(texts.map(problems).join("\n"));
}

#[test]
fn canonical_text_names_every_key() {
    insta::assert_snapshot!(write_document(&drafting()));
}

#[test]
fn shares_of_undeclared_workspaces_are_reported_if_any_are_declared() {
    let text = "\
profiles:
  p: {model: m, shares: {council: 2, counsil: 3}}
workspaces:
  council: {}
";
    insta::assert_snapshot!(problems(text));
}

#[test]
fn deep_nesting_is_rejected() {
    for open in ["[", "{a: ", "- "] {
        let text = format!("profiles: {}", open.repeat(100_000));
        assert!(!problems(&text).is_empty());
    }
}

#[test]
fn aliases_do_not_multiply_memory() {
    let mut text = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n");
    for i in 1..12 {
        let uses = vec![format!("*a{}", i - 1); 10].join(", ");
        text.push_str(&format!("a{i}: &a{i} [{uses}]\n"));
    }
    assert!(!problems(&text).is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn written_document_reads_back_equal(document in document()) {
        let text = write_document(&document);
        prop_assert_eq!(check(&declarations_of(&document)), vec![]);
        let read = read_document(&text, &Declarations::default(), true);
        prop_assert_eq!(read.map_err(|e| e.to_string()), Ok(document));
    }

    #[test]
    fn applying_what_is_in_force_changes_nothing(document in document()) {
        let declarations = declarations_of(&document);
        let text = write_document(&Document::of(&declarations));
        let read = read_document(&text, &declarations, false).unwrap();
        let mut next = declarations.clone();
        read.merge_into(&mut next, false);
        prop_assert_eq!(next, declarations);
    }

    #[test]
    fn hostile_text_never_panics(text in "[a-z:{}\\[\\]&*!|>'\" \n\t-]{0,200}") {
        let _ = read_document(&text, &Declarations::default(), true);
    }

    #[test]
    fn damaged_documents_never_panic(document in document(), cut in any::<prop::sample::Index>(), with in any::<char>()) {
        let mut chars: Vec<_> = write_document(&document).chars().collect();
        let at = cut.index(chars.len());
        chars[at] = with;
        let text: String = chars.into_iter().collect();
        let _ = read_document(&text, &Declarations::default(), true);
    }
}
