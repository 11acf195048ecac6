//! Wire types: a serializable counterpart of each domain type, with `From` and `TryFrom` between
//! the two.
//!
//! The separation allows the layout of domain types to change without affecting the encoding, and
//! ensures that every received name and id is validated.

mod call;
mod ownership;

use std::net::SocketAddr;

use model::{
    ConfigVersion, Epoch, Fence, HostAddr, Incarnation, Millis, NameError, Partition, RequestId,
    RequestIdError, RowVersion, ServiceName, WriterTag, ZoneName,
};
use snafu::{ResultExt, Snafu};
use uuid::Uuid;

pub(crate) use call::{WireCall, WireForwardHead, WireOutcome, WireReply};

/// Why a wire value is not a valid domain value.
#[derive(Debug, Snafu)]
pub enum ValueError {
    /// A name is invalid.
    #[snafu(display("invalid name: {source}"))]
    BadName {
        /// The validation error.
        source: NameError,
    },
    /// A request id is not a UUIDv7.
    #[snafu(display("invalid request id: {source}"))]
    BadRequestId {
        /// The validation error.
        source: RequestIdError,
    },
}

/// Converts a field to and from its wire type.
///
/// Numbers, names and containers are defined in other crates, so the orphan rule forbids `From`
/// impls for them here. The wire types that this crate defines have `From` and `TryFrom`.
pub(crate) trait WireField<W>: Sized {
    /// Converts the value to its wire type.
    fn to_wire(self) -> W;

    /// Validates a wire value and converts it to the domain type.
    fn from_wire(wire: W) -> Result<Self, ValueError>;
}

macro_rules! plain_fields {
    ($($plain:ty),*) => {$(
        impl WireField<$plain> for $plain {
            fn to_wire(self) -> $plain {
                self
            }

            fn from_wire(wire: $plain) -> Result<Self, ValueError> {
                Ok(wire)
            }
        }
    )*};
}

macro_rules! newtype_fields {
    ($($domain:ident: $inner:ty),*) => {$(
        impl WireField<$inner> for $domain {
            fn to_wire(self) -> $inner {
                self.0
            }

            fn from_wire(wire: $inner) -> Result<Self, ValueError> {
                Ok(Self(wire))
            }
        }
    )*};
}

macro_rules! name_fields {
    ($($name:ident),*) => {$(
        impl WireField<String> for $name {
            fn to_wire(self) -> String {
                self.as_str().to_owned()
            }

            fn from_wire(wire: String) -> Result<Self, ValueError> {
                Self::new(&wire).context(BadNameSnafu)
            }
        }
    )*};
}

plain_fields!(bool, u8, u16, u32, u64, String);
newtype_fields!(Partition: u32, Fence: u64, Epoch: u64, Incarnation: u64, RowVersion: u64);
newtype_fields!(ConfigVersion: u64, WriterTag: u64, Millis: u64, HostAddr: SocketAddr);
name_fields!(ServiceName, ZoneName);

impl WireField<u128> for RequestId {
    fn to_wire(self) -> u128 {
        self.as_u128()
    }

    fn from_wire(wire: u128) -> Result<Self, ValueError> {
        Self::try_from(Uuid::from_u128(wire)).context(BadRequestIdSnafu)
    }
}

impl<W, D: WireField<W>> WireField<Vec<W>> for Vec<D> {
    fn to_wire(self) -> Vec<W> {
        self.into_iter().map(D::to_wire).collect()
    }

    fn from_wire(wire: Vec<W>) -> Result<Self, ValueError> {
        wire.into_iter().map(D::from_wire).collect()
    }
}

impl<W, D: WireField<W>> WireField<Option<W>> for Option<D> {
    fn to_wire(self) -> Option<W> {
        self.map(D::to_wire)
    }

    fn from_wire(wire: Option<W>) -> Result<Self, ValueError> {
        wire.map(D::from_wire).transpose()
    }
}

impl<V, W, C: WireField<V>, D: WireField<W>> WireField<(V, W)> for (C, D) {
    fn to_wire(self) -> (V, W) {
        (self.0.to_wire(), self.1.to_wire())
    }

    fn from_wire(wire: (V, W)) -> Result<Self, ValueError> {
        Ok((C::from_wire(wire.0)?, D::from_wire(wire.1)?))
    }
}

/// Defines the wire type of a domain type, with `From`, `TryFrom` and [`WireField`].
///
/// The order of fields and variants determines the encoding, so changing it requires a new version
/// byte. Variants of wire enums are tuples, because bincode's derive doesn't handle variants with
/// named fields inside a macro.
macro_rules! wire_type {
    (struct $wire:ident = $domain:ident { $($field:ident: $wire_field:ty),* $(,)? }) => {
        #[derive(Debug, ::bincode::Encode, ::bincode::Decode)]
        pub(crate) struct $wire {
            $($field: $wire_field,)*
        }

        impl From<$domain> for $wire {
            fn from(value: $domain) -> Self {
                Self { $($field: $crate::wire_types::WireField::to_wire(value.$field),)* }
            }
        }

        impl TryFrom<$wire> for $domain {
            type Error = $crate::wire_types::ValueError;

            fn try_from(wire: $wire) -> Result<Self, Self::Error> {
                Ok(Self { $($field: $crate::wire_types::WireField::from_wire(wire.$field)?,)* })
            }
        }

        $crate::wire_types::wire_type!(field $wire = $domain);
    };
    (enum $wire:ident = $domain:ident {
        $($variant:ident
            $(($inner:ident: $wire_inner:ty))?
            $({ $($field:ident: $wire_field:ty),* $(,)? })?
        ),*
        $(,)?
    }) => {
        #[derive(Debug, ::bincode::Encode, ::bincode::Decode)]
        pub(crate) enum $wire {
            $($variant $(($wire_inner))? $(($($wire_field),*))?,)*
        }

        impl From<$domain> for $wire {
            fn from(value: $domain) -> Self {
                match value {$(
                    $domain::$variant $(($inner))? $({ $($field),* })? => Self::$variant
                        $(($crate::wire_types::WireField::to_wire($inner)))?
                        $(($($crate::wire_types::WireField::to_wire($field)),*))?,
                )*}
            }
        }

        impl TryFrom<$wire> for $domain {
            type Error = $crate::wire_types::ValueError;

            fn try_from(wire: $wire) -> Result<Self, Self::Error> {
                Ok(match wire {$(
                    $wire::$variant $(($inner))? $(($($field),*))? => Self::$variant
                        $(($crate::wire_types::WireField::from_wire($inner)?))?
                        $({ $($field: $crate::wire_types::WireField::from_wire($field)?,)* })?,
                )*})
            }
        }

        $crate::wire_types::wire_type!(field $wire = $domain);
    };
    (field $wire:ident = $domain:ident) => {
        impl $crate::wire_types::WireField<$wire> for $domain {
            fn to_wire(self) -> $wire {
                self.into()
            }

            fn from_wire(wire: $wire) -> Result<Self, $crate::wire_types::ValueError> {
                wire.try_into()
            }
        }
    };
}

use wire_type;
