//! Decisions on what callers may make a process hold.

use bluebellpath::http::ledger::{Capacity, Decision, Eviction, Id, Ledger, Phase, SMALL_BYTES};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// Fixed part of a connection, and room for ten of them and twenty small requests.
const FIXED: usize = SMALL_BYTES;
const CAPACITY: Capacity = Capacity {
    bytes: 10 * FIXED + 20 * SMALL_BYTES,
    connections: 10,
    connection_bytes: FIXED,
};

/// Size of a small request, and of the largest one in progress.
const SMALL: usize = SMALL_BYTES / 2;
const LARGEST: usize = 21 * SMALL_BYTES;

/// Connection that is there before the demand.
#[derive(Clone, Copy)]
struct Held(Phase, usize);

/// What asks for room.
enum Demand {
    /// A new connection.
    Connection,
    /// The connection with this number, for so many bytes.
    Bytes(usize, usize),
}

struct Case {
    name: &'static str,
    held: &'static [Held],
    demand: Demand,
    decision: Decision,
    /// Numbers of the connections that make room, in order.
    evicted: &'static [usize],
}

use Decision::{Granted, Refused, Waiting};
use Demand::{Bytes, Connection};
use Phase::{Closing, Idle, Receiving, Serving};

const CASES: [Case; 14] = [
    Case {
        name: "a connection in calm",
        held: &[Held(Idle, 0)],
        demand: Connection,
        decision: Granted,
        evicted: &[],
    },
    Case {
        name: "the largest request in calm",
        held: &[Held(Serving, 0)],
        demand: Bytes(0, LARGEST),
        decision: Granted,
        evicted: &[],
    },
    Case {
        name: "a request in progress larger than the largest",
        held: &[Held(Serving, 0)],
        demand: Bytes(0, LARGEST + SMALL_BYTES),
        decision: Refused,
        evicted: &[],
    },
    Case {
        name: "a connection beside as many silent ones as there may be",
        held: &[Held(Idle, 0); 10],
        demand: Connection,
        decision: Waiting,
        evicted: &[0],
    },
    Case {
        name: "a connection beside one that closes",
        held: &[
            Held(Idle, 0),
            Held(Idle, 0),
            Held(Idle, 0),
            Held(Idle, 0),
            Held(Idle, 0),
            Held(Idle, 0),
            Held(Idle, 0),
            Held(Idle, 0),
            Held(Closing, 0),
            Held(Idle, 0),
        ],
        demand: Connection,
        decision: Waiting,
        evicted: &[8],
    },
    Case {
        name: "a connection beside unfinished heads",
        held: &[Held(Receiving, SMALL); 10],
        demand: Connection,
        decision: Waiting,
        evicted: &[0],
    },
    Case {
        name: "a connection beside requests in progress only",
        held: &[Held(Serving, SMALL); 10],
        demand: Connection,
        decision: Refused,
        evicted: &[],
    },
    Case {
        name: "a request beside far larger bodies",
        held: &[
            Held(Receiving, 10 * SMALL_BYTES),
            Held(Receiving, 12 * SMALL_BYTES),
            Held(Idle, 0),
            Held(Idle, 0),
            Held(Idle, 0),
            Held(Receiving, 0),
        ],
        demand: Bytes(5, 3 * SMALL_BYTES),
        decision: Waiting,
        evicted: &[1],
    },
    Case {
        name: "the largest of several bodies",
        held: &[
            Held(Receiving, 10 * SMALL_BYTES),
            Held(Receiving, 13 * SMALL_BYTES),
            Held(Idle, 0),
        ],
        demand: Bytes(1, 20 * SMALL_BYTES),
        decision: Refused,
        evicted: &[],
    },
    Case {
        name: "a body that grows as large as the others",
        held: &[
            Held(Receiving, 9 * SMALL_BYTES),
            Held(Receiving, 9 * SMALL_BYTES),
            Held(Receiving, 8 * SMALL_BYTES),
        ],
        demand: Bytes(2, 9 * SMALL_BYTES + SMALL),
        decision: Refused,
        evicted: &[],
    },
    Case {
        name: "a large request in progress beside another",
        held: &[Held(Serving, 12 * SMALL_BYTES), Held(Serving, 0)],
        demand: Bytes(1, 11 * SMALL_BYTES),
        decision: Refused,
        evicted: &[],
    },
    Case {
        name: "a small request in progress beside a large one",
        held: &[Held(Serving, LARGEST), Held(Serving, 0)],
        demand: Bytes(1, SMALL),
        decision: Granted,
        evicted: &[],
    },
    Case {
        name: "a smaller charge beside a full ledger",
        held: &[
            Held(Receiving, 14 * SMALL_BYTES),
            Held(Receiving, 14 * SMALL_BYTES),
        ],
        demand: Bytes(0, 0),
        decision: Granted,
        evicted: &[],
    },
    Case {
        name: "a body beside silent connections that hold more together",
        held: &[
            Held(Serving, 14 * SMALL_BYTES),
            Held(Idle, 0),
            Held(Idle, 0),
            Held(Idle, 0),
            Held(Idle, 0),
            Held(Idle, 0),
            Held(Idle, 0),
            Held(Receiving, 2 * SMALL_BYTES),
        ],
        demand: Bytes(7, 9 * SMALL_BYTES),
        decision: Waiting,
        evicted: &[1],
    },
];

