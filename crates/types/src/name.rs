use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Implemented by all name types, which are shared immutable strings.
pub trait Name: Deref<Target = str> {}

/// Defines a name type; separate types prevent that a team is passed where a host is expected.
macro_rules! name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl Name for $name {}

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

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name! {
    /// A customer, whose prompts, cached context and responses are isolated from other teams.
    Team
}
name! {
    /// A software version of the targets of a service, which is not that of their weights.
    Build
}
name! {
    /// A machine.
    Host
}
name! {
    /// A failure domain: hosts that can fail or be taken out together.
    Domain
}
name! {
    /// A group of failure domains with low latency between them.
    Region
}
name! {
    /// A back end: a model engine or one instance of a plain service.
    Target
}
name! {
    /// A model that callers name in a request.
    Model
}
name! {
    /// A weight version of a model.
    Weights
}
name! {
    /// A plain service beside the model engines.
    Service
}
name! {
    /// A call of a plain service.
    Call
}
name! {
    /// A store host: a host with a cache server that holds cached context.
    Store
}
