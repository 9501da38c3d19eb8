/*!
A dispatcher for sub-second tasks.

Callers submit jobs, parallel batches of short tasks, to any entry instance.
An [`entry::Entry`] decides whether a job may start, runs its tasks on the
targets of its own failure domain and gives one whole answer. The modules
follow the way of a job:

* [`caller`]: HTTP towards callers and operators.
* [`job`]: submissions, ids, answers and their outcomes.
* [`entry`]: one instance, from admission to the answer.
* [`owner`]: who may start a job, and what happens when that instance goes.
* [`target`]: starting tasks on targets, with the lease tested at the last step.
* [`peer`]: the other entry instances.
* [`platform`]: the table, the object store and the instance list.
* [`config`]: the configuration in force, its teams and presets.
* [`record`]: what a regulator can be shown afterwards.
* [`settings`]: what one process is started with.
* [`daemon`]: an instance as a process, from its start to a planned stop.
* [`log`], [`metric`], [`dump`]: what operators see of it.

The choice of targets lives in the crate `bluebellpath-dispatch`, the clock and
the tasks in `bluebellpath-runtime`.

Platform, targets and peers are met behind small traits ([`platform::Table`],
[`target::Client`], [`peer::Link`]), so that another wire format for any of
them is one new file, and so that a test runs whole sessions against fakes on a
paused clock.
*/

pub mod admin;
pub mod caller;
pub mod config;
pub mod daemon;
pub mod dump;
pub mod entry;
pub mod http;
pub mod job;
pub mod log;
pub mod metric;
pub mod owner;
pub mod peer;
pub mod platform;
pub mod record;
pub mod settings;
pub mod target;

pub use bluebellpath_runtime as runtime;
