/*!
The shared configuration: teams, kinds of task, presets, limits, drains, keys.

All instances share one [`Document`]. The platform's table stores it as a history
of [`Revision`]s, lists of typed [`Change`]s, with one head row that names the
newest. [`LocalConfig`] is the copy that one instance holds. A revision states the
wall time at which it takes effect, a fixed delay after its acceptance. A read of
the head therefore confirms the version in force for that delay: an instance that
reads at least that often always knows the preset in force, and an instance that
is cut off knows since when its version is unconfirmed.

* [`Proposer`] writes a revision: one compare-and-set on the head proposes it, a
  second one sets its effective time.
* [`Follower`] keeps an instance up to date from the table or from its peers.
* [`View`] is the configuration at one moment, used by admission and dispatch.

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
