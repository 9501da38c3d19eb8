/*!
HTTP towards operators, under `/admin`.

| request | role | meaning |
|---|---|---|
| `GET /admin/config[?version=N]` | viewer | content of the newest, or of an earlier version; `ETag` |
| `GET /admin/config/in-force` | viewer | what this instance acts under now |
| `GET /admin/config/at?ms=T` | viewer | version and preset in force at a wall time |
| `GET /admin/config/diff?from=A[&to=B]` | viewer | changes between two versions |
| `GET /admin/config/history[?after=N&limit=M]` | viewer | who changed what, when and why |
| `GET /admin/config/operations/ID` | viewer | what became of an operation |
| `POST /admin/config/changes[?dry_run=true]` | operator | typed changes |
| `PUT /admin/config[?dry_run=true]` | operator | whole content |
| `POST /admin/config/restore[?dry_run=true]` | operator | roll forward to an earlier content |
| `GET /admin/instances` | viewer | instances, their versions, whom they suspect |
| `GET /admin/outcomes[?team=NAME]` | viewer, or the team | outcomes by team at this instance |

The last three of `config` need `If-Match` with the version that the operator
looked at. Whoever loses a race gets 412 with what the others changed. Changes of
keys need an administrator. A key is sent as `Authorization: Bearer NAME.SECRET`.

While no administrator's key exists everybody may look, and the only change let
in sets that key.

Errors are problem documents (RFC 9457) like those towards callers; `outcome`
says what is true of the change.
*/

mod access;
mod api;
mod body;
mod config;
mod outcomes;
mod problem;
mod view;

pub use access::{Access, Principal};
pub use api::Api;
pub use body::{Changed, Content, Difference, Operation, Proposal, Replacement, Restoration};
pub use outcomes::{Counts, Outcomes};
pub use problem::Problem;
pub use view::{At, InForce, Instance, Instances, Suspect};
