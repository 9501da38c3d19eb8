/*!
HTTP towards callers.

* `POST /tickets?count=N` hands out job ids.
* `POST /jobs` submits a job under the id in `Idempotency-Key` and waits for the
  answer. Without the header the instance hands out a ticket itself.
* `GET /jobs/ID` waits for the answer to a job, with `?wait_ms=N` for at most
  that long.
* `DELETE /jobs/ID` cancels a job.
* `GET /health/live` answers while the process runs, `GET /health/ready` while
  the balancer should send requests here.
* `GET /metrics` tells the metrics, `GET /debug/state?limit=N` the tables of the
  process with at most N rows each.

A complete answer is 200 with the results. All else is a problem document (RFC
9457) whose `outcome` says what is true of the job: `failed`, `not_run` or
`unknown`.
*/

mod check;
mod fault;
mod problem;
mod service;

pub use fault::Fault;
pub use problem::Problem;
pub use service::Api;
