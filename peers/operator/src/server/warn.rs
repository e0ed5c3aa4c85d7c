//! Warnings about names in an order that nothing currently announces.
//!
//! Such names are accepted: a model may be declared before it is loaded, and a
//! zone or an upstream may be temporarily unreachable. They may also be
//! misspelt, hence the warning.

use std::collections::BTreeSet;

use pimentotide_control::directory::Registry;
use pimentotide_control::{Action, Document};
use pimentotide_model::{ModelName, ProfileName, UpstreamName, ZoneName};

/// Returns a warning for each name in `action` that is not announced.
pub(super) fn warnings(action: &Action, registry: &Registry) -> Vec<String> {
    match action {
        Action::Apply { document, .. } => unloaded_models(document, registry),
        Action::Zone { zone, .. } => unannounced_zone(zone, registry),
        Action::Upstream { upstream, .. } => unannounced_upstream(upstream, registry),
        _ => Vec::new(),
    }
}

fn unloaded_models(document: &Document, registry: &Registry) -> Vec<String> {
    let announced: BTreeSet<_> = registry
        .members()
        .flat_map(|m| &m.notice.announcement.models)
        .map(|(model, _)| model)
        .collect();
    let missing = declared_models(document).filter(|(_, model)| !announced.contains(model));
    let warnings = missing.map(|(profile, model)| {
        format!("profile {profile}: no upstream currently announces model {model}")
    });
    warnings.collect()
}

fn declared_models(document: &Document) -> impl Iterator<Item = (&ProfileName, &ModelName)> {
    let profiles = document.profiles.values();
    profiles.filter_map(|p| p.model.as_ref().map(|model| (&p.name, model)))
}

fn unannounced_zone(zone: &ZoneName, registry: &Registry) -> Vec<String> {
    let mut upstreams = registry.members();
    let mut entries = registry.entries();
    let announced =
        upstreams.any(|m| m.notice.announcement.zone == *zone) || entries.any(|e| e.zone == *zone);
    let warning = format!("no upstream or entry of zone {zone} is currently announced");
    if announced { Vec::new() } else { vec![warning] }
}

fn unannounced_upstream(upstream: &UpstreamName, registry: &Registry) -> Vec<String> {
    let mut upstreams = registry.members();
    let announced = upstreams.any(|m| m.notice.announcement.upstream == *upstream);
    let warning = format!("upstream {upstream} is not currently announced");
    if announced { Vec::new() } else { vec![warning] }
}
