//! The part of the declarations that is kept as a document under version control.

use std::collections::BTreeMap;

use pimentotide_model::{
    Declarations, Profile, ProfileName, Service, ServiceName, Workspace, WorkspaceName,
};
use serde::{Deserialize, Serialize};

/// Profiles, services and workspaces of one document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Profiles by name.
    pub profiles: BTreeMap<ProfileName, Profile>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, Workspace>,
}

impl Document {
    /// Extracts the document in force.
    pub fn of(declarations: &Declarations) -> Self {
        Self {
            profiles: declarations.profiles.clone(),
            services: declarations.services.clone(),
            workspaces: declarations.workspaces.clone(),
        }
    }

    /// Extracts one profile as a document of its own; `None` if it is not declared.
    pub fn of_profile(declarations: &Declarations, name: &ProfileName) -> Option<Self> {
        let profile = declarations.profiles.get(name)?.clone();
        let mut document = Self::default();
        document.profiles.insert(name.clone(), profile);
        Some(document)
    }

    /// Merges the document into `declarations`; its items replace those of the same name.
    ///
    /// With `prune`, items that the document does not name are removed.
    pub fn merge_into(&self, declarations: &mut Declarations, prune: bool) {
        if prune {
            declarations.profiles.clear();
            declarations.services.clear();
            declarations.workspaces.clear();
        }
        declarations.profiles.extend(self.profiles.clone());
        declarations.services.extend(self.services.clone());
        declarations.workspaces.extend(self.workspaces.clone());
    }
}
