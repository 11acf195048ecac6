//! Identity and priority of a request.

use std::fmt;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use uuid::Uuid;

use crate::Millis;

crate::derive_common! {
    value
    /// The priority class of a request, from highest to lowest.
    #[serde(rename_all = "kebab-case")]
    pub enum Priority {
        /// A user is waiting for the response.
        Interactive,
        /// The caller tolerates some delay.
        Deferrable,
        /// Traffic between services, which must never delay the other classes.
        Internal,
    }
}

/// Why a string is not a valid request id.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RequestIdError {
    /// The string is not a UUID.
    #[snafu(display("expected a UUIDv7: {source}"))]
    Syntax {
        /// The parse error.
        source: uuid::Error,
    },
    /// The UUID has another version.
    #[snafu(display("found a UUID of version {found}, expected version 7"))]
    Version {
        /// The version that was found.
        found: usize,
    },
}

/// Identifies one logical request: a UUIDv7 that the caller reuses for every retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(u128);

impl RequestId {
    /// Parses the string representation of a UUIDv7.
    pub fn parse(text: &str) -> Result<Self, RequestIdError> {
        let uuid = Uuid::try_parse(text).context(SyntaxSnafu)?;
        Self::try_from(uuid)
    }

    /// Returns when the id was minted, in wall-clock milliseconds since the Unix epoch.
    pub fn minted_at(self) -> Millis {
        let millis = self.0 >> 80;
        Millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Returns the id as a number.
    pub fn as_u128(self) -> u128 {
        self.0
    }
}

impl TryFrom<Uuid> for RequestId {
    type Error = RequestIdError;

    fn try_from(uuid: Uuid) -> Result<Self, RequestIdError> {
        let found = uuid.get_version_num();
        ensure!(found == 7, VersionSnafu { found });
        Ok(Self(uuid.as_u128()))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Uuid::from_u128(self.0).fmt(f)
    }
}
