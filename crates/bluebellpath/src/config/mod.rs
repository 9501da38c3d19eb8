/*!
The configuration in force: teams, kinds of task, presets, limits, drains, keys.

One [`Document`] holds for all instances. It lives in the platform's table as a
history of typed [`Change`]s behind one head row, and [`LocalConfig`] is what this
instance knows of it. A change takes effect at one stated wall time, a fixed
delay after its acceptance, so that a head_row of the head is worth that delay:
an instance that reads at least that often always knows the one preset in force,
and one that is cut off knows since when it can't know.

* [`Proposer`] makes a change: a compare-and-set on the head proposes it, a
  second one gives it its effective time.
* [`Follower`] keeps an instance up to date, from the table or from peers.
* [`View`] is the configuration at one moment, as admission and dispatch use it.

```
use bluebellpath::config::{Change, Document};

let mut document = Document::default();
Change::SwitchPreset("paek".to_owned()).apply(&mut document);
let faults = document.check();
assert_eq!(faults[0].nearest.as_deref(), Some("peak"));
```
*/

mod revision;
mod change;
mod check;
mod local;
mod document;
mod drain;
mod fault;
mod follower;
mod head;
mod key;
mod kind;
mod versions;
mod limit;
mod operation;
mod preset;
mod proposer;
mod retention;
mod store;
mod team;
mod timing;
mod view;

pub use change::Change;
pub use document::Document;
pub use drain::Drain;
pub use fault::Fault;
pub use follower::Follower;
pub use head::{Head, HeadRow};
pub use key::{Key, Role};
pub use kind::Kind;
pub use limit::Limit;
pub use local::LocalConfig;
pub use operation::{Operation, Refusal};
pub use preset::Preset;
pub use proposer::Proposer;
pub use retention::Retention;
pub use revision::{Revision, Snapshot, Update};
pub use store::{HeadAndChanges, SNAPSHOT_INTERVAL, Store, initial_writes};
pub use team::Team;
pub use timing::Timing;
pub use view::View;
