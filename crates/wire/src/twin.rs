//! Wire types: a twin for each domain type, with `From` and `TryFrom` between the two.
//!
//! Keeping them apart lets the domain types change their layout without changing what goes over
//! the network, and forces every name and id from outside through its own check.

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

/// Why a decoded value is no domain value.
#[derive(Debug, Snafu)]
pub enum ValueError {
    /// A name breaks the rules for names.
    #[snafu(display("found a bad name: {source}"))]
    BadName {
        /// The rule that is broken.
        source: NameError,
    },
    /// A request id is not a UUIDv7.
    #[snafu(display("found a bad request id: {source}"))]
    BadRequestId {
        /// What is wrong with the id.
        source: RequestIdError,
    },
}

/// Converts one field to and from its wire form.
///
/// Numbers, names and containers belong to other crates, so `From` cannot be written for them
/// here; the twins themselves have `From` and `TryFrom`.
pub(crate) trait Field<W>: Sized {
    /// Returns the wire form.
    fn to_wire(self) -> W;

    /// Checks the wire form and returns the domain value.
    fn from_wire(wire: W) -> Result<Self, ValueError>;
}

macro_rules! plain_fields {
    ($($plain:ty),*) => {$(
        impl Field<$plain> for $plain {
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
        impl Field<$inner> for $domain {
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
        impl Field<String> for $name {
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

impl Field<u128> for RequestId {
    fn to_wire(self) -> u128 {
        self.as_u128()
    }

    fn from_wire(wire: u128) -> Result<Self, ValueError> {
        Self::try_from(Uuid::from_u128(wire)).context(BadRequestIdSnafu)
    }
}

impl<W, D: Field<W>> Field<Vec<W>> for Vec<D> {
    fn to_wire(self) -> Vec<W> {
        self.into_iter().map(D::to_wire).collect()
    }

    fn from_wire(wire: Vec<W>) -> Result<Self, ValueError> {
        wire.into_iter().map(D::from_wire).collect()
    }
}

impl<W, D: Field<W>> Field<Option<W>> for Option<D> {
    fn to_wire(self) -> Option<W> {
        self.map(D::to_wire)
    }

    fn from_wire(wire: Option<W>) -> Result<Self, ValueError> {
        wire.map(D::from_wire).transpose()
    }
}

impl<V, W, C: Field<V>, D: Field<W>> Field<(V, W)> for (C, D) {
    fn to_wire(self) -> (V, W) {
        (self.0.to_wire(), self.1.to_wire())
    }

    fn from_wire(wire: (V, W)) -> Result<Self, ValueError> {
        Ok((C::from_wire(wire.0)?, D::from_wire(wire.1)?))
    }
}

/// Defines a twin of a domain type, with `From`, `TryFrom` and [`Field`].
///
/// The order of fields and variants is the encoding; a change of it needs a new version byte.
/// Variants of wire enums are tuples, as bincode's derive loses named ones inside a macro.
macro_rules! twin {
    (struct $wire:ident = $domain:ident { $($field:ident: $form:ty),* $(,)? }) => {
        #[derive(Debug, ::bincode::Encode, ::bincode::Decode)]
        pub(crate) struct $wire {
            $($field: $form,)*
        }

        impl From<$domain> for $wire {
            fn from(value: $domain) -> Self {
                Self { $($field: $crate::twin::Field::to_wire(value.$field),)* }
            }
        }

        impl TryFrom<$wire> for $domain {
            type Error = $crate::twin::ValueError;

            fn try_from(wire: $wire) -> Result<Self, Self::Error> {
                Ok(Self { $($field: $crate::twin::Field::from_wire(wire.$field)?,)* })
            }
        }

        $crate::twin::twin!(field $wire = $domain);
    };
    (enum $wire:ident = $domain:ident {
        $($variant:ident $(($one:ident: $one_form:ty))? $({ $($field:ident: $form:ty),* $(,)? })?),*
        $(,)?
    }) => {
        #[derive(Debug, ::bincode::Encode, ::bincode::Decode)]
        pub(crate) enum $wire {
            $($variant $(($one_form))? $(($($form),*))?,)*
        }

        impl From<$domain> for $wire {
            fn from(value: $domain) -> Self {
                match value {$(
                    $domain::$variant $(($one))? $({ $($field),* })? => Self::$variant
                        $(($crate::twin::Field::to_wire($one)))?
                        $(($($crate::twin::Field::to_wire($field)),*))?,
                )*}
            }
        }

        impl TryFrom<$wire> for $domain {
            type Error = $crate::twin::ValueError;

            fn try_from(wire: $wire) -> Result<Self, Self::Error> {
                Ok(match wire {$(
                    $wire::$variant $(($one))? $(($($field),*))? => Self::$variant
                        $(($crate::twin::Field::from_wire($one)?))?
                        $({ $($field: $crate::twin::Field::from_wire($field)?,)* })?,
                )*})
            }
        }

        $crate::twin::twin!(field $wire = $domain);
    };
    (field $wire:ident = $domain:ident) => {
        impl $crate::twin::Field<$wire> for $domain {
            fn to_wire(self) -> $wire {
                self.into()
            }

            fn from_wire(wire: $wire) -> Result<Self, $crate::twin::ValueError> {
                wire.try_into()
            }
        }
    };
}

use twin;
