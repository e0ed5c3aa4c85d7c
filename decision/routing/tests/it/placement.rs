//! Decisions with the candidates that they compared.

use std::fmt::Write;
use std::time::Duration;

use pimentotide_model::{AdapterName, Incarnation, UpstreamName, VersionName, ZoneName};
use pimentotide_routing::{AttemptOutcome, CreditId, Finished, Placement};

use crate::fixture::{
    announcement, at, declarations, meta, placer, profile, report, rng, zone_out,
};

fn name(index: usize) -> UpstreamName {
    UpstreamName::from(format!("u{index:02}"))
}

fn describe(placement: &Placement) -> String {
    let mut text = String::new();
    match placement {
        Placement::Chosen(decision) => {
            let _ = write!(text, "{} by {}:", decision.upstream, decision.reason);
            for c in &decision.candidates {
                let (score, load) = (c.score.round(), c.load);
                let _ = write!(
                    text,
                    " {}={score} {load}/{} hit {}",
                    c.upstream, c.allowance, c.hit
                );
            }
        }
        Placement::Wait(wait) => {
            let _ = write!(text, "wait, ask {}", wait.upstreams.len());
        }
        Placement::Refused(failure) => {
            let _ = write!(text, "{failure}");
        }
    }
    text
}

#[test]
fn decisions_weigh_load_speed_and_distance() {
    let mut placer = placer(3);
    let mut rng = rng();
    let mut texts = Vec::new();
    let done = Finished {
        outcome: AttemptOutcome::Good,
        first_token: Some(Duration::from_millis(80)),
        total: Duration::from_millis(1_080),
        tokens: 101,
        cached: None,
    };
    for step in 0..3 {
        let placement = placer.place(&meta(step, "w"), &[], at(1), &mut rng);
        texts.push(describe(&placement));
        if let Placement::Chosen(decision) = placement {
            placer.finish(decision.ticket, &meta(step, "w"), &done, at(2));
        }
    }
    placer.observe_report(&name(0), &report(2, 14, 16), at(2));
    texts.push(describe(&placer.place(&meta(4, "w"), &[], at(3), &mut rng)));
    let mut slow = report(2, 0, 16);
    slow.token_gap = 50_000;
    placer.observe_report(&name(1), &slow, at(2));
    texts.push(describe(&placer.place(&meta(5, "w"), &[], at(3), &mut rng)));
    for index in 0..3 {
        placer.observe_report(&name(index), &report(3, 16, 16), at(4));
    }
    texts.push(describe(&placer.place(&meta(6, "w"), &[], at(5), &mut rng)));
    let credited = placer.redeem(&meta(6, "w"), &name(2), CreditId(9), at(5));
    texts.push(describe(&Placement::Chosen(credited.expect("in the pool"))));
    insta::assert_debug_snapshot!(texts);
}

#[test]
fn unavailable_or_incompatible_upstreams_are_not_candidates() {
    let mut placer = placer(3);
    let mut rng = rng();
    placer.declare(zone_out(declarations(profile()), "accra-a"));
    let mut leaving = announcement(1, 16);
    leaving.leaving = true;
    placer.announce(leaving);
    let mut texts = vec![describe(&placer.place(&meta(1, "w"), &[], at(1), &mut rng))];
    assert!(
        placer
            .redeem(&meta(1, "w"), &name(0), CreditId(1), at(1))
            .is_none()
    );
    let mut versioned = meta(2, "w");
    versioned.version = Some(VersionName::from("2"));
    texts.push(describe(&placer.place(&versioned, &[], at(1), &mut rng)));
    let mut newer = announcement(2, 16);
    newer.models[0].1 = VersionName::from("2");
    placer.announce(newer);
    texts.push(describe(&placer.place(&versioned, &[], at(1), &mut rng)));
    let mut adapted = meta(3, "w");
    adapted.adapter = Some(AdapterName::from("oak"));
    texts.push(describe(&placer.place(&adapted, &[], at(1), &mut rng)));
    placer.remove_upstream(&name(2));
    texts.push(describe(&placer.place(&meta(4, "w"), &[], at(1), &mut rng)));
    insta::assert_debug_snapshot!(texts);
}

#[test]
fn straggler_lowers_the_rank_of_its_whole_group() {
    let mut placer = placer(6);
    for index in [0, 3] {
        let mut announced = announcement(index, 16);
        announced.group = Some("ranks".into());
        placer.announce(announced);
    }
    let mut straggler = report(2, 0, 16);
    straggler.token_gap = 80_000;
    placer.observe_report(&name(3), &straggler, at(1));
    let mut rng = rng();
    for step in 0..8 {
        if let Placement::Chosen(d) = placer.place(&meta(step, "w"), &[], at(2), &mut rng) {
            let done = Finished {
                outcome: AttemptOutcome::Good,
                first_token: Some(Duration::from_millis(80)),
                total: Duration::from_millis(1_080),
                tokens: 101,
                cached: None,
            };
            placer.finish(d.ticket, &meta(step, "w"), &done, at(3));
        }
    }
    for step in 0..20 {
        if let Placement::Chosen(d) = placer.place(&meta(step, "w"), &[], at(4), &mut rng) {
            assert!(
                d.upstream != name(0) && d.upstream != name(3),
                "{}",
                d.upstream
            );
        }
    }
}

#[test]
fn new_incarnation_gets_one_request_before_its_first_report() {
    let mut placer = placer(1);
    let mut rng = rng();
    let mut restarted = announcement(0, 16);
    restarted.incarnation = Incarnation(2);
    placer.announce(restarted);
    placer.observe_report(&name(0), &report(9, 0, 16), at(1));
    let first = placer.place(&meta(1, "w"), &[], at(2), &mut rng);
    assert!(matches!(first, Placement::Chosen(_)));
    let second = placer.place(&meta(2, "w"), &[], at(2), &mut rng);
    assert!(matches!(second, Placement::Wait(_)));
}

#[test]
fn nearest_zone_is_preferred_until_it_is_full() {
    let mut placer = placer(12);
    let mut rng = rng();
    let mut near = 0;
    let zone = ZoneName::from("accra-a");
    for step in 0..16 {
        if let Placement::Chosen(d) = placer.place(&meta(step, "w"), &[], at(1), &mut rng) {
            let index: usize = d.upstream.as_str()[1..].parse().expect("number");
            near += usize::from(announcement(index, 16).zone == zone);
        }
    }
    assert!(near >= 14, "{near} of 16 near");
}