/// Ledger with these connections, and their entries.
fn ledger(held: &[Held]) -> (Ledger, Vec<Id>) {
    let mut ledger = Ledger::new(CAPACITY);
    let mut none = Vec::new();
    let ids = held.iter().map(|Held(phase, bytes)| {
        let id = ledger.admit(&mut none).expect("there is room");
        ledger.enter(id, *phase);
        assert_eq!(ledger.charge(id, *bytes, &mut none), Granted);
        id
    });
    let ids = ids.collect();
    assert_eq!(none, []);
    (ledger, ids)
}

#[test]
fn room_is_made_by_what_is_worth_least() {
    for case in CASES {
        let (mut ledger, ids) = ledger(case.held);
        let mut evicted = Vec::new();
        let decision = match case.demand {
            Connection => match ledger.admit(&mut evicted) {
                Ok(_) => Granted,
                Err(decision) => decision,
            },
            Bytes(number, bytes) => ledger.charge(ids[number], bytes, &mut evicted),
        };
        let expected: Vec<_> = case.evicted.iter().map(|it| ids[*it]).collect();
        let evicted: Vec<_> = evicted.iter().map(|it| it.id).collect();
        assert_eq!(
            (decision, evicted),
            (case.decision, expected),
            "{}",
            case.name
        );
    }
}

/// Guards against an evicted connection that counts twice, or is evicted twice, before it
/// has let go.
#[test]
fn evicted_connections_make_room_once() {
    let (mut ledger, ids) = ledger(&[Held(Idle, 0); 10]);
    let mut evicted = Vec::new();
    for _ in 0..3 {
        assert_eq!(ledger.admit(&mut evicted), Err(Waiting));
    }
    let numbers: Vec<_> = evicted.iter().map(|it| it.id).collect();
    assert_eq!(numbers, [ids[0]]);
    assert_eq!(ledger.charge(ids[0], SMALL, &mut evicted), Refused);
    // It says why it closes, and is closed at once as room is still needed.
    ledger.enter(ids[0], Closing);
    assert_eq!(ledger.admit(&mut evicted), Err(Waiting));
    assert_eq!(evicted.last().map(|it| it.id), Some(ids[0]));
    ledger.remove(ids[0]);
    assert!(ledger.admit(&mut evicted).is_ok());
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Admit,
    Enter(usize, u8),
    Charge(usize, usize),
    LetGo(usize),
    Remove(usize),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        let number = usize::arbitrary(g) % 12;
        match u8::arbitrary(g) % 8 {
            0 | 1 => Event::Admit,
            2 => Event::Enter(number, u8::arbitrary(g) % 4),
            3..6 => Event::Charge(number, usize::arbitrary(g) % (20 * SMALL_BYTES)),
            6 => Event::LetGo(number),
            _ => Event::Remove(number),
        }
    }
}

fn apply(ledger: &mut Ledger, ids: &mut Vec<Id>, event: Event, evicted: &mut Vec<Eviction>) {
    if let Event::Admit = event {
        ids.extend(ledger.admit(evicted));
        return;
    }
    let (Event::Enter(number, _)
    | Event::Charge(number, _)
    | Event::LetGo(number)
    | Event::Remove(number)) = event
    else {
        return;
    };
    if ids.is_empty() {
        return;
    }
    let number = number % ids.len();
    let id = ids[number];
    match event {
        Event::Enter(_, phase) => {
            let phases = [Idle, Receiving, Serving, Closing];
            ledger.enter(id, phases[usize::from(phase)]);
        }
        Event::Charge(_, bytes) => {
            ledger.charge(id, bytes, evicted);
        }
        Event::LetGo(_) => {
            ledger.enter(id, Closing);
            ledger.charge(id, 0, evicted);
        }
        Event::Admit | Event::Remove(_) => {
            ids.remove(number);
            ledger.remove(id);
        }
    }
}

quickcheck! {
    fn no_order_of_events_exceeds_the_capacity(events: Vec<Event>) -> bool {
        let mut ledger = Ledger::new(CAPACITY);
        let (mut ids, mut evicted) = (Vec::new(), Vec::new());
        events.into_iter().all(|event| {
            apply(&mut ledger, &mut ids, event, &mut evicted);
            let extra: usize = ids.iter().map(|it| ledger.extra(*it)).sum();
            ledger.connections() == ids.len()
                && ledger.bytes() == extra + ids.len() * FIXED
                && ledger.bytes() <= CAPACITY.bytes
                && ledger.connections() <= CAPACITY.connections
        })
    }

    fn no_request_in_progress_makes_room(events: Vec<Event>) -> bool {
        let mut ledger = Ledger::new(CAPACITY);
        let (mut ids, mut evicted) = (Vec::new(), Vec::new());
        for event in events {
            apply(&mut ledger, &mut ids, event, &mut evicted);
        }
        evicted.iter().all(|it| it.phase != Serving)
    }
}
