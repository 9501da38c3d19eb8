//! Teams.

use bluebellpath::config::{Change, Document, Team};
use clap::ArgMatches;

use super::{
    client::{Client, text},
    error::Error,
    output::{Output, row},
};

/// Runs `team VERB`.
pub async fn run(
    verb: &str,
    matches: &ArgMatches,
    client: &Client,
    output: &Output,
) -> Result<(), Error> {
    match verb {
        "set" => {
            let set = |it: &Document| vec![Change::SetTeam(changed(it, matches))];
            client.change(matches, output, set).await
        }
        "remove" => {
            let remove = |_: &_| vec![Change::RemoveTeam(text(matches, "name"))];
            client.change(matches, output, remove).await
        }
        _ => list(client, output).await,
    }
}

/// Team of the given name with the limits that are given.
fn changed(document: &Document, matches: &ArgMatches) -> Team {
    let name = text(matches, "name");
    let fresh = Team {
        name: name.clone(),
        weight: 1,
        sustained_per_s: 10,
        burst: 100,
    };
    let team = document.team(&name).cloned().unwrap_or(fresh);
    let given = |id: &str, present: u32| matches.get_one(id).copied().unwrap_or(present);
    Team {
        weight: given("weight", team.weight),
        sustained_per_s: given("sustained-per-s", team.sustained_per_s),
        burst: given("burst", team.burst),
        name,
    }
}

async fn list(client: &Client, output: &Output) -> Result<(), Error> {
    let document = client.newest().await?.document;
    output.print(&document.teams, |teams| {
        let head = row(["team", "weight", "sustained/s", "burst"]);
        let entry = |it: &Team| {
            row([
                &it.name,
                &it.weight.to_string(),
                &it.sustained_per_s.to_string(),
                &it.burst.to_string(),
            ])
        };
        [head].into_iter().chain(teams.iter().map(entry)).collect()
    });
    Ok(())
}
