//! Which instance a request is for.

use std::net::SocketAddr;

use super::state::State;
use crate::{
    job::{Id, Incarnation, Key, Ticket},
    owner::Holder,
    settings::Domain,
};

/// Times that a request is passed on: to the home domain, and inside it.
pub(super) const MAX_HOPS: u8 = 2;

/// Which instance a request is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// This one.
    Here,
    /// Any of these, the first one first.
    Peers(Vec<SocketAddr>),
    /// Not known at present.
    Wait,
    /// None that will ever answer.
    Gone,
}

/// Which instance a request for `id` is for.
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
        // A new instance has not heard of all peers yet.
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
            // Somebody takes the shard over soon.
            None => Route::Wait,
        },
        Holder::Nobody => Route::Wait,
    }
}

/// Entry instances of another domain, beginning with another one each time.
fn elsewhere(state: &State, domain: Domain) -> Route {
    let mut addresses = state.membership.entries(domain);
    if addresses.is_empty() {
        return Route::Wait;
    }
    let first = state.turn() % addresses.len();
    addresses.rotate_left(first);
    Route::Peers(addresses)
}

/// Address of a live peer of this domain.
pub(super) fn peer(state: &State, incarnation: Incarnation) -> Option<SocketAddr> {
    let peer = state.membership.find(incarnation)?;
    Some(peer.identity.address)
}
