//! Names as immutable, reference-counted strings that are cheap to clone and share.

use std::borrow::Borrow;
use std::sync::Arc;

use derive_more::{AsRef, Deref, Display};
use serde::{Deserialize, Serialize};

/// Maximum length of a valid name.
const MAX_NAME_BYTES: usize = 128;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, Deref, AsRef, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[as_ref(str)]
        #[deref(forward)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns whether `text` is a valid name of this kind.
            pub fn is_valid(text: &str) -> bool {
                is_valid_name(text)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }
    )*};
}

names! {
    /// Name of a region.
    RegionName;
    /// Name of an availability zone.
    ZoneName;
    /// Name of an instance that runs a process of this deployment.
    InstanceName;
    /// Name of an upstream.
    UpstreamName;
    /// Name of a workspace.
    WorkspaceName;
    /// Name of a profile.
    ProfileName;
    /// Name of a service.
    ServiceName;
    /// Name of a model.
    ModelName;
    /// Name of a version of a model.
    VersionName;
    /// Name of an adapter.
    AdapterName;
    /// Name of a group of ranks.
    GroupName;
}

/// Returns whether `text` is 1 to 128 ASCII letters, digits or any of `-_./:`.
fn is_valid_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'/' | b':'))
}
