//! Malformed requests.
