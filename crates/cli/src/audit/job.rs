//! What the record says of one job.

use std::error::Error;

use bluebellpath::{
    job::Id,
    record::{Entry, Reader},
};
use serde::Serialize;

/// Entry as it is printed.
#[derive(Serialize)]
struct Shown {
    incarnation: String,
    batch: u64,
    /// Missing when the batch that held it is gone or was changed.
    entry: Option<Entry>,
}

/// Prints what the record says of the job `id`; false when it has no entry.
pub async fn run(reader: &Reader, id: &str, json: bool) -> Result<bool, Box<dyn Error>> {
    let id: Id = id.parse()?;
    let found = reader.find(&id).await?;
    let shown: Vec<Shown> = found
        .into_iter()
        .map(|it| Shown {
            incarnation: it.incarnation.to_string(),
            batch: it.number,
            entry: it.entry,
        })
        .collect();
    if json {
        println!("{}", serde_json::to_string_pretty(&shown)?);
    } else {
        print(&id, &shown);
    }
    Ok(shown.iter().any(|it| it.entry.is_some()))
}

fn print(id: &Id, shown: &[Shown]) {
    if shown.is_empty() {
        println!("{id} is not in the record; `audit verify` lists gaps and crashes");
    }
    for it in shown {
        println!("job          {id}");
        println!(
            "in           batch {} of incarnation {}",
            it.batch, it.incarnation
        );
        match &it.entry {
            Some(entry) => print_entry(entry),
            None => println!("entry        missing: the batch is gone or was changed"),
        }
        println!();
    }
}

fn print_entry(entry: &Entry) {
    let times = &entry.times;
    let took_ms = times.answered_ms.saturating_sub(times.submitted_ms);
    println!("instance     {}", entry.instance);
    println!("team         {}", entry.team);
    println!("outcome      {}", entry.outcome);
    if let Some(detail) = &entry.detail {
        println!("because      {detail}");
    }
    println!(
        "times        submitted {} ms, answered after {took_ms} ms, due after {} ms",
        times.submitted_ms, times.deadline_ms
    );
    let confirmed = match entry.unconfirmed_since {
        None => "confirmed".to_owned(),
        Some(since) => format!("unconfirmed since {since} ms"),
    };
    println!(
        "preset       {}, configuration version {}, {confirmed}",
        entry.preset, entry.config_version
    );
    for (index, task) in entry.tasks.iter().enumerate() {
        let target = task.target.as_deref().unwrap_or("no target");
        println!(
            "task {index:<7} {} for {} at {target}",
            task.outcome, task.caller
        );
    }
    for proof in &entry.proofs {
        println!("{:<45} {}", proof.promise.to_string(), proof.finding);
    }
}
