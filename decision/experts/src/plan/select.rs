//! Choice of the fewest changes that bring most of the gain, over all layers.

use super::balance::{Balance, Site, Split};
use super::bound::Bounds;
use super::demand::Demand;
use super::place::{MAX_LAYER_CHANGES, TOLERANCE};
use crate::{ExpertMap, Layout, Slot};

/// Distance from the bound, relative, at which further changes are left out.
const ENOUGH: f64 = 0.03;

/// Limits on the changes of one plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Experts moved at most.
    pub moves: u64,
    /// Experts moved to one rank at most.
    pub staged: u64,
    /// Least part of the step time that one moved expert has to save.
    pub price: f64,
}

/// One layer after some of its changes.
struct Point {
    split: Split,
    moved: u64,
    time: f64,
}

/// Way of one layer from the map in force to the best map found.
struct Track {
    old: Vec<Slot>,
    start: f64,
    points: Vec<Point>,
}

/// Next point of a layer that is worth its moves.
struct Stage {
    layer: usize,
    point: usize,
    gain: f64,
    moves: u64,
}

/// Returns `map` with the changes that save most, within `limits`.
pub fn improve_map(
    layout: &Layout,
    demand: &Demand,
    map: &ExpertMap,
    limits: &Limits,
) -> ExpertMap {
    let site = Site::new(layout, &demand.speeds);
    let bounds = Bounds::new(&demand.speeds, layout.width());
    let tracks: Vec<Track> = (0..usize::from(layout.layers))
        .map(|layer| {
            let target = bounds.layer(demand.layer(layer)) * (1.0 + TOLERANCE);
            let start = demand.layer_time(layout, map, layer);
            follow(&site, demand.layer(layer), target, map.layer(layer), start)
        })
        .collect();
    let bound = demand.bound(layout);
    let chosen = choose(&tracks, &site, limits, bound * (1.0 + ENOUGH));
    let slots = tracks
        .iter()
        .zip(chosen)
        .flat_map(|(track, point)| match point {
            Some(point) => track.points[point].split.slots(),
            None => track.old.clone(),
        })
        .collect();
    ExpertMap {
        layers: map.layers,
        slots,
    }
}

fn follow(site: &Site, loads: &[f64], target: f64, old: &[Slot], start: f64) -> Track {
    let experts: Vec<u16> = old.iter().map(|s| s.expert).collect();
    let mut points = Vec::new();
    if start > target {
        let mut balance = Balance::new(site, loads, target, experts);
        points.push(point(&balance, old));
        for _ in 0..MAX_LAYER_CHANGES {
            if balance.improve().is_none() {
                break;
            }
            points.push(point(&balance, old));
        }
    }
    Track {
        old: old.to_vec(),
        start,
        points,
    }
}

fn point(balance: &Balance<'_>, old: &[Slot]) -> Point {
    let split = balance.split();
    let differ = |(new, old): &(&u16, &Slot)| **new != old.expert;
    Point {
        moved: split.experts.iter().zip(old).filter(differ).count() as u64,
        time: balance.time(),
        split,
    }
}

/// Points of a layer with rising moves and falling gain for each move.
fn stages(layer: usize, track: &Track) -> Vec<Stage> {
    let mut stages: Vec<Stage> = Vec::new();
    let (mut moved, mut time, mut next) = (0, track.start, 0);
    while next < track.points.len() {
        let rate = |p: &Point| (time - p.time) / p.moved.saturating_sub(moved).max(1) as f64;
        let best = (next..track.points.len())
            .filter(|i| track.points[*i].time < time && track.points[*i].moved >= moved)
            .max_by(|a, b| {
                let order = rate(&track.points[*a]).total_cmp(&rate(&track.points[*b]));
                order.then(b.cmp(a))
            });
        let Some(best) = best else {
            break;
        };
        let point = &track.points[best];
        stages.push(Stage {
            layer,
            point: best,
            gain: time - point.time,
            moves: point.moved - moved,
        });
        (moved, time, next) = (point.moved, point.time, best + 1);
    }
    stages
}

/// Picks stages by gain for each move until the step time comes near `goal`.
fn choose(tracks: &[Track], site: &Site, limits: &Limits, goal: f64) -> Vec<Option<usize>> {
    let start: f64 = tracks.iter().map(|t| t.start).sum();
    let mut all: Vec<Stage> = tracks
        .iter()
        .enumerate()
        .flat_map(|(layer, track)| stages(layer, track))
        .collect();
    let rate = |s: &Stage| match s.moves {
        0 => f64::MAX,
        moves => s.gain / moves as f64,
    };
    all.sort_by(|a, b| {
        let order = rate(b).total_cmp(&rate(a));
        order.then((a.layer, a.point).cmp(&(b.layer, b.point)))
    });
    let mut chosen: Vec<Option<usize>> = vec![None; tracks.len()];
    let mut closed = vec![false; tracks.len()];
    let mut staged = vec![0_u64; site.speeds.len()];
    let (mut moves, mut gain) = (0, 0.0);
    for stage in all {
        let paid = rate(&stage) >= limits.price * start;
        let enough = start - gain <= goal && stage.moves > 0;
        if closed[stage.layer] || !paid || enough {
            closed[stage.layer] = true;
            continue;
        }
        let track = &tracks[stage.layer];
        let next = loads_by_rank(track, Some(stage.point), site);
        let last = loads_by_rank(track, chosen[stage.layer], site);
        let fits = (0..staged.len())
            .all(|r| staged[r] + next[r] - last[r].min(staged[r]) <= limits.staged);
        if moves + stage.moves > limits.moves || !fits {
            closed[stage.layer] = true;
            continue;
        }
        for rank in 0..staged.len() {
            staged[rank] = staged[rank] + next[rank] - last[rank];
        }
        moves += stage.moves;
        gain += stage.gain;
        chosen[stage.layer] = Some(stage.point);
    }
    chosen
}

fn loads_by_rank(track: &Track, point: Option<usize>, site: &Site) -> Vec<u64> {
    let mut loads = vec![0; site.speeds.len()];
    let Some(point) = point else {
        return loads;
    };
    let slots = track.points[point].split.experts.iter().zip(&track.old);
    for ((new, old), &owner) in slots.zip(&site.owners) {
        loads[owner] += u64::from(*new != old.expert);
    }
    loads
}
