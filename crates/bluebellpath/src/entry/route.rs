//! Routing of requests to the home instance of an id.

use std::net::SocketAddr;

use super::state::State;
use crate::{
    job::{Id, Incarnation, Key, Ticket},
    owner::Holder,
    settings::Domain,
};

/// Maximum number of times that a request is forwarded: to the home domain, and
/// within it.
pub(super) const MAX_HOPS: u8 = 2;

/// Destination of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// This instance.
    Local,
    /// Any of these instances, in order of preference.
    Peers(Vec<SocketAddr>),
    /// The home instance is unknown at present.
    Unknown,
    /// The home instance is gone for good.
    Gone,
}

/// Returns the destination of a request for `id`.
pub(super) fn route(state: &State, id: &Id) -> Route {
    match id {
        Id::Ticket(ticket) => ticket_route(state, ticket),
        Id::Key(key) => key_route(state, key),
    }
}

fn ticket_route(state: &State, ticket: &Ticket) -> Route {
    if ticket.incarnation == state.config.incarnation {
        return Route::Local;
    }
    if ticket.domain != state.config.domain {
        return domain_route(state, ticket.domain);
    }
    match peer_address(state, ticket.incarnation) {
        Some(address) => Route::Peers(vec![address]),
        // A new instance may not know all peers yet.
        None if !state.claims.has_joined() => Route::Unknown,
        None => Route::Gone,
    }
}

fn key_route(state: &State, key: &Key) -> Route {
    let home = key.home_domain(state.config.domain_count);
    if home != state.config.domain {
        return domain_route(state, home);
    }
    match state.claims.holder(key) {
        Holder::Here => Route::Local,
        Holder::Other(holder) => match peer_address(state, holder) {
            Some(address) => Route::Peers(vec![address]),
            // Another instance will take the shard over soon.
            None => Route::Unknown,
        },
        Holder::Nobody => Route::Unknown,
    }
}

/// Returns the route to the entry instances of another domain, rotated by one on
/// each call to spread the load.
fn domain_route(state: &State, domain: Domain) -> Route {
    let mut addresses = state.membership.entries(domain);
    if addresses.is_empty() {
        return Route::Unknown;
    }
    let first = state.next_rotation() % addresses.len();
    addresses.rotate_left(first);
    Route::Peers(addresses)
}

/// Returns the address of a live peer in this domain.
pub(super) fn peer_address(state: &State, incarnation: Incarnation) -> Option<SocketAddr> {
    let peer = state.membership.find(incarnation)?;
    Some(peer.identity.address)
}
