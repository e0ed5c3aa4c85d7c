//! What the local deployment declares.

use std::time::Duration;

use pimentotide_model::{
    Declarations, ModelName, Profile, ProfileName, Revision, Service, ServiceKind, ServiceName,
};

/// Model of the stand-in engines.
pub(super) const MODEL: &str = "draft-small";

/// Version of the model.
pub(super) const VERSION: &str = "1";

/// Plain service whose calls may not be repeated.
pub(super) const REGISTER: &str = "register";

/// Workspace of requests that name none.
pub(super) const WORKSPACE: &str = "demo";

/// Declarations of the local deployment.
pub(super) fn declarations() -> Declarations {
    let drafting = Profile {
        name: ProfileName::from("interactive"),
        model: Some(ModelName::from(MODEL)),
        ..Profile::default()
    };
    let register = Profile {
        name: ProfileName::from("register"),
        idempotent: false,
        deadline: Duration::from_secs(10),
        ..Profile::default()
    };
    let service = |name: &str, kind, profile: &Profile| Service {
        name: ServiceName::from(name),
        kind,
        profile: profile.name.clone(),
    };
    let services = [
        service("drafting", ServiceKind::Model, &drafting),
        service(REGISTER, ServiceKind::Plain, &register),
    ];
    Declarations {
        revision: Revision(1),
        services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
        profiles: [drafting, register]
            .into_iter()
            .map(|p| (p.name.clone(), p))
            .collect(),
        ..Declarations::default()
    }
}
