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
pub enum Standing {
    /// Heard of lately.
    Live(Life<Live>),
    /// Not heard of for a while.
    Silent(Life<Silent>),
    /// Given up.
    Gone(Life<Gone>),
}

impl Standing {
    /// Standing after `heartbeat` came at `now`.
    pub fn new(heartbeat: Heartbeat, now: Instant) -> Standing {
        let left = heartbeat.phase == Phase::Left;
        let life = Life::new(heartbeat, now);
        match left {
            true => Standing::Gone(life.left(now)),
            false => Standing::Live(life),
        }
    }

    /// Who it is.
    pub fn identity(&self) -> &Identity {
        match self {
            Standing::Live(it) => &it.identity,
            Standing::Silent(it) => &it.identity,
            Standing::Gone(it) => &it.identity,
        }
    }

    /// Its last heartbeat.
    pub fn heartbeat(&self) -> &Rc<Heartbeat> {
        match self {
            Standing::Live(it) => &it.heartbeat,
            Standing::Silent(it) => &it.heartbeat,
            Standing::Gone(it) => &it.heartbeat,
        }
    }

    /// Last sign of life.
    pub fn last(&self) -> Instant {
        match self {
            Standing::Live(it) => it.heard,
            Standing::Silent(it) => it.heard,
            Standing::Gone(it) => it.heard,
        }
    }

    /// Short name of its incarnation.
    pub fn tag(&self) -> Tag {
        match self {
            Standing::Live(it) => it.tag,
            Standing::Silent(it) => it.tag,
            Standing::Gone(it) => it.tag,
        }
    }

    /// True unless it was given up.
    pub fn is_there(&self) -> bool {
        !matches!(self, Standing::Gone(_))
    }

    /// Standing after another instance heard of it at `at`.
    ///
    /// One that was given up is back only with a heartbeat of its own: a relay
    /// may speak of a time before it went.
    pub fn relayed(self, at: Instant) -> Standing {
        match self {
            Standing::Live(it) => Standing::Live(it.heard(at)),
            Standing::Silent(it) if at > it.heard => Standing::Live(it.heard(at)),
            other => other,
        }
    }

    /// True when [`Standing::aged`] would move it on.
    pub fn is_due(&self, now: Instant, floor: Instant, limits: Limits) -> bool {
        let silence = now.saturating_since(self.last().max(floor));
        match self {
            Standing::Live(_) => silence > limits.suspect,
            Standing::Silent(_) => silence > limits.timeout,
            Standing::Gone(_) => false,
        }
    }

    /// Standing at `now`, given that all counts as heard of at `floor` at least.
    pub fn aged(self, now: Instant, floor: Instant, limits: Limits) -> Standing {
        let silence = now.saturating_since(self.last().max(floor));
        match self {
            Standing::Live(it) if silence > limits.suspect => {
                Standing::Silent(it.silent(now)).aged(now, floor, limits)
            }
            Standing::Silent(it) if silence > limits.timeout => Standing::Gone(it.gone(now)),
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
