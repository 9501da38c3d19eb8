//! The configuration as a whole.

use std::fs;

use bluebellpath::{
    admin::{At, Content, Difference, InForce, Operation, Replacement, Restoration},
    config::{Document, Revision},
};
use clap::ArgMatches;
use http::Method;

use super::{
    client::{Client, operation, text},
    error::Error,
    output::{Output, line, optional, row},
};

/// Runs `config VERB`.
pub async fn run(
    verb: &str,
    matches: &ArgMatches,
    client: &Client,
    output: &Output,
) -> Result<(), Error> {
    match verb {
        "get" => get(matches, client, output).await,
        "diff" => diff(matches, client, output).await,
        "apply" => apply(matches, client, output).await,
        "restore" => restore(matches, client, output).await,
        "history" => history(matches, client, output).await,
        "in-force" => in_force(client, output).await,
        "at" => at(matches, client, output).await,
        _ => what_became(matches, client, output).await,
    }
}

async fn get(matches: &ArgMatches, client: &Client, output: &Output) -> Result<(), Error> {
    let content: Content = match matches.get_one::<u64>("version") {
        Some(version) => {
            client
                .get(&format!("/admin/config?version={version}"))
                .await?
        }
        None => client.newest().await?,
    };
    eprintln!("version {}", content.version);
    output.document(&content.document);
    Ok(())
}

async fn diff(matches: &ArgMatches, client: &Client, output: &Output) -> Result<(), Error> {
    let from = matches.get_one::<u64>("from").copied().unwrap_or_default();
    let to = matches.get_one::<u64>("to");
    let to = to.map_or(String::new(), |it| format!("&to={it}"));
    let target = format!("/admin/config/diff?from={from}{to}");
    let difference: Difference = client.get(&target).await?;
    output.print(&difference, |it| {
        let head = row([&format!("version {} to {}", it.from, it.to)]);
        let changes = it.changes.iter().map(|it| vec![line(it)]);
        [head].into_iter().chain(changes).collect()
    });
    Ok(())
}

async fn apply(matches: &ArgMatches, client: &Client, output: &Output) -> Result<(), Error> {
    let document = load(&text(matches, "file"))?;
    let base = base(matches, client).await?;
    let body = Replacement {
        operation: operation(matches),
        reason: text(matches, "reason"),
        document,
    };
    let put = client.write(Method::PUT, "/admin/config", base, matches, &body);
    output.changed(&put.await?, &body.operation);
    Ok(())
}

async fn restore(matches: &ArgMatches, client: &Client, output: &Output) -> Result<(), Error> {
    let base = base(matches, client).await?;
    let body = Restoration {
        operation: operation(matches),
        reason: text(matches, "reason"),
        version: matches.get_one("version").copied().unwrap_or_default(),
    };
    let path = "/admin/config/restore";
    let post = client.write(Method::POST, path, base, matches, &body);
    output.changed(&post.await?, &body.operation);
    Ok(())
}

async fn history(matches: &ArgMatches, client: &Client, output: &Output) -> Result<(), Error> {
    let limit = matches.get_one::<u64>("limit").copied().unwrap_or_default();
    let after = match matches.get_one::<u64>("after") {
        Some(after) => *after,
        None => client.newest().await?.version.saturating_sub(limit),
    };
    let target = format!("/admin/config/history?after={after}&limit={limit}");
    let history: Vec<Revision> = client.get(&target).await?;
    output.print(&history, |it| {
        let head = row([
            "version",
            "effective_ms",
            "author",
            "operation",
            "reason",
            "changes",
        ]);
        let entry = |it: &Revision| {
            vec![
                it.version.to_string(),
                optional(it.effective_ms),
                it.author.clone(),
                it.operation.clone(),
                it.reason.clone(),
                it.changes.iter().map(line).collect::<Vec<_>>().join(" "),
            ]
        };
        [head].into_iter().chain(it.iter().map(entry)).collect()
    });
    Ok(())
}

async fn in_force(client: &Client, output: &Output) -> Result<(), Error> {
    let in_force: InForce = client.get("/admin/config/in-force").await?;
    output.print(&in_force, |it| {
        vec![
            row(["version", &it.version.to_string()]),
            row(["preset", &it.preset]),
            row(["unconfirmed since", &optional(it.unconfirmed_since)]),
            row(["next version", &optional(it.next_version)]),
            row(["in force at", &optional(it.next_effective_ms)]),
        ]
    });
    Ok(())
}

async fn at(matches: &ArgMatches, client: &Client, output: &Output) -> Result<(), Error> {
    let at_ms = matches.get_one::<u64>("ms").copied().unwrap_or_default();
    let at: At = client.get(&format!("/admin/config/at?ms={at_ms}")).await?;
    output.print(&at, |it| {
        vec![
            row(["at", &it.at_ms.to_string()]),
            row(["preset", &it.preset]),
            row(["version", &it.version.to_string()]),
            row(["in force since", &it.effective_ms.to_string()]),
            row(["by", &it.author]),
            row(["reason", &it.reason]),
        ]
    });
    Ok(())
}

async fn what_became(matches: &ArgMatches, client: &Client, output: &Output) -> Result<(), Error> {
    let id = text(matches, "name");
    let target = format!("/admin/config/operations/{id}");
    let operation: Operation = client.get(&target).await?;
    output.print(&operation, |it| match &it.accepted {
        Some(accepted) => vec![
            row(["accepted as", &accepted.version.to_string()]),
            row(["in force at", &optional(accepted.effective_ms)]),
            row(["by", &accepted.author]),
        ],
        None => vec![row(["not accepted so far"])],
    });
    Ok(())
}

async fn base(matches: &ArgMatches, client: &Client) -> Result<u64, Error> {
    match matches.get_one("if-match") {
        Some(base) => Ok(*base),
        None => Ok(client.newest().await?.version),
    }
}

/// Reads a document written as JSON with comments.
fn load(path: &str) -> Result<Document, Error> {
    let file = |detail: String| Error::File {
        path: path.to_owned(),
        detail,
    };
    let text = fs::read_to_string(path).map_err(|error| file(error.to_string()))?;
    let options = Default::default();
    let parsed = jsonc_parser::parse_to_serde_value(&text, &options);
    parsed.map_err(|error| file(error.to_string()))
}
