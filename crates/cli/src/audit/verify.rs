//! Check of the whole record.

use std::error::Error;

use bluebellpath::record::{Reader, Report};
use serde::Serialize;

/// What the check found.
#[derive(Serialize)]
struct Findings {
    sound: bool,
    chains: Vec<Report>,
    /// Incarnations with batches that the table knows nothing of.
    unmarked: Vec<String>,
}

/// Prints what a check of all chains found; false when anything is wrong.
pub async fn run(reader: &Reader, json: bool) -> Result<bool, Box<dyn Error>> {
    let marks = reader.marks().await?;
    let mut chains = Vec::new();
    for (incarnation, mark) in &marks {
        chains.push(reader.verify(*incarnation, mark).await?);
    }
    let known: Vec<_> = marks.iter().map(|it| it.0).collect();
    let unmarked = reader.unmarked(&known).await?;
    let findings = Findings {
        sound: unmarked.is_empty() && chains.iter().all(Report::is_sound),
        chains,
        unmarked,
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&findings)?);
    } else {
        print(&findings);
    }
    Ok(findings.sound)
}

fn print(findings: &Findings) {
    println!(
        "{:<18} {:<16} {:>8} {:>9} {:>8}  end",
        "incarnation", "instance", "batches", "entries", "gaps"
    );
    for it in &findings.chains {
        let missing: u64 = it.gaps.iter().map(|gap| gap.entries).sum();
        let end = match it.closed {
            true => "closed".to_owned(),
            false => format!(
                "open: runs, or crashed with answers given after {} ms missing",
                it.marked_ms
            ),
        };
        println!(
            "{:<18} {:<16} {:>8} {:>9} {missing:>8}  {end}",
            it.incarnation, it.instance, it.batches, it.entries
        );
        for gap in &it.gaps {
            println!(
                "  {} requests answered from {} to {} ms are not in the record",
                gap.entries, gap.from_ms, gap.to_ms
            );
        }
        for flaw in &it.flaws {
            println!("  WRONG: {flaw}");
        }
    }
    for incarnation in &findings.unmarked {
        println!("WRONG: batches of {incarnation} without a mark");
    }
    println!(
        "{}",
        match findings.sound {
            true => "the record is sound",
            false => "the record was changed or parts of it are missing",
        }
    );
}
