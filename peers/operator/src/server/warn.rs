//! What an operator may have overlooked in an order.
//!
//! Names that nobody announces are no errors: a model may be declared before
//! it is loaded, and a zone or an upstream may be away just now. They may also
//! be spelt wrong.

use std::collections::BTreeSet;

use pimentotide_control::directory::Registry;
use pimentotide_control::{Action, Document};
use pimentotide_model::{ModelName, ProfileName, UpstreamName, ZoneName};

/// Collects the warnings about an action.
pub(super) fn warnings(action: &Action, registry: &Registry) -> Vec<String> {
    match action {
        Action::Apply { document, .. } => unloaded_models(document, registry),
        Action::Zone { zone, .. } => unknown_zone(zone, registry),
        Action::Upstream { upstream, .. } => unknown_upstream(upstream, registry),
        _ => Vec::new(),
    }
}

fn unloaded_models(document: &Document, registry: &Registry) -> Vec<String> {
    let announced: BTreeSet<_> = registry
        .members()
        .flat_map(|m| &m.notice.announcement.models)
        .map(|(model, _)| model)
        .collect();
    let missing = models(document).filter(|(_, model)| !announced.contains(model));
    let warnings = missing.map(|(profile, model)| {
        format!("profile {profile}: no upstream announces model {model} now")
    });
    warnings.collect()
}

fn models(document: &Document) -> impl Iterator<Item = (&ProfileName, &ModelName)> {
    let profiles = document.profiles.values();
    profiles.filter_map(|p| p.model.as_ref().map(|model| (&p.name, model)))
}

fn unknown_zone(zone: &ZoneName, registry: &Registry) -> Vec<String> {
    let mut upstreams = registry.members();
    let mut entries = registry.entries();
    let known =
        upstreams.any(|m| m.notice.announcement.zone == *zone) || entries.any(|e| e.zone == *zone);
    let warning = format!("no upstream or entry of zone {zone} announces itself now");
    if known { Vec::new() } else { vec![warning] }
}

fn unknown_upstream(upstream: &UpstreamName, registry: &Registry) -> Vec<String> {
    let mut upstreams = registry.members();
    let known = upstreams.any(|m| m.notice.announcement.upstream == *upstream);
    let warning = format!("upstream {upstream} does not announce itself now");
    if known { Vec::new() } else { vec![warning] }
}
