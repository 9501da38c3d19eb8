/*!
HTTP towards callers.

* `POST /tickets?count=N` hands out job ids.
* `POST /jobs` submits a job under the id in `Idempotency-Key` and waits for the
  answer. Without the header the instance hands out a ticket itself.
* `GET /jobs/ID` waits for the answer to a job.
* `DELETE /jobs/ID` cancels a job.

A complete answer is 200 with the results. All else is a problem document (RFC
9457) whose `outcome` says what is true of the job: `failed`, `not_run` or
`unknown`.
*/

mod problem;
mod service;

pub use problem::Problem;
pub use service::Api;
