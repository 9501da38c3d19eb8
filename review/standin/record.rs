//! What was sent, answered and run, and the checks on it.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::worker::RunKey;

pub struct Record {
    since: Instant,
    state: Mutex<State>,
}

struct State {
    file: File,
    /// Runs in progress of each task, with their workers.
    running: BTreeMap<String, Vec<(String, u64)>>,
    broken: Vec<String>,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Arc<Record>> {
        let state = State {
            file: File::create(path)?,
            running: BTreeMap::new(),
            broken: Vec::new(),
        };
        Ok(Arc::new(Record {
            since: Instant::now(),
            state: Mutex::new(state),
        }))
    }

    pub fn line(&self, text: &str) {
        self.state.lock().unwrap().write(self.since, text);
    }

    /// Records a breach of a rule.
    pub fn breach(&self, text: &str) {
        self.state.lock().unwrap().breach(self.since, text);
    }

    pub fn broken(&self) -> Vec<String> {
        self.state.lock().unwrap().broken.clone()
    }

    pub fn running(&self) -> usize {
        self.state
            .lock()
            .unwrap()
            .running
            .values()
            .map(Vec::len)
            .sum()
    }

    /// Records a start. `room` is what was in use before it, what it takes and what
    /// there is.
    pub fn start(
        &self,
        worker: &str,
        key: &RunKey,
        spec: &str,
        room: (u64, u64, u64),
        labels: &[String],
    ) {
        let (used, cpu, capacity) = room;
        let (task, run) = (&key.0, key.1);
        let mut state = self.state.lock().unwrap();
        state.write(
            self.since,
            &format!("start {task} run {run} on {worker}: {used} + {cpu} of {capacity}"),
        );
        if used + cpu > capacity {
            let text = format!(
                "LIMIT: start of {task} run {run} on {worker} brings it to {} of {capacity}",
                used + cpu
            );
            state.breach(self.since, &text);
        }
        let label = spec.split(' ').find_map(|it| it.strip_prefix("label="));
        if let Some(label) = label.filter(|it| labels.iter().all(|has| has != it)) {
            let text = format!(
                "ROUTE: start of {task} run {run} on {worker}, which has not the label {label} \
                 but {}",
                labels.join(",")
            );
            state.breach(self.since, &text);
        }
        let runs = state.running.entry(task.clone()).or_default();
        let others: Vec<_> = runs.clone();
        runs.push((worker.to_owned(), run));
        if let Some((other, earlier)) = others.first() {
            let text = format!(
                "TWICE: {task} starts as run {run} on {worker} while its run {earlier} is at \
                 work on {other}"
            );
            state.breach(self.since, &text);
        }
    }

    pub fn end(&self, worker: &str, key: &RunKey, how: &str) {
        let mut state = self.state.lock().unwrap();
        if let Some(runs) = state.running.get_mut(&key.0) {
            runs.retain(|it| !(it.0 == worker && it.1 == key.1));
            if runs.is_empty() {
                state.running.remove(&key.0);
            }
        }
        state.write(
            self.since,
            &format!("end {} run {} on {worker}: {how}", key.0, key.1),
        );
    }
}

impl State {
    fn write(&mut self, since: Instant, text: &str) {
        // The record is for reading; the exit status does not depend on it.
        let _ = writeln!(self.file, "{:9.3} {text}", since.elapsed().as_secs_f64());
    }

    fn breach(&mut self, since: Instant, text: &str) {
        self.write(since, &format!("BREACH {text}"));
        self.broken.push(text.to_owned());
    }
}
