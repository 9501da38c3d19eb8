/*!
Life of a peer as this instance sees it.

```text
 listed ──heard of──▶ live ──silent──▶ silent ──timeout──▶ gone
                       ▲                 │                   │
                       └─────heard of────┴───────────────────┘
```

A state holds what is known in it: nothing but an address while listed, no
address to send to once gone. A newer incarnation under the same name starts
its own life at once; an older one is never heard again.
*/

use std::rc::Rc;

use bluebellpath_runtime::Instant;

use super::{Heartbeat, Identity, Phase, gossip::Tag};

/// Peer in the state `S`.
#[derive(Clone, Debug)]
pub struct Life<S> {
    /// Who it is.
    pub identity: Identity,
    /// Short name of its incarnation.
    pub tag: Tag,
    /// Its last heartbeat.
    pub heartbeat: Rc<Heartbeat>,
    /// Last sign of life.
    pub heard: Instant,
    /// What else is known in this state.
    pub state: S,
}

/// Heard of lately.
#[derive(Clone, Copy, Debug)]
pub struct Live;

/// Not heard of for a while; asked for a sign of life.
#[derive(Clone, Copy, Debug)]
pub struct Silent {
    /// Since when.
    pub since: Instant,
}

/// Not heard of for so long that nobody waits for it.
#[derive(Clone, Copy, Debug)]
pub struct Gone {
    /// Since when.
    pub since: Instant,
}

impl Life<Live> {
    /// Peer that was heard of at `heard`.
    pub fn new(heartbeat: Heartbeat, heard: Instant) -> Life<Live> {
        Life {
            identity: heartbeat.from.clone(),
            tag: Tag::of(heartbeat.from.incarnation),
            heartbeat: Rc::new(heartbeat),
            heard,
            state: Live,
        }
    }

    /// Nothing came from it for a while.
    pub fn silent(self, since: Instant) -> Life<Silent> {
        self.into_state(Silent { since })
    }
}

impl Life<Silent> {
    /// Nothing came for too long.
    pub fn gone(self, since: Instant) -> Life<Gone> {
        self.into_state(Gone { since })
    }
}

impl<S> Life<S> {
    /// A sign of life came.
    pub fn heard(self, at: Instant) -> Life<Live> {
        let heard = self.heard.max(at);
        Life {
            heard,
            ..self.into_state(Live)
        }
    }

    /// It said that it stops.
    pub fn left(self, since: Instant) -> Life<Gone> {
        self.into_state(Gone { since })
    }

    fn into_state<T>(self, state: T) -> Life<T> {
        Life {
            identity: self.identity,
            tag: self.tag,
            heartbeat: self.heartbeat,
            heard: self.heard,
            state,
        }
    }
}

/// Peer in any state in which it was heard of.
#[derive(Clone, Debug)]
pub enum PeerState {
    /// Heard of lately.
    Live(Life<Live>),
    /// Not heard of for a while.
    Silent(Life<Silent>),
    /// Given up.
    Gone(Life<Gone>),
}

impl PeerState {
    /// PeerState after `heartbeat` came at `now`.
    pub fn new(heartbeat: Heartbeat, now: Instant) -> PeerState {
        let left = heartbeat.phase == Phase::Left;
        let life = Life::new(heartbeat, now);
        match left {
            true => PeerState::Gone(life.left(now)),
            false => PeerState::Live(life),
        }
    }

    /// Who it is.
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

    /// Last sign of life.
    pub fn last(&self) -> Instant {
        match self {
            PeerState::Live(it) => it.heard,
            PeerState::Silent(it) => it.heard,
            PeerState::Gone(it) => it.heard,
        }
    }

    /// Short name of its incarnation.
    pub fn tag(&self) -> Tag {
        match self {
            PeerState::Live(it) => it.tag,
            PeerState::Silent(it) => it.tag,
            PeerState::Gone(it) => it.tag,
        }
    }

    /// True unless it was given up.
    pub fn is_there(&self) -> bool {
        !matches!(self, PeerState::Gone(_))
    }

    /// PeerState after another instance heard of it at `at`.
    ///
    /// One that was given up is back only with a heartbeat of its own: a relay
    /// may speak of a time before it went.
    pub fn relayed(self, at: Instant) -> PeerState {
        match self {
            PeerState::Live(it) => PeerState::Live(it.heard(at)),
            PeerState::Silent(it) if at > it.heard => PeerState::Live(it.heard(at)),
            other => other,
        }
    }

    /// True when [`PeerState::aged`] would move it on.
    pub fn is_due(&self, now: Instant, floor: Instant, limits: Limits) -> bool {
        let silence = now.saturating_since(self.last().max(floor));
        match self {
            PeerState::Live(_) => silence > limits.suspect,
            PeerState::Silent(_) => silence > limits.timeout,
            PeerState::Gone(_) => false,
        }
    }

    /// PeerState at `now`, given that all counts as heard of at `floor` at least.
    pub fn aged(self, now: Instant, floor: Instant, limits: Limits) -> PeerState {
        let silence = now.saturating_since(self.last().max(floor));
        match self {
            PeerState::Live(it) if silence > limits.suspect => {
                PeerState::Silent(it.silent(now)).aged(now, floor, limits)
            }
            PeerState::Silent(it) if silence > limits.timeout => PeerState::Gone(it.gone(now)),
            other => other,
        }
    }
}

/// How long a peer may say nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Until it counts as silent.
    pub suspect: std::time::Duration,
    /// Until it counts as gone.
    pub timeout: std::time::Duration,
}
