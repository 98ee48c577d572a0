//! Names of things. Each id is its own type, so that one cannot stand in for another.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Declares one id: a cheaply cloned, ordered string.
macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Takes `text` as an id. Costs one allocation; clones cost none.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The id as text.
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
    /// A VM, as the platform's list names it.
    VmId
);
string_id!(
    /// A part of the fleet that can be cut off as a whole.
    FailureDomain
);
string_id!(
    /// VMs joined by one fast interconnect; a replica never spans two.
    FabricDomain
);
string_id!(
    /// A customer whose requests are admitted and limited together.
    ClientAccount
);
string_id!(
    /// What requests are sent to: one replica of a model, or one instance of a plain service.
    UpstreamId
);
string_id!(
    /// An entry VM's daemon.
    EntryId
);
string_id!(
    /// A replica group of VMs. Never used again after its release.
    GroupId
);
string_id!(
    /// The name callers ask a model by.
    ModelName
);
string_id!(
    /// The name callers ask a plain service by.
    ServiceName
);
string_id!(
    /// One request of one caller.
    RequestId
);
string_id!(
    /// The secret a caller proves its account with. Never logged.
    AccountToken
);
