//! Choice of a route by host and path, and of a service by weight.
//!
//! Built once for each configuration. A look-up tries the prefixes of the path
//! from the longest to the shortest, so its cost depends on the depth of the
//! path and not on the number of routes.

use std::collections::HashMap;
use std::sync::Arc;

use pimentotide_model::{ServiceName, WorkspaceName};

use crate::{Declaration, Route, Service};

/// Routes, services and keys of one configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    declaration: Declaration,
    places: HashMap<Arc<str>, HashMap<Arc<str>, usize>>,
    keys: HashMap<Arc<str>, usize>,
}

/// What a request is matched with.
#[derive(Clone, Debug)]
pub struct Match<'a> {
    /// Route.
    pub route: &'a Route,
    /// Workspace of the key, if the route needs one.
    pub workspace: Option<&'a WorkspaceName>,
    /// Rank of the request, 0 first.
    pub priority: u8,
}

/// Why a request is not matched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// No route has this host and path.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(declaration: Declaration) -> Self {
        let mut places: HashMap<Arc<str>, HashMap<Arc<str>, usize>> = HashMap::new();
        for (index, route) in declaration.routes.iter().enumerate() {
            let host = places.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), index);
        }
        let workspaces = declaration.workspaces.iter().flatten().enumerate();
        let keys = workspaces
            .flat_map(|(index, w)| w.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        Self {
            declaration,
            places,
            keys,
        }
    }

    /// Configuration that the table was built from.
    pub fn declaration(&self) -> &Declaration {
        &self.declaration
    }

    /// Service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.declaration.services.get(name)
    }

    /// Matches a request by its host, its path without query and its key.
    ///
    /// # Errors
    ///
    /// Fails if there is no such route or the key is not valid on it.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Result<Match<'_>, Mismatch> {
        let route = self.route(host, path).ok_or(Mismatch::NoRoute)?;
        let (true, Some(workspaces)) = (!route.public, &self.declaration.workspaces) else {
            return Ok(Match {
                route,
                workspace: None,
                priority: route.priority,
            });
        };
        let index = key.and_then(|k| self.keys.get(k)).ok_or(Mismatch::NoKey)?;
        let workspace = &workspaces[*index];
        Ok(Match {
            route,
            workspace: Some(&workspace.name),
            priority: workspace.priority.unwrap_or(route.priority),
        })
    }

    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let lower = host.to_ascii_lowercase();
        let places = self.places.get(lower.as_str())?;
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        let index = ends.filter_map(|end| places.get(&path[..end])).next()?;
        self.declaration.routes.get(*index)
    }
}

impl Match<'_> {
    /// Service that `draw` falls on, a number below the sum of the weights.
    pub fn service(&self, draw: u32) -> Option<&ServiceName> {
        let mut rest = draw;
        self.route.split.iter().find_map(|(service, weight)| {
            if rest < *weight {
                return Some(service);
            }
            rest -= weight;
            None
        })
    }

    /// Sum of the weights of the route.
    pub fn weight(&self) -> u32 {
        self.route.split.iter().map(|(_, weight)| weight).sum()
    }
}
