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
    Here,
    /// Any of these instances, in order of preference.
    Peers(Vec<SocketAddr>),
    /// The home instance is unknown at present.
    Wait,
    /// The home instance is gone for good.
    Gone,
}

/// Returns the destination of a request for `id`.
pub(super) fn route(state: &State, id: &Id) -> Route {
    match id {
        Id::Ticket(ticket) => of_ticket(state, ticket),
        Id::Key(key) => of_key(state, key),
    }
}

fn of_ticket(state: &State, ticket: &Ticket) -> Route {
    if ticket.incarnation == state.config.incarnation {
        return Route::Here;
    }
    if ticket.domain != state.config.domain {
        return elsewhere(state, ticket.domain);
    }
    match peer(state, ticket.incarnation) {
        Some(address) => Route::Peers(vec![address]),
        // A new instance may not know all peers yet.
        None if !state.claims.has_joined() => Route::Wait,
        None => Route::Gone,
    }
}

fn of_key(state: &State, key: &Key) -> Route {
    let home = key.home_domain(state.config.domain_count);
    if home != state.config.domain {
        return elsewhere(state, home);
    }
    match state.claims.holder(key) {
        Holder::Here => Route::Here,
        Holder::Other(holder) => match peer(state, holder) {
            Some(address) => Route::Peers(vec![address]),
            // Another instance will take the shard over soon.
            None => Route::Wait,
        },
        Holder::Nobody => Route::Wait,
    }
}

/// Returns the route to the entry instances of another domain, rotated by one on
/// each call to spread the load.
fn elsewhere(state: &State, domain: Domain) -> Route {
    let mut addresses = state.membership.entries(domain);
    if addresses.is_empty() {
        return Route::Wait;
    }
    let first = state.turn() % addresses.len();
    addresses.rotate_left(first);
    Route::Peers(addresses)
}

/// Returns the address of a live peer in this domain.
pub(super) fn peer(state: &State, incarnation: Incarnation) -> Option<SocketAddr> {
    let peer = state.membership.find(incarnation)?;
    Some(peer.identity.address)
}
