use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Defines a random 128-bit identifier that is never reused.
macro_rules! random_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u128);

        // JSON has no 128-bit numbers, so human-readable formats carry the id as hex digits.
        impl Serialize for $name {
            fn serialize<Format>(&self, format: Format) -> Result<Format::Ok, Format::Error>
            where
                Format: Serializer,
            {
                if format.is_human_readable() {
                    return format.collect_str(self);
                }
                format.serialize_u128(self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<Format>(format: Format) -> Result<Self, Format::Error>
            where
                Format: Deserializer<'de>,
            {
                if !format.is_human_readable() {
                    return u128::deserialize(format).map(Self);
                }
                let text = String::deserialize(format)?;
                u128::from_str_radix(&text, 16).map(Self).map_err(serde::de::Error::custom)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }
    };
}

/// Defines a number that only increases.
macro_rules! counter {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

random_id! {
    /// Identifies a caller's request; a late response or one of another request is detected by it.
    Request
}
random_id! {
    /// Identifies one attempt at running a request on a target.
    Attempt
}
counter! {
    /// The version of an accepted configuration.
    Version
}
counter! {
    /// The incarnation of a process; each start takes a greater number.
    Incarnation
}
counter! {
    /// A fencing token; a receiver refuses an order whose token is smaller than one it has seen.
    Fence
}
counter! {
    /// The boot id of an engine; a change means that its caches are empty and it is cold again.
    Boot
}
