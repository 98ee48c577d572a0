//! Identifiers. Each kind has its own type, so that the compiler rejects a mix-up.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Declares an id type: an ordered string that is cheap to clone.
macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates an id from `text`. Allocates once; clones do not allocate.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self::new("")
            }
        }
    };
}

string_id!(
    /// A VM, by its name in the platform's VM list.
    VmId
);
string_id!(
    /// A part of the fleet that can fail or be partitioned as a whole.
    FailureDomain
);
string_id!(
    /// A group of failure domains in one place, within which data may have to stay.
    Region
);
string_id!(
    /// VMs on one fast interconnect; a replica never spans two fabric domains.
    FabricDomain
);
string_id!(
    /// A client account; its requests are admitted and limited together.
    ClientAccount
);
string_id!(
    /// A target of requests: one replica of a model, or one instance of a plain service.
    UpstreamId
);
string_id!(
    /// The daemon of an entry VM.
    EntryId
);
string_id!(
    /// A replica group of VMs. Its id is never reused after its release.
    GroupId
);
string_id!(
    /// The name of a model in requests.
    ModelName
);
string_id!(
    /// The name of a plain service in requests.
    ServiceName
);
string_id!(
    /// A part of a prompt that requests share, such as a common instruction.
    PromptPartId
);
string_id!(
    /// A single request of a caller.
    RequestId
);
string_id!(
    /// The secret that authenticates a caller as a member of its account. Never logged.
    AccountToken
);
