use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Marks the types that are shared immutable names.
pub trait Name: Deref<Target = str> {}

/// Defines a kind of name; separate types keep a team from being passed where a host is meant.
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
    /// A customer whose prompts, context and answers are kept apart from all others.
    Team
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
    /// A group of failure domains that is close together.
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
    /// A store host that holds kept context.
    Store
}
