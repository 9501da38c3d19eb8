/*!
Metrics, recorded through opentelemetry and read over HTTP.

[`Meters`] holds one instance's instruments. Nothing is pushed: a reader that
is asked on demand collects them, and [`text`] writes them in the exposition
format that scrapers read. Gauges are set right before that.
*/

mod meters;
mod reader;
mod sample;
pub mod text;

pub use meters::Meters;
pub use sample::Sample;
