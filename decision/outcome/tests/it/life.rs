//! Deaths told from lost connections.

use pimentotide_model::Incarnation;
use pimentotide_outcome::SignOfLife;

const OLD: Incarnation = Incarnation(7);
const NEW: Incarnation = Incarnation(8);

/// Verdicts after each of the starts that are announced after a break.
fn verdicts(announced: &[Incarnation]) -> Vec<Option<bool>> {
    let mut life = SignOfLife::default();
    life.announced(OLD);
    let at_break = life;
    let after = announced.iter().map(|start| {
        life.announced(*start);
        life.has_died(at_break, OLD)
    });
    after.collect()
}

#[test]
fn an_announcement_sent_before_the_death_does_not_hide_it() {
    assert_eq!(verdicts(&[OLD, NEW]), [None, Some(true)]);
}

#[test]
fn a_newer_start_proves_the_death() {
    assert_eq!(verdicts(&[NEW]), [Some(true)]);
}

#[test]
fn an_upstream_that_goes_on_announcing_its_start_lives() {
    assert_eq!(verdicts(&[OLD, OLD]), [None, Some(false)]);
}

#[test]
fn a_start_announced_before_the_break_was_noticed_counts() {
    let mut life = SignOfLife::default();
    life.announced(NEW);
    assert_eq!(life.has_died(life, OLD), Some(true));
}
