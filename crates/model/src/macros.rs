//! Macros for recurring definitions: common derives, number newtypes and chained setters.

/// Derives the common traits of a type.
///
/// `value` is for small `Copy` types that are used as keys; `data` is for types that own data.
#[macro_export]
macro_rules! derive_common {
    (value $(#[$meta:meta])* $vis:vis $kind:ident $name:ident $($rest:tt)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(::serde::Serialize, ::serde::Deserialize)]
        $(#[$meta])* $vis $kind $name $($rest)*
    };
    (data $(#[$meta:meta])* $vis:vis $kind:ident $name:ident $($rest:tt)*) => {
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(::serde::Serialize, ::serde::Deserialize)]
        $(#[$meta])* $vis $kind $name $($rest)*
    };
}

/// Defines a newtype of an unsigned integer with the common derives and the integer's `Display`.
#[macro_export]
macro_rules! number_type {
    ($(#[$meta:meta])* $vis:vis struct $name:ident($inner:ty);) => {
        $crate::derive_common! {
            value
            $(#[$meta])*
            #[derive(Default)]
            #[serde(transparent)]
            $vis struct $name(pub $inner);
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                ::std::fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

/// Defines chained setters, one per listed field, inside an `impl` block.
#[macro_export]
macro_rules! setters {
    ($($(#[$meta:meta])* $name:ident: $kind:ty),* $(,)?) => {$(
        $(#[$meta])*
        #[must_use]
        pub fn $name(mut self, value: $kind) -> Self {
            self.$name = value;
            self
        }
    )*};
}
