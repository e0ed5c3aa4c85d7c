//! Longest stall of a switch of expert maps, under faults and virtual time.
//!
//! The switch with granted steps runs against a two-phase switch with a
//! proposed step and against a barrier switch, in which each rank waits from
//! arming until it receives the decision. Each fault is
//! injected at each message of the switch in turn; the stall is the longest
//! time between two steps that all ranks finished, less the length of a step.

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
use rival::{BaselineGroup, Protocol};

/// Time after the proposal by which a switch without faults has ended.
const SWITCH_TIME: Duration = Duration::from_millis(1_300);

/// Time after the proposal at which a run ends.
const RUN_TIME: Duration = Duration::from_secs(6);

/// Faults that apply to all three protocols.
const FAULTS: [Fault; 7] = [
    Fault::Lose,
    Fault::Twice,
    Fault::Late,
    Fault::KillSender,
    Fault::KillReceiver,
    Fault::KillControl,
    Fault::KillLeader,
];

/// Number of runs with random faults, each with its own seed.
const SEEDS: u64 = 40;

/// Probability of a random fault at a message.
const FAULT_PROBABILITY: f64 = 0.2;

/// Switch protocol under test.
#[derive(Clone, Copy)]
enum Candidate {
    Granted,
    Baseline(Protocol),
}

/// Runs one switch; returns the longest stall and the messages sent before and by the end of it.
fn run(candidate: Candidate, network: Network, heal: bool) -> (Duration, u64, u64) {
    let start = Time::ZERO + PROPOSAL - Duration::from_millis(10);
    let times = [start, start + SWITCH_TIME, start + RUN_TIME];
    let mut counts = Vec::new();
    let longest = match candidate {
        Candidate::Granted => {
            let mut group = Group::new(network);
            group.run(start);
            // Forming the group is not part of the switch.
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
        Candidate::Baseline(protocol) => {
            let mut group = BaselineGroup::new(protocol, network);
            group.run(start);
            group.longest_gap = Duration::ZERO;
            for time in times {
                group.run(time);
                counts.push(group.count());
                if heal && counts.len() == 2 {
                    group.heal();
                }
            }
            group.longest_gap
        }
    };
    (longest.saturating_sub(STEP), counts[0], counts[1])
}

/// Stalls of one run per message of the switch, each with the fault at that message.
fn each_message(candidate: Candidate, fault: Fault) -> Vec<Duration> {
    let (_, first, last) = run(candidate, Network::with_faults([]), false);
    let messages = first + 1..=last;
    messages
        .map(|message| run(candidate, Network::with_faults([(message, fault)]), false).0)
        .collect()
}

fn with_random_faults(candidate: Candidate) -> Vec<Duration> {
    (0..SEEDS)
        .map(|seed| run(candidate, Network::with_loss(FAULT_PROBABILITY, seed), true).0)
        .collect()
}

fn format_stalls(stalls: &mut [Duration]) -> String {
    stalls.sort();
    let median = stalls[stalls.len() / 2].as_millis();
    let longest = stalls[stalls.len() - 1].as_millis();
    format!("{median:>5} {longest:>6} ({:>3})", stalls.len())
}

fn main() {
    let candidates = [
        Candidate::Granted,
        Candidate::Baseline(Protocol::TwoPhase),
        Candidate::Baseline(Protocol::Barrier),
    ];
    println!("stall in ms: median, longest (runs); 4 ranks, {STEP:?} steps");
    println!(
        "{:14} {:>18} {:>18} {:>18}",
        "fault", "granted steps", "two-phase", "barrier"
    );
    let mut line = format!("{:14}", "none");
    for candidate in candidates {
        let stall = run(candidate, Network::with_faults([]), false).0;
        line += &format!(" {:>18}", format_stalls(&mut [stall]));
    }
    println!("{line}");
    for fault in FAULTS {
        let mut line = format!("{:14}", format!("{fault:?}"));
        for candidate in candidates {
            line += &format!(
                " {:>18}",
                format_stalls(&mut each_message(candidate, fault))
            );
        }
        println!("{line}");
    }
    let mut line = format!("{:14}", "random 20 %");
    for candidate in candidates {
        line += &format!(" {:>18}", format_stalls(&mut with_random_faults(candidate)));
    }
    println!("{line}");
}
