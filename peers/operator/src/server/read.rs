//! Read handlers over the replicated state and the directory.
//!
//! Declarations are returned only after a quorum has confirmed that the local
//! state is current. The status is returned in any case, with a flag for the
//! confirmation, since operators need it most while a quorum is missing.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::web::{Data, Path};
use pimentotide_control::declare::write_document;
use pimentotide_control::directory::Registry;
use pimentotide_control::{Document, Machine};
use pimentotide_model::{Declarations, ErrorKind, Failure, ProfileName, ServiceName};
use serde::Serialize;

use super::reply::{answer, refuse};
use crate::control::Control;
use crate::message::{CurrentDeclarations, DocumentText, Listing, ProfileSummary};
use crate::status;

/// Time for which the status waits for a quorum's confirmation.
const STATUS_CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);

pub(super) async fn document<C>(control: Data<C>) -> HttpResponse
where
    C: Control,
{
    confirmed(&**control, |machine, _| DocumentText {
        revision: machine.revision(),
        text: write_document(&Document::of(machine.declarations())),
    })
    .await
}

pub(super) async fn declarations<C>(control: Data<C>) -> HttpResponse
where
    C: Control,
{
    confirmed(&**control, |machine, _| CurrentDeclarations {
        declarations: machine.declarations().clone(),
    })
    .await
}

pub(super) async fn profiles<C>(control: Data<C>) -> HttpResponse
where
    C: Control,
{
    confirmed(&**control, |machine, _| Listing {
        revision: machine.revision(),
        items: summaries(machine.declarations()),
    })
    .await
}

pub(super) async fn profile<C>(control: Data<C>, name: Path<String>) -> HttpResponse
where
    C: Control,
{
    if let Err(failure) = control.confirm().await {
        return refuse(failure);
    }
    let name = ProfileName::from(name.into_inner());
    let text = control.read(|machine, _| {
        let document = Document::of_profile(machine.declarations(), &name)?;
        Some(DocumentText {
            revision: machine.revision(),
            text: write_document(&document),
        })
    });
    match text {
        Some(text) => answer(&text),
        None => refuse(Failure::new(
            ErrorKind::NotFound,
            format!("profile {:?} does not exist", name.as_str()),
        )),
    }
}

pub(super) async fn services<C>(control: Data<C>) -> HttpResponse
where
    C: Control,
{
    confirmed(&**control, |machine, _| Listing {
        revision: machine.revision(),
        items: machine.declarations().services.values().cloned().collect(),
    })
    .await
}

pub(super) async fn history<C>(control: Data<C>) -> HttpResponse
where
    C: Control,
{
    confirmed(&**control, |machine, _| Listing {
        revision: machine.revision(),
        items: machine.history().rev().cloned().collect(),
    })
    .await
}

pub(super) async fn zones<C>(control: Data<C>) -> HttpResponse
where
    C: Control,
{
    confirmed(&**control, |machine, registry| Listing {
        revision: machine.revision(),
        items: status::zones(machine, registry),
    })
    .await
}

pub(super) async fn upstreams<C>(control: Data<C>) -> HttpResponse
where
    C: Control,
{
    confirmed(&**control, |machine, registry| Listing {
        revision: machine.revision(),
        items: status::upstreams(machine, registry),
    })
    .await
}

pub(super) async fn groups<C>(control: Data<C>) -> HttpResponse
where
    C: Control,
{
    let groups = control.groups();
    confirmed(&**control, |machine, _| Listing {
        revision: machine.revision(),
        items: groups,
    })
    .await
}

pub(super) async fn replicas<C>(control: Data<C>) -> HttpResponse
where
    C: Control,
{
    answer(&control.cluster())
}

pub(super) async fn status<C>(control: Data<C>) -> HttpResponse
where
    C: Control,
{
    let confirmation = tokio::time::timeout(STATUS_CONFIRM_TIMEOUT, control.confirm()).await;
    let current = matches!(confirmation, Ok(Ok(())));
    let cluster = control.cluster();
    let groups = control.groups();
    let status = control
        .read(|machine, registry| status::status(machine, registry, cluster, groups, current));
    answer(&status)
}

async fn confirmed<C, T, F>(control: &C, read: F) -> HttpResponse
where
    C: Control,
    T: Serialize,
    F: FnOnce(&Machine, &Registry) -> T,
{
    match control.confirm().await {
        Ok(()) => answer(&control.read(read)),
        Err(failure) => refuse(failure),
    }
}

fn summaries(declarations: &Declarations) -> Vec<ProfileSummary> {
    let profiles = declarations.profiles.values();
    let summaries = profiles.map(|profile| ProfileSummary {
        name: profile.name.clone(),
        model: profile.model.clone(),
        services: services_of(declarations, &profile.name),
    });
    summaries.collect()
}

fn services_of(declarations: &Declarations, profile: &ProfileName) -> Vec<ServiceName> {
    let services = declarations.services.values();
    let matching = services.filter(|s| s.profile == *profile);
    matching.map(|s| s.name.clone()).collect()
}
