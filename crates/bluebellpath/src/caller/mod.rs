/*!
HTTP interface for callers.

* `POST /tickets?count=N` issues job ids.
* `POST /jobs` submits a job under the id in `Idempotency-Key` and waits for the
  answer. Without the header, the instance issues a ticket itself.
* `GET /jobs/ID` waits for the answer to a job, with `?wait_ms=N` for at most
  that long.
* `DELETE /jobs/ID` cancels a job.
* `GET /health/live` succeeds while the process runs, `GET /health/ready` while
  the load balancer should send requests here.
* `GET /metrics` returns the metrics, `GET /debug/state?limit=N` the tables of
  the process with at most N rows each.

A complete answer is 200 with the results. Every other answer is a problem
document (RFC 9457) whose `outcome` states the outcome of the job: `failed`,
`not_run` or `unknown`.
*/

mod field_error;
mod problem;
mod service;
mod validation;

pub use field_error::FieldError;
pub use problem::Problem;
pub use service::Api;
