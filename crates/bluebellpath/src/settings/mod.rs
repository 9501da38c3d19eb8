/*!
Settings of one process: addresses, its failure domain, limits.

Settings are read once, from a file of JSON with comments. Values that all
instances must agree on are stored in the platform's table instead, see
[`config`](crate::config).

Validation reports all faults at once: [`Error::Invalid`] holds every [`Fault`]
with its line, column and field, what was found and what is allowed. The parser
walks the syntax tree instead of using serde, which stops at the first fault and
does not give the position of a field. Durations and sizes are strings with a
unit, such as `"500 ms"` or `"4 MiB"`, so that the unit is never ambiguous.

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
