//! Membership of one domain on the paused clock, with cuts, kills and pauses.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bluebellpath::{
    job::Incarnation,
    peer::{
        Config, Datagram, Heartbeat, Identity, Key, Link, Membership, PeerState, Phase, Refusal,
        Source, frame, gossip::Gossip,
    },
    platform::{Instance, Role, State},
    settings::Domain,
};
use bluebellpath_runtime::{Scope, clock, runtime};
use bluebellpath_standin::Network;

/// Time in which everybody has heard of everybody.
const SETTLE: Duration = Duration::from_secs(5);

/// Control bytes that an instance may send in a second, headers included.
const MAX_BYTES_PER_S: u64 = 3_000;

/// Bytes that UDP and IP add to a datagram.
const HEADER_BYTES: u64 = 28;

struct Serving;

impl Source for Serving {
    fn fill(&self, heartbeat: &mut Heartbeat) {
        heartbeat.phase = Phase::Serving;
    }
}

struct Node {
    name: String,
    address: SocketAddr,
    running: RefCell<(Rc<Membership>, Scope)>,
}

impl Node {
    fn membership(&self) -> Rc<Membership> {
        self.running.borrow().0.clone()
    }

    fn scope(&self) -> Scope {
        self.running.borrow().1.clone()
    }
}

struct Group {
    network: Network,
    nodes: Vec<Node>,
    starts: RefCell<u32>,
}

impl Group {
    fn start(size: usize) -> Group {
        let group = Group {
            network: Network::new(Duration::from_micros(500)),
            nodes: Vec::new(),
            starts: RefCell::new(0),
        };
        let names = (0..size).map(|it| format!("entry-{it}"));
        let nodes: Vec<Node> = names
            .enumerate()
            .map(|(index, name)| {
                let address = address(index);
                let running = RefCell::new(group.run(&name, address, 0));
                Node {
                    name,
                    address,
                    running,
                }
            })
            .collect();
        let group = Group { nodes, ..group };
        let list = group.list();
        group
            .nodes
            .iter()
            .for_each(|it| it.membership().observe(&list));
        group
    }

    fn run(&self, name: &str, address: SocketAddr, domain: u16) -> (Rc<Membership>, Scope) {
        *self.starts.borrow_mut() += 1;
        let scope = Scope::new();
        let identity = Identity {
            name: name.to_owned(),
            incarnation: Incarnation::new(clock::wall(), *self.starts.borrow()),
            domain: Domain::new(domain),
            address,
        };
        let link = Rc::new(self.network.node(address, scope.clone()));
        let membership = Rc::new(Membership::new(identity, link, Config::default()));
        drop(scope.spawn(membership.clone().run(Rc::new(Serving))));
        (membership, scope)
    }

    fn list(&self) -> Vec<Instance> {
        self.nodes.iter().map(instance).collect()
    }

    fn kill(&self, index: usize) {
        self.nodes[index].scope().kill();
        self.network.remove(self.nodes[index].address);
    }

    fn restart(&self, index: usize) {
        self.kill(index);
        let node = &self.nodes[index];
        let running = self.run(&node.name, node.address, 0);
        running.0.observe(&self.list());
        *node.running.borrow_mut() = running;
    }

    /// Peers that `index` sees, of all those that it should.
    fn seen(&self, index: usize) -> usize {
        self.nodes[index].membership().peers().len()
    }

    fn sees(&self, index: usize, other: usize) -> bool {
        let incarnation = self.nodes[other].membership().identity().incarnation;
        let membership = self.nodes[index].membership();
        membership.find(incarnation).is_some()
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, 0, index as u8], 7001))
}

fn instance(node: &Node) -> Instance {
    Instance {
        name: node.name.clone(),
        role: Role::Entry,
        state: State::Live,
        domain: Domain::new(0),
        rack: 0,
        address: node.address,
        slots: 0,
        connections: 0,
    }
}

struct Size {
    entries: usize,
    loss_permille: u32,
}

const SIZES: &[Size] = &[
    Size {
        entries: 2,
        loss_permille: 0,
    },
    Size {
        entries: 7,
        loss_permille: 0,
    },
    Size {
        entries: 7,
        loss_permille: 50,
    },
    Size {
        entries: 28,
        loss_permille: 50,
    },
    Size {
        entries: 84,
        loss_permille: 0,
    },
    Size {
        entries: 84,
        loss_permille: 50,
    },
];

