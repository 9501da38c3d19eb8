//! Stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::{Json, base64, quote};

/// Time of a transaction, as the settings tell.
const TRANSACTION: Duration = Duration::from_millis(8);

/// Time of any other answer.
const ANSWER: Duration = Duration::from_millis(4);

/// Most rows of one answer.
const PAGE: usize = 500;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    /// Changes in order; the rows are read as they are now.
    changes: Vec<(u64, Key)>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    since: Instant,
}

impl Store {
    pub fn new() -> Arc<Store> {
        Arc::new(Store {
            rows: Mutex::default(),
            changed: Condvar::new(),
            since: Instant::now(),
        })
    }

    /// Writes a row of the operator or of a worker.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows
            .insert(key.clone(), (base64(value.as_bytes()), version));
        rows.changes.push((version, key));
        self.changed.notify_all();
    }

    pub fn handle(&self, request: Request) -> Reply {
        match request.path.as_str() {
            "/-/rows-tx" => {
                thread::sleep(TRANSACTION);
                self.transact(&request.body)
            }
            "/-/rows-get" => {
                thread::sleep(ANSWER);
                self.get(&request)
            }
            "/-/rows-feed" => {
                thread::sleep(ANSWER);
                self.feed(&request)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn tail(&self, rows: &Rows) -> String {
        let now = self.since.elapsed().as_millis();
        format!("\"ver\":{},\"now_ms\":{now}", rows.version)
    }

    fn transact(&self, body: &str) -> Reply {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let key = |it: &Json| {
            (
                it.text("table").to_owned(),
                it.text("part").to_owned(),
                it.text("key").to_owned(),
            )
        };
        let mut rows = self.rows.lock().unwrap();
        let expected = body.list("expect");
        let version_of = |it: &Json| rows.rows.get(&key(it)).map_or(0, |it| it.1);
        let holds = |it: &Json| version_of(it) == it.number("ver").unwrap_or(0);
        if !expected.iter().all(holds) {
            let current = expected.iter().filter_map(|it| {
                let key = key(it);
                rows.rows.get(&key).map(|row| render(&key, Some(row), 0))
            });
            let current = current.collect::<Vec<_>>().join(",");
            return (
                412,
                format!("{{\"rows\":[{current}],{}}}", self.tail(&rows)),
            );
        }
        rows.version += 1;
        let version = rows.version;
        for write in body.list("writes") {
            let key = key(write);
            if key.0 == "op" || key.0 == "servers" {
                return (403, "{}".to_owned());
            }
            rows.rows
                .insert(key.clone(), (write.text("value").to_owned(), version));
            rows.changes.push((version, key));
        }
        for removed in body.list("remove") {
            let key = key(removed);
            rows.rows.remove(&key);
            rows.changes.push((version, key));
        }
        self.changed.notify_all();
        (200, format!("{{{}}}", self.tail(&rows)))
    }

    fn get(&self, request: &Request) -> Reply {
        let rows = self.rows.lock().unwrap();
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let limit = request.parameter("limit").parse().unwrap_or(PAGE).min(PAGE);
        let matching = rows.rows.iter().filter(|((a, b, key), _)| {
            a == table && b == part && key.as_str() >= from && (to.is_empty() || key.as_str() < to)
        });
        let matching: Vec<_> = matching
            .map(|(key, row)| render(key, Some(row), 0))
            .collect();
        let more = matching.len() > limit;
        let page = matching[..matching.len().min(limit)].join(",");
        (
            200,
            format!(
                "{{\"rows\":[{page}],\"has_more\":{more},{}}}",
                self.tail(&rows)
            ),
        )
    }

    fn feed(&self, request: &Request) -> Reply {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait = request.parameter("wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: BTreeMap<&Key, u64> = BTreeMap::new();
            for (version, key) in rows.changes.iter().rev().take_while(|it| it.0 > after) {
                if key.0 == table {
                    found.entry(key).or_insert(*version);
                }
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let mut found: Vec<_> = found.into_iter().collect();
                found.sort_by_key(|it| it.1);
                let page = found
                    .iter()
                    .map(|(key, at)| render(key, rows.rows.get(*key), *at));
                let page = page.collect::<Vec<_>>().join(",");
                return (200, format!("{{\"rows\":[{page}],{}}}", self.tail(&rows)));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn render(key: &Key, row: Option<&(String, u64)>, removed_at: u64) -> String {
    let names = format!(
        "\"table\":{},\"part\":{},\"key\":{}",
        quote(&key.0),
        quote(&key.1),
        quote(&key.2)
    );
    match row {
        Some((value, version)) => {
            format!("{{{names},\"value\":{},\"ver\":{version}}}", quote(value))
        }
        None => format!("{{{names},\"ver\":{removed_at},\"deleted\":true}}"),
    }
}
