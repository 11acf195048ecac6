//! Names that operators choose: short, immutable, shared strings with a restricted character set.

use std::borrow::Borrow;
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Why a string is not a valid name.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NameError {
    /// The string is empty or too long.
    #[snafu(display("found {found} bytes, expected 1 to {MAX_NAME_BYTES}"))]
    Length {
        /// Length of the string in bytes.
        found: usize,
    },
    /// The string contains a character that is not allowed in names.
    #[snafu(display("found the character {found:?}, expected a-z, 0-9 or '-'"))]
    Character {
        /// The first such character.
        found: char,
    },
}

/// A valid name: 1 to 64 characters from `a-z`, `0-9` and `-`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

impl Name {
    /// Returns `text` as a name if it is valid.
    pub fn new(text: &str) -> Result<Self, NameError> {
        let length = text.len();
        ensure!((1..=MAX_NAME_BYTES).contains(&length), LengthSnafu { found: length });
        let invalid = text.chars().find(|c| !matches!(c, 'a'..='z' | '0'..='9' | '-'));
        match invalid {
            Some(found) => CharacterSnafu { found }.fail(),
            None => Ok(Self(text.into())),
        }
    }

    /// Returns a placeholder for an unknown name.
    pub fn unnamed() -> Self {
        Self("unnamed".into())
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        Self::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.as_ref().to_owned()
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Name);

        impl $name {
            /// Returns `text` as a name if it is valid.
            pub fn new(text: &str) -> Result<Self, NameError> {
                Name::new(text).map(Self)
            }
        }

        impl From<Name> for $name {
            fn from(name: Name) -> Self {
                Self(name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl Deref for $name {
            type Target = Name;

            fn deref(&self) -> &Name {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                self.as_str()
            }
        }
    };
}

name_type! {
    /// The name of a service: all backend servers of one kind.
    ServiceName
}
name_type! {
    /// The name of an availability zone.
    ZoneName
}
name_type! {
    /// The name of a region, which holds one or more availability zones.
    RegionName
}