#[test]
fn nobody_is_given_up_and_bytes_are_bounded_at_every_size() {
    for size in SIZES {
        let (entries, loss_permille) = (size.entries, size.loss_permille);
        runtime::paused(async move {
            let group = Group::start(entries);
            group.network.set_loss_permille(loss_permille);
            // A first word that got lost is said again at the next full turn.
            clock::sleep(SETTLE * 4).await;
            let (datagrams, bytes) = (group.network.datagrams(), group.network.bytes());
            let mut missing = 0;
            let seconds = 60;
            for _ in 0..seconds {
                clock::sleep(Duration::from_secs(1)).await;
                missing += (0..entries)
                    .map(|it| entries - 1 - group.seen(it))
                    .sum::<usize>();
            }
            let datagrams = group.network.datagrams() - datagrams;
            let bytes = group.network.bytes() - bytes + datagrams * HEADER_BYTES;
            let per_node = bytes / (entries as u64 * seconds);
            println!(
                "{entries} entries, loss {loss_permille} permille: {per_node} bytes/s, \
                 {missing} missing in {} looks",
                entries * (entries - 1) * seconds as usize
            );
            assert_eq!(missing, 0, "{entries} entries, loss {loss_permille}");
            assert!(per_node <= MAX_BYTES_PER_S, "{per_node} bytes/s");
        });
    }
}

#[test]
fn a_crash_is_noticed_everywhere() {
    // The planned domain has 6 or 7 entry instances; in one far beyond that
    // relays take longer.
    for (entries, limit_s) in [(2, 4), (7, 4), (28, 6), (84, 11)] {
        runtime::paused(async move {
            let group = Group::start(entries);
            clock::sleep(SETTLE).await;
            group.kill(0);
            clock::sleep(Duration::from_secs(limit_s)).await;
            for index in 1..entries {
                assert!(!group.sees(index, 0), "{index} of {entries} sees the dead");
                assert_eq!(group.seen(index), entries - 2, "{index} of {entries}");
            }
        });
    }
}

#[test]
fn a_restart_replaces_the_old_incarnation_at_once() {
    for entries in [2, 7, 84] {
        runtime::paused(async move {
            let group = Group::start(entries);
            clock::sleep(SETTLE).await;
            let old = group.nodes[0].membership().identity().incarnation;
            group.restart(0);
            clock::sleep(Duration::from_millis(5)).await;
            for index in 1..entries {
                assert!(group.sees(index, 0), "{index} of {entries}");
                let membership = group.nodes[index].membership();
                assert!(membership.find(old).is_none(), "{index} of {entries}");
            }
            assert_eq!(group.seen(0), entries - 1, "of {entries}");
        });
    }
}

#[test]
fn an_instance_that_is_not_listed_yet_is_accepted() {
    runtime::paused(async {
        let group = Group::start(7);
        clock::sleep(SETTLE).await;
        let late = group.run("entry-late", address(200), 0);
        late.0.observe(&group.list());
        clock::sleep(Duration::from_millis(5)).await;
        assert_eq!(late.0.peers().len(), 7);
        assert!((0..7).all(|it| group.seen(it) == 7));
        clock::sleep(Duration::from_secs(30)).await;
        assert!((0..7).all(|it| group.seen(it) == 7));
    });
}

#[test]
fn two_unlisted_instances_learn_of_each_other() {
    runtime::paused(async {
        let group = Group::start(7);
        clock::sleep(SETTLE).await;
        let late: Vec<_> = (200..202)
            .map(|it| group.run(&format!("entry-{it}"), address(it), 0).0)
            .collect();
        late.iter().for_each(|it| it.observe(&group.list()));
        clock::sleep(Duration::from_secs(2)).await;
        assert!(late.iter().all(|it| it.peers().len() == 8));
    });
}

#[test]
fn another_domain_and_another_key_stay_outside() {
    runtime::paused(async {
        let group = Group::start(3);
        let stranger = group.run("entry-other", address(210), 1).0;
        let list: Vec<Instance> = group.list();
        let pretended = list.iter().cloned().map(|it| Instance {
            domain: Domain::new(1),
            ..it
        });
        stranger.observe(&pretended.collect::<Vec<_>>());
        let bytes = frame::seal(&Key::new("guessed"), clock::wall(), &"hello").expect("fits");
        group.network.inject(address(9), address(0), &bytes);
        clock::sleep(SETTLE).await;
        assert_eq!(group.seen(0), 2);
        let traffic = group.nodes[0].membership().traffic();
        assert!(traffic.refused[&Refusal::Domain] > 0);
        assert_eq!(traffic.dropped[&frame::Fault::Forged], 1);
    });
}

#[test]
fn a_pause_ends_in_a_return_unless_replaced() {
    runtime::paused(async {
        let group = Group::start(7);
        clock::sleep(SETTLE).await;
        group.nodes[0].scope().freeze();
        clock::sleep(Duration::from_secs(5)).await;
        assert!(!group.sees(1, 0));
        group.nodes[0].scope().thaw();
        clock::sleep(Duration::from_secs(2)).await;
        assert!((1..7).all(|it| group.sees(it, 0)));
        // Its own pause is not held against its peers.
        assert_eq!(group.seen(0), 6);
    });
}

