/*!
Reads the record: one job, or whole chains to see that nothing is missing.

A job costs one scan of the table and one object for each of its entries,
however many there are in all.
*/

use std::rc::Rc;

use super::{
    Batch, Entry, Item, Mark, Report,
    mark::{self, MARKS},
    report::Flaw,
};
use crate::{
    job::{Id, Incarnation},
    platform::{Error, Store, Table},
};

/// Rows of one scan.
const PAGE: usize = 500;

/// Reads the record.
pub struct Reader {
    table: Rc<dyn Table>,
    objects: Rc<dyn Store>,
}

/// Entry with the batch that holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    /// Run of the instance that wrote the batch.
    pub incarnation: Incarnation,
    /// Number of the batch.
    pub number: u64,
    /// Entry; `None` when the batch is gone or holds it no more.
    pub entry: Option<Entry>,
}

impl Reader {
    /// Reader of the record in `table` and `objects`.
    pub fn new(table: Rc<dyn Table>, objects: Rc<dyn Store>) -> Reader {
        Reader { table, objects }
    }

    /// Entries of `job`, by incarnation.
    pub async fn find(&self, job: &Id) -> Result<Vec<Found>, Error> {
        let prefix = mark::places(job);
        let rows = self.table.scan(&prefix, None, PAGE).await?;
        let mut found = Vec::new();
        for row in rows {
            let Some((incarnation, number)) = mark::parse_place(job, &row.key) else {
                continue;
            };
            let name = Batch::name(incarnation, number);
            let bytes = self.objects.get(&name).await?;
            let batch = bytes.as_deref().and_then(Batch::decode);
            let items = batch.map(|it| it.items).unwrap_or_default();
            let mut entries: Vec<Entry> = items
                .into_iter()
                .filter_map(|it| match it {
                    Item::Entry(entry) if entry.job == *job => Some(*entry),
                    _ => None,
                })
                .collect();
            // One batch may hold several answers to one id; all are shown.
            let missing = entries.is_empty().then_some(None);
            let entries = entries.drain(..).map(Some).chain(missing);
            found.extend(entries.map(|entry| Found {
                incarnation,
                number,
                entry,
            }));
        }
        Ok(found)
    }

    /// Chains that have a mark.
    pub async fn marks(&self) -> Result<Vec<(Incarnation, Mark)>, Error> {
        let mut marks = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let rows = self.table.scan(MARKS, after.as_deref(), PAGE).await?;
            let Some(last) = rows.last() else {
                return Ok(marks);
            };
            after = Some(last.key.clone());
            marks.extend(rows.iter().filter_map(|it| {
                let mark = postcard::from_bytes(&it.row.value).ok()?;
                Some((Mark::incarnation(&it.key)?, mark))
            }));
        }
    }

    /// Checks the chain of `incarnation` up to its `mark`.
    pub async fn verify(&self, incarnation: Incarnation, mark: &Mark) -> Result<Report, Error> {
        let mut report = Report::new(incarnation, mark);
        let mut previous = [0; 32];
        for number in 1..=mark.number {
            let name = Batch::name(incarnation, number);
            let Some(bytes) = self.objects.get(&name).await? else {
                report.flaws.push(Flaw::Missing { number });
                continue;
            };
            let hash = Batch::hash(&bytes);
            match Batch::decode(&bytes) {
                Some(batch) => report.take(number, &batch, previous),
                None => report.flaws.push(Flaw::Malformed { number }),
            }
            previous = hash;
        }
        if mark.number > 0 && previous != mark.hash {
            report.flaws.push(Flaw::Head {
                number: mark.number,
            });
        }
        // One batch may be stored whose mark was still to come.
        let beyond = Batch::name(incarnation, mark.number + 1);
        let prefix = Batch::prefix(incarnation);
        let beyond = self.objects.list(&prefix, Some(&beyond), 1).await?;
        if !beyond.is_empty() {
            report.flaws.push(Flaw::Beyond);
        }
        Ok(report)
    }

    /// Incarnations with batches and no mark, out of those after `after`.
    pub async fn unmarked(&self, known: &[Incarnation]) -> Result<Vec<String>, Error> {
        let mut unmarked = Vec::new();
        let mut after = "record/".to_owned();
        loop {
            let names = self.objects.list("record/", Some(&after), 1).await?;
            let Some(name) = names.first() else {
                return Ok(unmarked);
            };
            let incarnation = name.split('/').nth(1).unwrap_or_default();
            if !known.iter().any(|it| it.to_string() == incarnation) {
                unmarked.push(incarnation.to_owned());
            }
            // The next directory: `0` follows `/`.
            after = format!("record/{incarnation}0");
        }
    }
}
