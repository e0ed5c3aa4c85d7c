//! Selection of the fewest changes that yield most of the gain, over all layers.

use super::balance::{Balance, RankTable, Split};
use super::bound::Bounds;
use super::demand::Demand;
use super::place::{MAX_LAYER_CHANGES, TOLERANCE};
use crate::{ExpertMap, Layout, Slot};

/// Relative distance of the step time from the bound within which no more moves are selected.
const BOUND_TOLERANCE: f64 = 0.03;

/// Limits on the expert moves of one plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of experts moved.
    pub moves: u64,
    /// Maximum number of experts moved to one rank.
    pub staged: u64,
    /// Minimum fraction of the step time that each moved expert has to save.
    pub price: f64,
}

/// State of one layer after some of its changes.
struct Point {
    split: Split,
    moved: u64,
    time: f64,
}

/// Steps of one layer from the current map to the best map found.
struct LayerPath {
    old: Vec<Slot>,
    start: f64,
    points: Vec<Point>,
}

/// Advance of a layer to a further point, with its gain and moves.
struct Stage {
    layer: usize,
    point: usize,
    gain: f64,
    moves: u64,
}

/// Returns `map` with the changes that save the most time, within `limits`.
pub fn improve_map(
    layout: &Layout,
    demand: &Demand,
    map: &ExpertMap,
    limits: &Limits,
) -> ExpertMap {
    let table = RankTable::new(layout, &demand.speeds);
    let bounds = Bounds::new(&demand.speeds, layout.width());
    let paths: Vec<LayerPath> = (0..usize::from(layout.layers))
        .map(|layer| {
            let target = bounds.layer(demand.layer(layer)) * (1.0 + TOLERANCE);
            let start = demand.layer_time(layout, map, layer);
            trace_path(&table, demand.layer(layer), target, map.layer(layer), start)
        })
        .collect();
    let bound = demand.bound(layout);
    let chosen = choose(&paths, &table, limits, bound * (1.0 + BOUND_TOLERANCE));
    let slots = paths
        .iter()
        .zip(chosen)
        .flat_map(|(path, point)| match point {
            Some(point) => path.points[point].split.slots(),
            None => path.old.clone(),
        })
        .collect();
    ExpertMap {
        layers: map.layers,
        slots,
    }
}

fn trace_path(
    table: &RankTable,
    loads: &[f64],
    target: f64,
    old: &[Slot],
    start: f64,
) -> LayerPath {
    let experts: Vec<u16> = old.iter().map(|s| s.expert).collect();
    let mut points = Vec::new();
    if start > target {
        let mut balance = Balance::new(table, loads, target, experts);
        points.push(point(&balance, old));
        for _ in 0..MAX_LAYER_CHANGES {
            if balance.improve().is_none() {
                break;
            }
            points.push(point(&balance, old));
        }
    }
    LayerPath {
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

/// Stages of a layer with increasing moves and decreasing gain per move.
fn stages(layer: usize, path: &LayerPath) -> Vec<Stage> {
    let mut stages: Vec<Stage> = Vec::new();
    let (mut moved, mut time, mut next) = (0, path.start, 0);
    while next < path.points.len() {
        let rate = |p: &Point| (time - p.time) / p.moved.saturating_sub(moved).max(1) as f64;
        let best = (next..path.points.len())
            .filter(|i| path.points[*i].time < time && path.points[*i].moved >= moved)
            .max_by(|a, b| {
                let order = rate(&path.points[*a]).total_cmp(&rate(&path.points[*b]));
                order.then(b.cmp(a))
            });
        let Some(best) = best else {
            break;
        };
        let point = &path.points[best];
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

/// Selects stages by gain per move until the step time reaches `goal`.
fn choose(
    paths: &[LayerPath],
    table: &RankTable,
    limits: &Limits,
    goal: f64,
) -> Vec<Option<usize>> {
    let start: f64 = paths.iter().map(|t| t.start).sum();
    let mut all: Vec<Stage> = paths
        .iter()
        .enumerate()
        .flat_map(|(layer, path)| stages(layer, path))
        .collect();
    let rate = |s: &Stage| match s.moves {
        0 => f64::MAX,
        moves => s.gain / moves as f64,
    };
    all.sort_by(|a, b| {
        let order = rate(b).total_cmp(&rate(a));
        order.then((a.layer, a.point).cmp(&(b.layer, b.point)))
    });
    let mut chosen: Vec<Option<usize>> = vec![None; paths.len()];
    let mut closed = vec![false; paths.len()];
    let mut staged = vec![0_u64; table.speeds.len()];
    let (mut moves, mut gain) = (0, 0.0);
    for stage in all {
        let worthwhile = rate(&stage) >= limits.price * start;
        let near_goal = start - gain <= goal && stage.moves > 0;
        if closed[stage.layer] || !worthwhile || near_goal {
            closed[stage.layer] = true;
            continue;
        }
        let path = &paths[stage.layer];
        let next = moves_by_rank(path, Some(stage.point), table);
        let last = moves_by_rank(path, chosen[stage.layer], table);
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

fn moves_by_rank(path: &LayerPath, point: Option<usize>, table: &RankTable) -> Vec<u64> {
    let mut moves = vec![0; table.speeds.len()];
    let Some(point) = point else {
        return moves;
    };
    let slots = path.points[point].split.experts.iter().zip(&path.old);
    for ((new, old), &owner) in slots.zip(&table.owners) {
        moves[owner] += u64::from(*new != old.expert);
    }
    moves
}
