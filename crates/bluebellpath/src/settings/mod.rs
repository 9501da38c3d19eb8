/*!
What one process is started with: addresses, its failure domain, limits.

Settings belong to one process and are read once, from a file of JSON with
comments. What all instances must agree on lives in the platform's table
instead, see [`config`](crate::config).

A file is checked as a whole: [`Error::Invalid`] holds every [`Fault`], each
with its line, column and field, what was found and what is allowed. The
document is walked by its syntax tree and not by serde, which stops at the
first fault and knows no offset. Durations and sizes are texts with a unit,
`"500 ms"` or `"4 MiB"`, so that no reader has to guess one.

# Example

```
use bluebellpath::settings::{Error, Settings};

let faults = match Settings::parse(r#"{ "name": "entry-1", "lissten": 1 }"#) {
    Err(Error::Invalid { faults }) => faults,
    _ => panic!("fields are missing"),
};
assert!(faults.iter().any(|it| it.nearest.as_deref() == Some("listen")));
```
*/

mod domain;
mod drain;
mod error;
mod fault;
mod key;
mod peers;
mod process;
mod rule;
mod section;

pub use domain::Domain;
pub use drain::Drain;
pub use error::Error;
pub use fault::Fault;
pub use key::KeySource;
pub use peers::Peers;
pub use process::Settings;