#[test]
fn an_instance_that_leaves_is_gone_at_once() {
    runtime::paused(async {
        let group = Group::start(7);
        clock::sleep(SETTLE).await;
        group.nodes[0].membership().leave(&Serving);
        group.kill(0);
        clock::sleep(Duration::from_millis(5)).await;
        assert!((1..7).all(|it| !group.sees(it, 0)));
        let peer_states = group.nodes[1].membership().peer_states();
        let gone = |it: &&PeerState| matches!(it, PeerState::Gone(_));
        assert_eq!(peer_states.iter().filter(gone).count(), 1);
    });
}

#[test]
fn a_cut_separates_and_mends() {
    runtime::paused(async {
        let group = Group::start(6);
        clock::sleep(SETTLE).await;
        let pairs = (0..3).flat_map(|a| (3..6).map(move |b| (a, b)));
        let pairs: Vec<_> = pairs.map(|(a, b)| (address(a), address(b))).collect();
        pairs.iter().for_each(|(a, b)| group.network.cut(*a, *b));
        clock::sleep(Duration::from_secs(5)).await;
        assert!((0..6).all(|it| group.seen(it) == 2));
        pairs.iter().for_each(|(a, b)| group.network.mend(*a, *b));
        clock::sleep(Duration::from_secs(5)).await;
        assert!((0..6).all(|it| group.seen(it) == 5));
    });
}

#[test]
fn old_frames_bring_nobody_back() {
    runtime::paused(async {
        let group = Group::start(2);
        clock::sleep(SETTLE).await;
        let (to, from) = (address(0), address(1));
        let old = group.nodes[1].membership().identity().clone();
        let gossip = |sequence| Gossip {
            heartbeat: Heartbeat::new(old.clone(), sequence),
            probe: false,
            updates: Vec::new(),
            relays: Vec::new(),
        };
        let key = Config::default().key;
        let replay = frame::seal(&key, clock::wall(), &gossip(1)).expect("fits");
        group.network.inject(from, to, &replay);
        clock::sleep(Duration::from_millis(1)).await;
        let refused = || group.nodes[0].membership().traffic().refused;
        assert_eq!(refused()[&Refusal::Replayed], 1);

        group.restart(1);
        clock::sleep(Duration::from_millis(5)).await;
        let late = frame::seal(&key, clock::wall(), &gossip(1_000)).expect("fits");
        group.network.inject(from, to, &late);
        clock::sleep(Duration::from_millis(1)).await;
        assert_eq!(refused()[&Refusal::Replaced], 1);
        assert!(group.sees(0, 1));
    });
}

/// Keeps what a membership sends.
#[derive(Default)]
struct Recorder(RefCell<Vec<Vec<u8>>>);

impl Link for Recorder {
    fn send(&self, _to: SocketAddr, bytes: &[u8]) {
        self.0.borrow_mut().push(bytes.to_vec());
    }

    fn receive(&self) -> bluebellpath_runtime::LocalFuture<'_, Datagram> {
        Box::pin(std::future::pending())
    }

    fn call(
        &self,
        _to: SocketAddr,
        _request: bluebellpath::peer::Request,
    ) -> bluebellpath_runtime::LocalFuture<
        '_,
        Result<bluebellpath::peer::Reply, bluebellpath::peer::Error>,
    > {
        Box::pin(std::future::pending())
    }

    fn serve(&self, _handler: Rc<dyn bluebellpath::peer::Handler>) {}
}

struct Talkative;

impl Source for Talkative {
    fn fill(&self, heartbeat: &mut Heartbeat) {
        let suspect = |it: u32| bluebellpath::peer::Suspect {
            target: format!("target-{it}-with-a-long-name"),
            slowness_permille: it,
        };
        heartbeat.suspects = (0..1_000).map(suspect).collect();
    }
}

#[test]
fn a_heartbeat_never_outgrows_its_frame() {
    runtime::paused(async {
        let recorder = Rc::new(Recorder::default());
        let identity = Identity {
            name: "entry-0".to_owned(),
            incarnation: Incarnation::new(clock::wall(), 1),
            domain: Domain::new(0),
            address: address(0),
        };
        let membership = Membership::new(identity, recorder.clone(), Config::default());
        let membership = Rc::new(membership);
        let group = Group::start(7);
        membership.observe(&group.list());
        drop(bluebellpath_runtime::spawn(
            membership.run(Rc::new(Talkative)),
        ));
        clock::sleep(SETTLE).await;
        let sent = recorder.0.borrow();
        assert!(!sent.is_empty());
        assert!(sent.iter().all(|it| it.len() <= frame::MAX_BYTES));
    });
}
