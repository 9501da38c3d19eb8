//! Crate.
