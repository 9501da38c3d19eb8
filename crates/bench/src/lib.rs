/*!
Traces, baselines and the table of response ratios and wasted messages.

[`session::Session`] runs one trace of one deployment under a contender: the
product's own [`Dispatcher`](bluebellpath_dispatch::Dispatcher) and
[`SlotLedger`](bluebellpath_dispatch::SlotLedger), one of the usual ways, or a scheduler
that knows everything. Targets are fakes with slots, a speed and faults. Time is
simulated, so a seed gives the same figures on every run. The figures are
defined in `docs/MEASURES.md`.
*/

pub mod baseline;
pub mod clairvoyant;
pub mod deployment;
pub mod fault;
pub mod figures;
pub mod output;
pub mod product;
pub mod random;
pub mod row;
pub mod scheduler;
pub mod sim;
pub mod session;
pub mod steady;
pub mod trace;
