//! Names and declarations at the size that the deployment is designed for.

use pimentotide_model::{
    Announcement, Declarations, Fence, Incarnation, Profile, ProfileName, Revision, Service,
    ServiceKind, ServiceName, UpstreamName, Workspace, WorkspaceName,
};

/// Number of upstreams at the design size.
pub const UPSTREAMS: usize = 3_300;
/// Number of models at the design size.
pub const MODELS: usize = 26;
/// Number of workspaces at the design size.
pub const WORKSPACES: usize = 420;
/// Number of availability zones at the design size.
pub const ZONES: usize = 18;

/// Announcement by the agent of upstream `i`.
pub fn announcement(i: usize) -> Announcement {
    Announcement {
        upstream: UpstreamName::from(format!("drafting-{i:04}")),
        incarnation: Incarnation(1_764_800_000_000_000),
        zone: format!("region-{}-zone-{}", i % 7, i % ZONES).into(),
        address: format!("10.20.{}.{}:7001", i / 256, i % 256),
        kind: ServiceKind::Model,
        services: Vec::new(),
        models: vec![(format!("model-{:02}", i % MODELS).into(), "2026-11".into())],
        adapters: Vec::new(),
        capacity: 64,
        group: Some(format!("group-{:02}", i / 128).into()),
        leaving: false,
        revision: Revision(1_200_000),
        fence: Fence(1_200_000),
    }
}

/// Name of the service that model `i` serves.
pub fn service(i: usize) -> ServiceName {
    ServiceName::from(format!("service-{i:04}"))
}

/// Declarations with `profiles` profiles, one service each, and `workspaces` workspaces.
pub fn declarations(profiles: usize, workspaces: usize) -> Declarations {
    let mut declarations = Declarations {
        revision: Revision(1_200_000),
        ..Declarations::default()
    };
    for i in 0..profiles {
        let name = ProfileName::from(format!("profile-{i:04}"));
        let profile = Profile {
            name: name.clone(),
            model: Some(format!("model-{i:02}").into()),
            ..Profile::default()
        };
        let service = Service {
            name: service(i),
            kind: ServiceKind::Model,
            profile: name.clone(),
        };
        declarations.profiles.insert(name, profile);
        declarations.services.insert(service.name.clone(), service);
    }
    for i in 0..workspaces {
        let name = WorkspaceName::from(format!("workspace-{i:04}"));
        let services = vec![service(i % profiles.max(1))];
        let workspace = Workspace {
            name: name.clone(),
            services,
        };
        declarations.workspaces.insert(name, workspace);
    }
    declarations
}
