//! Instances, suspects and outcomes.

use std::collections::BTreeMap;

use bluebellpath::admin::{Counts, Instances};
use clap::ArgMatches;

use super::{
    client::Client,
    error::Error,
    output::{Output, optional, row},
};

/// Runs `instances`, `suspects` or `outcomes`.
pub async fn run(
    name: &str,
    matches: &ArgMatches,
    client: &Client,
    output: &Output,
) -> Result<(), Error> {
    match name {
        "instances" => instances(client, output).await,
        "suspects" => suspects(client, output).await,
        _ => outcomes(matches, client, output).await,
    }
}

async fn instances(client: &Client, output: &Output) -> Result<(), Error> {
    let seen: Instances = client.get("/admin/instances").await?;
    output.print(&seen, |seen| {
        let head = row([
            "instance",
            "domain",
            "incarnation",
            "address",
            "phase",
            "version",
            "read ms ago",
            "heard ms ago",
            "waiting",
            "running",
            "suspects",
        ]);
        let entry = |it: &bluebellpath::admin::Instance| {
            row([
                &it.name,
                &it.domain.to_string(),
                &it.incarnation.to_string(),
                &it.address.to_string(),
                &format!("{:?}", it.phase),
                &it.config_version.to_string(),
                &optional(it.config_age_ms),
                &it.heard_ms.to_string(),
                &it.waiting.to_string(),
                &it.running.to_string(),
                &it.suspects.len().to_string(),
            ])
        };
        [head]
            .into_iter()
            .chain(seen.instances.iter().map(entry))
            .collect()
    });
    Ok(())
}

async fn suspects(client: &Client, output: &Output) -> Result<(), Error> {
    let seen: Instances = client.get("/admin/instances").await?;
    output.print(&seen, |seen| {
        let head = row(["target", "suspected by", "slowness"]);
        let pairs = seen.instances.iter().flat_map(|it| {
            let by = it.name.clone();
            it.suspects.iter().map(move |suspect| {
                let slowness = match suspect.slowness_permille {
                    u32::MAX => "fails".to_owned(),
                    permille => format!("{:.1}x", f64::from(permille) / 1000.0),
                };
                vec![suspect.target.clone(), by.clone(), slowness]
            })
        });
        [head].into_iter().chain(pairs).collect()
    });
    Ok(())
}

async fn outcomes(matches: &ArgMatches, client: &Client, output: &Output) -> Result<(), Error> {
    let team = matches.get_one::<String>("team");
    let parameters: Vec<_> = team.map(|it| ("team", it.as_str())).into_iter().collect();
    let outcomes: BTreeMap<String, Counts> =
        client.get_with("/admin/outcomes", &parameters).await?;
    output.print(&outcomes, |outcomes| {
        let head = row(["team", "complete", "failed", "not run", "unknown"]);
        let entry = |(team, it): (&String, &Counts)| {
            let counts = [it.complete, it.failed, it.not_run, it.unknown];
            let cells = counts.iter().map(u64::to_string);
            [team.clone()].into_iter().chain(cells).collect()
        };
        [head]
            .into_iter()
            .chain(outcomes.iter().map(entry))
            .collect()
    });
    Ok(())
}
