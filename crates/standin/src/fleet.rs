/*!
Entry instances of several domains around one set of stand-ins, for sessions on
a paused clock.

A member is an [`Entry`] in a [`Scope`] of its own: killing the scope is a crash,
freezing it is a pause, and a restart is a new incarnation at the same address.
*/

use std::{
    cell::{Cell, RefCell},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use bluebellpath::{
    config::{self, Document, LocalConfig, Timing},
    entry::{Config, Dependencies, Entry},
    http::Budget,
    job::Incarnation,
    log,
    platform::{Instance, Role, State},
    settings::Domain,
};
use bluebellpath_runtime::{Scope, clock};

use crate::{Gate, Instances, Network, Objects, Table, Targets};

/// Sizes of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Failure domains.
    pub domains: u16,
    /// Entry instances of each domain.
    pub entries: u16,
    /// Targets of each domain.
    pub targets: u16,
    /// Slots of each target.
    pub slots: u32,
    /// Targets of each rack.
    pub rack: u16,
    /// One-way time between instances.
    pub one_way: Duration,
    /// Puts the default configuration into the table before the first start.
    pub seeded: bool,
    /// Timing of the configuration.
    pub timing: Timing,
}

impl Default for Layout {
    /// Two domains of two entry instances and three targets with 8 slots, 0.5 ms
    /// apart.
    fn default() -> Layout {
        Layout {
            domains: 2,
            entries: 2,
            targets: 3,
            slots: 8,
            rack: 6,
            one_way: Duration::from_micros(500),
            seeded: true,
            timing: Timing::default(),
        }
    }
}

/// One entry instance of a fleet.
pub struct Member {
    /// Name in the instance list.
    pub name: String,
    /// Failure domain.
    pub domain: Domain,
    /// Address for peers.
    pub address: SocketAddr,
    /// Cuts the instance off from the platform while set.
    pub cut: Rc<Cell<bool>>,
    running: RefCell<Running>,
}

struct Running {
    entry: Entry,
    scope: Scope,
    number: u64,
}

impl Member {
    /// Entry instance as it runs now.
    pub fn entry(&self) -> Entry {
        self.running.borrow().entry.clone()
    }

    /// Scope of the entry instance as it runs now.
    pub fn scope(&self) -> Scope {
        self.running.borrow().scope.clone()
    }
}

/// Entry instances and stand-ins.
pub struct Fleet {
    /// Platform's table.
    pub table: Table,
    /// Platform's object store.
    pub objects: Objects,
    /// Platform's instance list.
    pub instances: Instances,
    /// Targets.
    pub targets: Targets,
    /// Network between entry instances.
    pub network: Network,
    /// Entry instances, domain by domain.
    pub members: Vec<Member>,
    layout: Layout,
    configure: Box<dyn Fn(&mut Config)>,
    starts: Cell<u32>,
}

impl Fleet {
    /// Starts all entry instances of `layout`.
    pub fn start(layout: Layout) -> Fleet {
        Fleet::start_with(layout, |_| {})
    }

    /// Starts all entry instances of `layout`, each with a configuration that
    /// `configure` has changed.
    pub fn start_with(layout: Layout, configure: impl Fn(&mut Config) + 'static) -> Fleet {
        let mut instances = Vec::new();
        for domain in 0..layout.domains {
            let entries = (0..layout.entries).map(|it| entry(domain, it));
            let targets = (0..layout.targets).map(|it| target(&layout, domain, it));
            instances.extend(entries.chain(targets));
        }
        let mut fleet = Fleet {
            table: Table::new(),
            objects: Objects::new(),
            instances: Instances::new(instances.clone()),
            targets: Targets::new(layout.one_way),
            network: Network::new(layout.one_way),
            members: Vec::new(),
            layout,
            configure: Box::new(configure),
            starts: Cell::new(0),
        };
        if layout.seeded {
            let writes = config::initial_writes(&Document::default(), clock::wall());
            fleet.table.apply(&writes);
        }
        for instance in instances.iter().filter(|it| it.role == Role::Entry) {
            let cut = Rc::new(Cell::new(false));
            let running = fleet.run(instance, &cut);
            fleet.members.push(Member {
                name: instance.name.clone(),
                domain: instance.domain,
                address: instance.address,
                cut,
                running: RefCell::new(running),
            });
        }
        fleet
    }

