//! Longest stall of a switch of expert maps, under faults and virtual time.
//!
//! The switch with granted steps runs against a two-phase switch with a named
//! step and against an arm and fire barrier. Each fault strikes each message of
//! the switch in turn; the stall is the longest time between two steps that all
//! ranks have finished, less the length of a step.

use std::time::Duration;

use pimentotide_model::Time;

#[allow(dead_code, reason = "shared with the tests of the switch")]
#[path = "../../../../decision/experts/tests/it/group.rs"]
mod group;
#[allow(dead_code, reason = "shared with the tests of the switch")]
#[path = "../../../../decision/experts/tests/it/network.rs"]
mod network;
#[path = "../rival.rs"]
mod rival;

use group::{Group, PROPOSAL, STEP};
use network::{Fault, Network};
use rival::{Rival, Way};

/// Time after the proposal by which an undisturbed switch has ended.
const SWITCH: Duration = Duration::from_millis(1_300);

/// Time after the proposal at which a run ends.
const END: Duration = Duration::from_secs(6);

/// Faults that all three ways know.
const FAULTS: [Fault; 7] = [
    Fault::Lose,
    Fault::Twice,
    Fault::Late,
    Fault::KillSender,
    Fault::KillReceiver,
    Fault::KillControl,
    Fault::KillLeader,
];

/// Seeds of the runs with random faults.
const SEEDS: u64 = 40;

/// Chance of a random fault at a message.
const LOSS: f64 = 0.2;

#[derive(Clone, Copy)]
enum Contender {
    Granted,
    Rival(Way),
}

/// Runs one switch; returns the longest stall and the messages sent by two times.
fn run(contender: Contender, network: Network, heal: bool) -> (Duration, u64, u64) {
    let start = Time::ZERO + PROPOSAL - Duration::from_millis(10);
    let times = [start, start + SWITCH, start + END];
    let mut counts = Vec::new();
    let longest = match contender {
        Contender::Granted => {
            let mut group = Group::new(network);
            group.run(start);
            // The time that the group takes to form is not part of the switch.
            group.longest_gap = Duration::ZERO;
            for time in times {
                group.run(time);
                counts.push(group.network.count());
                if heal && counts.len() == 2 {
                    group.network.heal();
                }
            }
            assert!(group.violations.is_empty(), "{:?}", group.violations);
            group.longest_gap
        }
        Contender::Rival(way) => {
            let mut rival = Rival::new(way, network);
            rival.run(start);
            rival.longest = Duration::ZERO;
            for time in times {
                rival.run(time);
                counts.push(rival.count());
                if heal && counts.len() == 2 {
                    rival.heal();
                }
            }
            rival.longest
        }
    };
    (longest.saturating_sub(STEP), counts[0], counts[1])
}

/// Stalls with one fault at each message of the switch.
fn each_message(contender: Contender, fault: Fault) -> Vec<Duration> {
    let (_, first, last) = run(contender, Network::with_faults([]), false);
    let messages = first + 1..=last;
    messages
        .map(|message| run(contender, Network::with_faults([(message, fault)]), false).0)
        .collect()
}

fn random(contender: Contender) -> Vec<Duration> {
    (0..SEEDS)
        .map(|seed| run(contender, Network::with_loss(LOSS, seed), true).0)
        .collect()
}

fn cell(stalls: &mut [Duration]) -> String {
    stalls.sort();
    let median = stalls[stalls.len() / 2].as_millis();
    let longest = stalls[stalls.len() - 1].as_millis();
    format!("{median:>5} {longest:>6} ({:>3})", stalls.len())
}

fn main() {
    let contenders = [
        Contender::Granted,
        Contender::Rival(Way::TwoPhase),
        Contender::Rival(Way::Barrier),
    ];
    println!("stall in ms: median, longest (runs); 4 ranks, {STEP:?} steps");
    println!(
        "{:14} {:>18} {:>18} {:>18}",
        "fault", "granted steps", "two-phase", "barrier"
    );
    let mut line = format!("{:14}", "none");
    for contender in contenders {
        let stall = run(contender, Network::with_faults([]), false).0;
        line += &format!(" {:>18}", cell(&mut [stall]));
    }
    println!("{line}");
    for fault in FAULTS {
        let mut line = format!("{:14}", format!("{fault:?}"));
        for contender in contenders {
            line += &format!(" {:>18}", cell(&mut each_message(contender, fault)));
        }
        println!("{line}");
    }
    let mut line = format!("{:14}", "random 20 %");
    for contender in contenders {
        line += &format!(" {:>18}", cell(&mut random(contender)));
    }
    println!("{line}");
}
