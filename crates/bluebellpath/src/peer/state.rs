/*!
State of a peer as this instance sees it.

```text
 listed ──heard──▶ live ──suspect──▶ silent ──timeout──▶ gone
                    ▲                  │                  │
                    └──────heard───────┴──────────────────┘
```

Of a listed peer only the address is known. Nothing is sent to a peer that is
gone. A newer incarnation under the same name starts as a new peer at once, and
heartbeats of the older one are refused from then on.
*/

use std::rc::Rc;

use bluebellpath_runtime::Instant;

use super::{Heartbeat, Identity, Phase, gossip::ShortId};

/// Known peer in the state `S`.
#[derive(Clone, Debug)]
pub struct TrackedPeer<S> {
    /// Identity of the peer.
    pub identity: Identity,
    /// Short id of its incarnation.
    pub short_id: ShortId,
    /// Its last heartbeat.
    pub heartbeat: Rc<Heartbeat>,
    /// Last sign of peer, direct or relayed.
    pub last_heard: Instant,
    /// Data of this state.
    pub state: S,
}

/// Heard from within the suspect limit.
#[derive(Clone, Copy, Debug)]
pub struct Live;

/// Not heard from for longer than the suspect limit; probed directly.
#[derive(Clone, Copy, Debug)]
pub struct Silent {
    /// Time at which the peer entered this state.
    pub since: Instant,
}

/// Not heard from for longer than the timeout, or stopped by its own report.
#[derive(Clone, Copy, Debug)]
pub struct Gone {
    /// Time at which the peer entered this state.
    pub since: Instant,
}

impl TrackedPeer<Live> {
    /// Live peer whose heartbeat arrived at `last_heard`.
    pub fn new(heartbeat: Heartbeat, last_heard: Instant) -> TrackedPeer<Live> {
        TrackedPeer {
            identity: heartbeat.from.clone(),
            short_id: ShortId::of(heartbeat.from.incarnation),
            heartbeat: Rc::new(heartbeat),
            last_heard,
            state: Live,
        }
    }

    /// Marks the peer as silent.
    pub fn into_silent(self, since: Instant) -> TrackedPeer<Silent> {
        self.into_state(Silent { since })
    }
}

impl TrackedPeer<Silent> {
    /// Marks the peer as gone after the timeout.
    pub fn into_gone(self, since: Instant) -> TrackedPeer<Gone> {
        self.into_state(Gone { since })
    }
}

impl<S> TrackedPeer<S> {
    /// Marks the peer as live after a sign of peer at `at`.
    pub fn into_live(self, at: Instant) -> TrackedPeer<Live> {
        let last_heard = self.last_heard.max(at);
        TrackedPeer {
            last_heard,
            ..self.into_state(Live)
        }
    }

    /// Marks the peer as gone after it reported that it stops.
    pub fn into_left(self, since: Instant) -> TrackedPeer<Gone> {
        self.into_state(Gone { since })
    }

    fn into_state<T>(self, state: T) -> TrackedPeer<T> {
        TrackedPeer {
            identity: self.identity,
            short_id: self.short_id,
            heartbeat: self.heartbeat,
            last_heard: self.last_heard,
            state,
        }
    }
}

/// Known peer in any state.
#[derive(Clone, Debug)]
pub enum PeerState {
    /// Heard from within the suspect limit.
    Live(TrackedPeer<Live>),
    /// Not heard from for longer than the suspect limit.
    Silent(TrackedPeer<Silent>),
    /// Stopped, or not heard from for longer than the timeout.
    Gone(TrackedPeer<Gone>),
}

impl PeerState {
    /// State after `heartbeat` arrived at `now`.
    pub fn new(heartbeat: Heartbeat, now: Instant) -> PeerState {
        let left = heartbeat.phase == Phase::Left;
        let peer = TrackedPeer::new(heartbeat, now);
        match left {
            true => PeerState::Gone(peer.into_left(now)),
            false => PeerState::Live(peer),
        }
    }

    /// Identity of the peer.
    pub fn identity(&self) -> &Identity {
        match self {
            PeerState::Live(it) => &it.identity,
            PeerState::Silent(it) => &it.identity,
            PeerState::Gone(it) => &it.identity,
        }
    }

    /// Its last heartbeat.
    pub fn heartbeat(&self) -> &Rc<Heartbeat> {
        match self {
            PeerState::Live(it) => &it.heartbeat,
            PeerState::Silent(it) => &it.heartbeat,
            PeerState::Gone(it) => &it.heartbeat,
        }
    }

    /// Last sign of peer, direct or relayed.
    pub fn last_heard(&self) -> Instant {
        match self {
            PeerState::Live(it) => it.last_heard,
            PeerState::Silent(it) => it.last_heard,
            PeerState::Gone(it) => it.last_heard,
        }
    }

    /// Short id of its incarnation.
    pub fn short_id(&self) -> ShortId {
        match self {
            PeerState::Live(it) => it.short_id,
            PeerState::Silent(it) => it.short_id,
            PeerState::Gone(it) => it.short_id,
        }
    }

    /// True unless the peer is gone.
    pub fn is_present(&self) -> bool {
        !matches!(self, PeerState::Gone(_))
    }

    /// State after a relay that another instance heard from the peer at `at`.
    ///
    /// A peer that is gone becomes live only by its own heartbeat, because a relay
    /// may refer to a time before it went.
    pub fn with_relay(self, at: Instant) -> PeerState {
        match self {
            PeerState::Live(it) => PeerState::Live(it.into_live(at)),
            PeerState::Silent(it) if at > it.last_heard => PeerState::Live(it.into_live(at)),
            other => other,
        }
    }

    /// True if [`PeerState::expired`] would change the state.
    pub fn is_expired(&self, now: Instant, silence_start: Instant, limits: SilenceLimits) -> bool {
        let silence = now.saturating_since(self.last_heard().max(silence_start));
        match self {
            PeerState::Live(_) => silence > limits.suspect,
            PeerState::Silent(_) => silence > limits.timeout,
            PeerState::Gone(_) => false,
        }
    }

    /// State at `now`; silence counts from `silence_start` at the earliest.
    pub fn expired(self, now: Instant, silence_start: Instant, limits: SilenceLimits) -> PeerState {
        let silence = now.saturating_since(self.last_heard().max(silence_start));
        match self {
            PeerState::Live(it) if silence > limits.suspect => {
                PeerState::Silent(it.into_silent(now)).expired(now, silence_start, limits)
            }
            PeerState::Silent(it) if silence > limits.timeout => PeerState::Gone(it.into_gone(now)),
            other => other,
        }
    }
}

/// SilenceLimits on the silence of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilenceLimits {
    /// Silence after which a live peer counts as silent.
    pub suspect: std::time::Duration,
    /// Silence after which a silent peer counts as gone.
    pub timeout: std::time::Duration,
}
