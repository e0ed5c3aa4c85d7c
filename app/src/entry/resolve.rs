//! Resolves a caller's request against the declarations in force.

use std::time::Duration;

use pimentotide_caller::Call;
use pimentotide_model::{
    Declarations, ErrorKind, Failure, Fingerprint, Profile, RequestMeta, Service, ServiceKind,
    Time, WorkspaceName,
};
use pimentotide_upstream::block_hashes;

/// A resolved request with its profile.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// Request as received from the caller.
    pub(super) call: Call,
    /// Attributes for placement, with limits of the profile applied.
    pub(super) meta: RequestMeta,
    /// Profile in force when the request arrived.
    pub(super) profile: Profile,
}

/// Resolves a call that arrived at `now`.
///
/// # Errors
///
/// Fails if the workspace, service or model is not declared.
pub(super) fn resolve(
    call: Call,
    fallback: Option<&WorkspaceName>,
    declarations: &Declarations,
    now: Time,
) -> Result<Job, Failure> {
    let service = service_of(&call, declarations)?;
    let workspace = workspace_of(&call, fallback, service, declarations)?;
    let profile = declarations
        .profiles
        .get(&service.profile)
        .ok_or_else(|| Failure::new(ErrorKind::NotFound, "the service has no profile"))?;
    check_adapter(&call, profile)?;
    let meta = RequestMeta {
        id: call.id,
        workspace,
        service: service.name.clone(),
        model: call.model.clone(),
        version: call.version.clone().or_else(|| profile.version.clone()),
        adapter: call.adapter.clone(),
        priority: call
            .priority
            .map_or(profile.priority, |p| p.min(profile.priority)),
        deadline: now + time_limit(&call, profile),
        idempotent: profile.idempotent || is_safe(&call),
        key: call.key.clone(),
        fingerprint: fingerprint(&call),
        prefix: block_hashes(&call.prompt),
        stream: call.stream,
    };
    Ok(Job {
        call,
        meta,
        profile: profile.clone(),
    })
}

fn service_of<'a>(call: &Call, declarations: &'a Declarations) -> Result<&'a Service, Failure> {
    let Some(model) = &call.model else {
        let name = call.service.as_ref();
        let found = name.and_then(|n| declarations.services.get(n));
        return found
            .filter(|s| s.kind == ServiceKind::Plain)
            .ok_or_else(|| {
                let name = name.map_or("", |n| n.as_str());
                Failure::new(ErrorKind::NotFound, format!("no plain service {name:?}"))
            });
    };
    let found = match &call.service {
        Some(name) => declarations.services.get(name).filter(|s| {
            let profile = declarations.profiles.get(&s.profile);
            profile.is_some_and(|p| p.model.as_ref() == Some(model))
        }),
        None => declarations.service_for(model),
    };
    found.ok_or_else(|| {
        Failure::new(
            ErrorKind::UnknownModel,
            format!("no service serves model {model}"),
        )
    })
}

fn workspace_of(
    call: &Call,
    fallback: Option<&WorkspaceName>,
    service: &Service,
    declarations: &Declarations,
) -> Result<WorkspaceName, Failure> {
    let Some(name) = call.workspace.as_ref().or(fallback) else {
        let detail = "no workspace; name one in the header x-workspace";
        return Err(Failure::new(ErrorKind::UnknownWorkspace, detail));
    };
    if declarations.workspaces.is_empty() {
        return Ok(name.clone());
    }
    let unknown = |what: String| Err(Failure::new(ErrorKind::UnknownWorkspace, what));
    let Some(workspace) = declarations.workspaces.get(name) else {
        return unknown(format!("no workspace {name}"));
    };
    if !workspace.services.is_empty() && !workspace.services.contains(&service.name) {
        return unknown(format!(
            "workspace {name} may not use service {}",
            service.name
        ));
    }
    Ok(name.clone())
}

fn check_adapter(call: &Call, profile: &Profile) -> Result<(), Failure> {
    match &call.adapter {
        Some(adapter) if !profile.adapters.contains(adapter) => Err(Failure::new(
            ErrorKind::UnknownModel,
            format!("adapter {adapter} is not in profile {}", profile.name),
        )),
        _ => Ok(()),
    }
}

fn time_limit(call: &Call, profile: &Profile) -> Duration {
    call.deadline
        .map_or(profile.deadline, |d| d.min(profile.deadline))
}

/// Whether HTTP defines the method as safe, so that it may be retried under any profile.
fn is_safe(call: &Call) -> bool {
    matches!(call.method.as_str(), "GET" | "HEAD" | "OPTIONS")
}

fn fingerprint(call: &Call) -> Fingerprint {
    Fingerprint::of([
        call.method.as_bytes(),
        call.path.as_bytes(),
        call.body.as_ref(),
    ])
}