    /// Sizes of this fleet.
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Number of the run that the member at `index` is in, which no other run
    /// has.
    pub fn started(&self, index: usize) -> u64 {
        self.members[index].running.borrow().number
    }

    /// Crashes the member at `index`.
    pub fn kill(&self, index: usize) {
        let member = &self.members[index];
        member.scope().kill();
        self.network.remove(member.address);
    }

    /// Crashes the member at `index` and starts it as a new incarnation.
    pub fn restart(&self, index: usize) {
        self.kill(index);
        let member = &self.members[index];
        let instance = entry_named(&member.name, member.domain, member.address);
        let running = self.run(&instance, &member.cut);
        *member.running.borrow_mut() = running;
    }

    /// Cuts all members of `domain` off from those of other domains, or mends
    /// the cut.
    pub fn isolate(&self, domain: Domain, cut: bool) {
        let (inside, outside): (Vec<_>, Vec<_>) =
            self.members.iter().partition(|it| it.domain == domain);
        for (a, b) in inside
            .iter()
            .flat_map(|a| outside.iter().map(move |b| (a, b)))
        {
            if cut {
                self.network.cut(a.address, b.address);
            } else {
                self.network.mend(a.address, b.address);
            }
        }
    }

    fn run(&self, instance: &Instance, cut: &Rc<Cell<bool>>) -> Running {
        self.starts.set(self.starts.get() + 1);
        let scope = Scope::new();
        let env = Dependencies {
            table: Rc::new(Gate::new(self.table.clone(), cut.clone())),
            object_store: Rc::new(Gate::new(self.objects.clone(), cut.clone())),
            instance_list: Rc::new(Gate::new(self.instances.clone(), cut.clone())),
            target_client: Rc::new(self.targets.clone()),
            link: Rc::new(self.network.node(instance.address, scope.clone())),
            config: Rc::new(LocalConfig::empty(self.layout.timing)),
            callers: Budget::unlimited(),
            log: log::discard(),
        };
        let incarnation = Incarnation::new(clock::wall(), self.starts.get());
        let mut config = Config {
            domain: instance.domain,
            domain_count: self.layout.domains,
            ..Config::new(&instance.name, incarnation, instance.address)
        };
        (self.configure)(&mut config);
        let entry = Entry::new(config, env);
        let started = entry.clone();
        drop(scope.spawn(async move { started.start() }));
        let number = u64::from(self.starts.get());
        Running {
            entry,
            scope,
            number,
        }
    }
}

fn entry(domain: u16, index: u16) -> Instance {
    let address = SocketAddr::from((Ipv4Addr::new(127, 1, domain as u8, index as u8), 7001));
    entry_named(
        &format!("entry-{domain}-{index}"),
        Domain::new(domain),
        address,
    )
}

fn entry_named(name: &str, domain: Domain, address: SocketAddr) -> Instance {
    Instance {
        name: name.to_owned(),
        role: Role::Entry,
        state: State::Live,
        domain,
        rack: 0,
        address,
        slots: 0,
        connections: 0,
    }
}

fn target(layout: &Layout, domain: u16, index: u16) -> Instance {
    let [high, low] = index.to_be_bytes();
    let address = Ipv4Addr::new(127, 2 + high, domain as u8, low);
    Instance {
        name: format!("target-{domain}-{index}"),
        role: Role::Target,
        state: State::Live,
        domain: Domain::new(domain),
        rack: u32::from(index / layout.rack.max(1)),
        address: SocketAddr::from((address, 7002)),
        slots: layout.slots,
        connections: 64,
    }
}
