//! Operators' requests.
