//! The platform's store: rows in memory, with one counter of versions.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, Response, Server, response},
    json::{self, Value, base64, quote},
};

/// Time of an answer.
const ANSWER: Duration = Duration::from_millis(4);

/// Most rows of one answer.
const PAGE: usize = 500;

/// Most bytes of the rows of one answer.
const PAGE_BYTES: usize = 1_000_000;

/// `history_s` of the settings.
const HISTORY: Duration = Duration::from_secs(20);

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value in base64, if the row was not removed, and version.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    /// Times at which the versions from 1 on were written.
    times: Vec<Instant>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    since: Instant,
    /// Most bytes of the rows of one answer of the feed, for which the pages set no limit.
    feed_bytes: usize,
}

impl Store {
    /// Starts a store on a free port of `ip`.
    pub fn start(ip: &str) -> io::Result<(Arc<Store>, Server)> {
        let store = Arc::new(Store {
            rows: Mutex::default(),
            changed: Condvar::new(),
            since: Instant::now(),
            feed_bytes: std::env::var("FEED_BYTES")
                .ok()
                .and_then(|it| it.parse().ok())
                .unwrap_or(usize::MAX),
        });
        let handler = store.clone();
        let server = Server::start(
            &format!("{ip}:0"),
            Arc::new(move |it| Some(handler.handle(&it))),
        )?;
        Ok((store, server))
    }

    /// Writes a row of the operator, of a worker or of another writer.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().unwrap();
        rows.write(key, Some(base64(value)));
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        thread::sleep(ANSWER);
        match request.path.as_str() {
            "/-/rows-tx" => self.transact(&request.body),
            "/-/rows-get" => self.get(request),
            "/-/rows-feed" => self.feed(request),
            _ => response(404, String::from("{}")),
        }
    }

    fn answer(&self, status: u16, rows: &[String], has_more: bool, version: u64) -> Response {
        let body = format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"ver\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.since.elapsed().as_millis()
        );
        response(status, body)
    }

    fn transact(&self, body: &[u8]) -> Response {
        let Some(body) = json::parse(body) else {
            return response(400, String::from("{}"));
        };
        let key = |it: &Value| -> Key {
            let text = |name| it.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let forbidden = |it: &Value| ["op", "servers"].contains(&it.get("table").text());
        if body.get("writes").list().iter().any(forbidden) {
            return response(403, String::from("{}"));
        }
        let mut rows = self.rows.lock().unwrap();
        let expected = body.get("expect").list();
        let version_of = |rows: &Rows, it: &Value| match rows.rows.get(&key(it)) {
            Some((Some(_), version)) => *version,
            _ => 0,
        };
        let differs = |it: &Value| version_of(&rows, it) != it.get("ver").number().unwrap_or(0);
        if expected.iter().any(differs) {
            let current = expected.iter().filter_map(|it| {
                let (key, row) = rows.rows.get_key_value(&key(it))?;
                row.0.is_some().then(|| render(key, row))
            });
            let current: Vec<_> = current.collect();
            return self.answer(412, &current, false, rows.version);
        }
        for write in body.get("writes").list() {
            let value = write.get("value").text().to_owned();
            rows.write(key(write), Some(value));
        }
        for removed in body.get("remove").list() {
            rows.write(key(removed), None);
        }
        self.changed.notify_all();
        self.answer(200, &[], false, rows.version)
    }

    fn get(&self, request: &Request) -> Response {
        let parameter = |name| request.parameter(name).unwrap_or_default();
        let (table, part) = (parameter("table"), parameter("part"));
        let (from, to) = (parameter("from"), request.parameter("to"));
        let limit = parameter("limit").parse().unwrap_or(PAGE).min(PAGE);
        let rows = self.rows.lock().unwrap();
        let matching = rows.rows.iter().filter(|(key, row)| {
            let in_range = key.2 >= from && to.as_ref().is_none_or(|it| key.2 < *it);
            key.0 == table && key.1 == part && in_range && row.0.is_some()
        });
        let mut page = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (key, row) in matching {
            let rendered = render(key, row);
            bytes += rendered.len();
            if page.len() == limit || !page.is_empty() && bytes > PAGE_BYTES {
                has_more = true;
                break;
            }
            page.push(rendered);
        }
        self.answer(200, &page, has_more, rows.version)
    }

    fn feed(&self, request: &Request) -> Response {
        let table = request.parameter("table").unwrap_or_default();
        let number = |name| {
            request
                .parameter(name)
                .and_then(|it| it.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changed = rows
                .rows
                .iter()
                .filter(|(key, row)| key.0 == table && row.1 > after);
            let mut changed: Vec<_> = changed.collect();
            changed.sort_by_key(|it| it.1.1);
            let left = end.saturating_duration_since(Instant::now());
            if rows.is_forgotten(after) {
                return response(410, String::from("{}"));
            }
            if !changed.is_empty() || left.is_zero() {
                let (mut page, mut bytes, mut version) = (Vec::new(), 0, rows.version);
                for (key, row) in changed {
                    let rendered = render(key, row);
                    bytes += rendered.len();
                    if !page.is_empty() && bytes > self.feed_bytes {
                        break;
                    }
                    page.push(rendered);
                    version = row.1;
                }
                if bytes <= self.feed_bytes {
                    version = rows.version;
                }
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    page.join(","),
                    version,
                    self.since.elapsed().as_millis()
                );
                return response(200, body);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

impl Rows {
    /// Whether changes after `version` are older than the history.
    fn is_forgotten(&self, version: u64) -> bool {
        let first = self.times.get(version as usize);
        first.is_some_and(|it| it.elapsed() > HISTORY)
    }

    fn write(&mut self, key: Key, value: Option<String>) {
        self.version += 1;
        self.times.push(Instant::now());
        self.rows.insert(key, (value, self.version));
    }
}

fn render((table, part, key): &Key, (value, version): &(Option<String>, u64)) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"deleted\":true".to_owned(),
    };
    let (table, part, key) = (quote(table), quote(part), quote(key));
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},\"ver\":{version},{rest}}}")
}
