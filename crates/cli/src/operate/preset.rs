//! Presets.

use bluebellpath::config::Change;
use clap::ArgMatches;

use super::{
    client::{Client, text},
    error::Error,
    output::{Output, row},
};

/// Runs `preset VERB`.
pub async fn run(
    verb: &str,
    matches: &ArgMatches,
    client: &Client,
    output: &Output,
) -> Result<(), Error> {
    if verb == "switch" {
        let switch = |_: &_| vec![Change::SwitchPreset(text(matches, "name"))];
        return client.change(matches, output, switch).await;
    }
    let document = client.newest().await?.document;
    output.print(&document.presets, |presets| {
        let head = row(["preset", "max attempts", "max waiting", "drain ms", ""]);
        let entry = |it: &bluebellpath::config::Preset| {
            let mark = if it.name == document.preset {
                "newest"
            } else {
                ""
            };
            row([
                &it.name,
                &it.max_attempts.to_string(),
                &it.max_waiting.to_string(),
                &it.drain_ms.to_string(),
                mark,
            ])
        };
        [head]
            .into_iter()
            .chain(presets.iter().map(entry))
            .collect()
    });
    Ok(())
}
