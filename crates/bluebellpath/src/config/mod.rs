/*!
The configuration in force: teams, kinds of task, presets.

One document holds for all instances. It lives in the platform's table, and
[`Current`] is what this instance knows of it.
*/

mod current;
mod document;

pub use current::{Current, View};
pub use document::{Document, Preset, Team};
