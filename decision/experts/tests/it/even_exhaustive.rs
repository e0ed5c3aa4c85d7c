//! Every way in which the orders of a switch of three ranks can fare, with three troubles anywhere.
//!
//! After the switch another coordinator lets the group go if it is held, and
//! switches once more; orders that are late are carried out meanwhile. No pass
//! may begin under two maps, and none may stay held.

use futures_util::FutureExt;
use pimentotide_experts::{Placement, Switch};

use crate::even_group::{Group, Lapses, Trouble};
use crate::even_script::{Script, explore};

/// Troubles in one switch.
const TROUBLES: u32 = 3;
/// Passes after which every late order has been carried out.
const LONG: u64 = 60;

const NONE: Trouble = Trouble {
    unanswered: 0,
    late: 0,
    lost: 0,
};

fn maps() -> (Placement, Placement) {
    let old = vec![vec![vec![0, 1], vec![2, 3], vec![4, 5]]];
    let new = vec![vec![vec![0, 2], vec![1, 3], vec![4, 5]]];
    (old, new)
}

fn switch(epoch: u64, version: u64, old: &Placement, new: &Placement) -> Switch {
    Switch {
        epoch,
        version,
        old: old.clone(),
        new: new.clone(),
    }
}

/// What one script has led to.
#[derive(Debug, Default)]
struct Seen {
    broken: Option<String>,
    held: bool,
    switched: bool,
}

fn play(script: Script, lapses: Lapses) -> (Script, Seen) {
    let (old, new) = maps();
    let group = Group::new(3, &old, 0, NONE, lapses);
    group.follow(script);
    // It may stand still, which leaves whatever it has ordered.
    let _ = switch(1, 7, &old, &new).run(&group).now_or_never();
    let script = group.take_script();
    group.run(5);
    if let Some(step) = group.held() {
        let version = group.highest() + 100;
        let held = if group.version() == Some(7) {
            &new
        } else {
            &old
        };
        let back = switch(group.epoch(), version, held, held);
        let _ = back.undo(&group, step).now_or_never();
    }
    group.run(2);
    let in_use = if group.version() == Some(7) {
        &new
    } else {
        &old
    };
    let next = if in_use == &old { &new } else { &old };
    let again = switch(group.epoch(), group.highest() + 200, in_use, next);
    let _ = again.run(&group).now_or_never();
    group.run(LONG);
    let seen = Seen {
        broken: group.broken(),
        held: group.is_held(),
        switched: group.version() == Some(again.version),
    };
    (script, seen)
}

#[test]
fn no_three_troubles_lead_to_two_maps_or_a_held_group() {
    let (mut switched, mut found) = (0, Vec::new());
    let played = explore(TROUBLES, &mut |script| {
        let (script, seen) = play(script, Lapses::default());
        switched += usize::from(seen.switched);
        if seen.broken.is_some() || seen.held {
            found.push(format!("{script:?}: {seen:?}"));
        }
        script
    });
    assert!(
        found.is_empty(),
        "{} of {played}: {:#?}",
        found.len(),
        &found[..found.len().min(3)]
    );
    assert!(played > 50_000, "{played}");
    assert!(switched > played / 2, "{switched} of {played}");
}

/// Without each protection of the engines the same exploration finds two maps.
#[test]
fn each_protection_is_needed() {
    let broken_with = |lapses: Lapses| {
        let mut broken = 0;
        explore(TROUBLES, &mut |script| {
            if broken > 0 {
                // One is enough: a script without orders ends the exploration.
                return Script::default();
            }
            let (script, seen) = play(script, lapses);
            broken += usize::from(seen.broken.is_some());
            script
        });
        broken
    };
    let hold = Lapses {
        hold: true,
        ..Lapses::default()
    };
    let fence = Lapses {
        fence: true,
        ..Lapses::default()
    };
    let epoch = Lapses {
        epoch: true,
        ..Lapses::default()
    };
    for (name, lapses) in [("hold", hold), ("fence", fence), ("epoch", epoch)] {
        assert!(broken_with(lapses) > 0, "nothing is broken without {name}");
    }
}
