//! Priority ranks of requests to a service, by the priorities of its routes and workspaces.

use std::collections::{BTreeMap, BTreeSet};

use pimentotide_model::ServiceName;

use crate::{Declaration, Route};

/// Rank of the least urgent requests; further pairs share it.
pub const LOWEST_RANK: u8 = 9;

/// Priority of a workspace, or of the route if the workspace has none, and of the route.
type Pair = (u8, u8);

/// Pairs of priorities that one configuration allows, by service, the most urgent first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PriorityRanks {
    services: BTreeMap<ServiceName, Vec<Pair>>,
}

impl PriorityRanks {
    /// Derives the ranks from a configuration.
    pub fn of(declaration: &Declaration) -> Self {
        let mut routes: BTreeMap<&ServiceName, Vec<&Route>> = BTreeMap::new();
        for route in &declaration.routes {
            for (service, weight) in &route.split {
                if *weight > 0 {
                    routes.entry(service).or_default().push(route);
                }
            }
        }
        let services = routes.into_iter().map(|(service, routes)| {
            let pairs: BTreeSet<Pair> = routes.iter().flat_map(|r| pairs(declaration, r)).collect();
            (service.clone(), pairs.into_iter().collect())
        });
        Self {
            services: services.collect(),
        }
    }

    /// Returns the rank of a pair, 0 first; the lowest if no route leads to the service.
    pub fn rank(&self, service: &ServiceName, pair: (u8, u8)) -> u8 {
        let Some(pairs) = self.services.get(service) else {
            return LOWEST_RANK;
        };
        let position = pairs.partition_point(|p| *p < pair);
        u8::try_from(position).map_or(LOWEST_RANK, |p| p.min(LOWEST_RANK))
    }
}

/// Returns the pairs that requests on a route can have.
fn pairs(declaration: &Declaration, route: &Route) -> Vec<Pair> {
    match &declaration.workspaces {
        Some(workspaces) if !route.public => workspaces
            .iter()
            .map(|w| (w.priority.unwrap_or(route.priority), route.priority))
            .collect(),
        _ => vec![(route.priority, route.priority)],
    }
}
