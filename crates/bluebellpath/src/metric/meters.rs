//! Instruments of one instance.

use std::{fs, time::Duration};

use bluebellpath_dispatch::Ending;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::{SdkMeterProvider, data::ResourceMetrics, reader::MetricReader};

use super::{Sample, reader::Reader, text};
use crate::job::Outcome;

/// Upper bounds of response times, in seconds.
const SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Upper bounds of response times over the longest task's run.
const RATIOS: [f64; 10] = [1.01, 1.02, 1.05, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0];

/// Ticks of the kernel's processor clock in a second.
const TICKS_PER_S: f64 = 100.0;

/// Gauge with the part of a sample that it shows.
type Level = (fn(&Sample) -> u64, Gauge<u64>);

/// Instruments of one instance.
pub struct Meters {
    reader: Reader,
    // Instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    response: Histogram<f64>,
    ratio: Histogram<f64>,
    starts: Counter<u64>,
    stops: Counter<u64>,
    heartbeat_bytes: Gauge<u64>,
    cpu: Gauge<f64>,
    levels: Vec<Level>,
}

impl Default for Meters {
    fn default() -> Meters {
        let reader = Reader::default();
        let provider = SdkMeterProvider::builder()
            .with_reader(reader.clone())
            .build();
        let meter = provider.meter("bluebellpath");
        Meters {
            reader,
            response: meter
                .f64_histogram("response_seconds")
                .with_description("Time from submission to the answer, by outcome")
                .with_boundaries(SECONDS.to_vec())
                .build(),
            ratio: meter
                .f64_histogram("response_ratio")
                .with_description("Response of complete jobs over the run of their longest task")
                .with_boundaries(RATIOS.to_vec())
                .build(),
            starts: meter
                .u64_counter("starts")
                .with_description("Starts handed to targets, by how they ended")
                .build(),
            stops: meter
                .u64_counter("stops")
                .with_description("Requests to targets to stop a task")
                .build(),
            heartbeat_bytes: meter
                .u64_gauge("heartbeat_sent_bytes")
                .with_description("Bytes of heartbeats sent since the start")
                .build(),
            cpu: meter
                .f64_gauge("cpu_seconds")
                .with_description("Processor time of the process since its start")
                .build(),
            levels: levels(&meter),
            _provider: provider,
        }
    }
}

impl Meters {
    /// Counts an answer that took `response`; `longest` is the run of the
    /// job's longest task, where it is known.
    pub fn answered(&self, outcome: Outcome, response: Duration, longest: Option<Duration>) {
        let outcome_name = [KeyValue::new("outcome", outcome.name())];
        self.response.record(response.as_secs_f64(), &outcome_name);
        if let (Outcome::Complete, Some(longest)) = (outcome, longest)
            && !longest.is_zero()
        {
            let ratio = response.as_secs_f64() / longest.as_secs_f64();
            self.ratio.record(ratio, &[]);
        }
    }

    /// Counts a start that ended.
    pub fn started(&self, ending: Ending) {
        let name = match ending {
            Ending::Complete => "complete",
            Ending::Failed => "failed",
            Ending::Stopped => "stopped",
            Ending::NotStarted(_) => "not_started",
            Ending::Unknown => "unknown",
        };
        self.starts.add(1, &[KeyValue::new("ending", name)]);
    }

    /// Counts a request to stop a task.
    pub fn stopped(&self) {
        self.stops.add(1, &[]);
    }

    /// All metrics as text, with the levels of `sample`.
    pub fn read(&self, sample: &Sample) -> String {
        for (level, gauge) in &self.levels {
            gauge.record(level(sample), &[]);
        }
        self.heartbeat_bytes.record(sample.heartbeat_bytes, &[]);
        if let Some(cpu) = cpu_seconds() {
            self.cpu.record(cpu, &[]);
        }
        let mut metrics = ResourceMetrics::default();
        match self.reader.collect(&mut metrics) {
            Ok(()) => text::write(&metrics),
            Err(error) => format!("# {error}\n"),
        }
    }
}

fn levels(meter: &Meter) -> Vec<Level> {
    let gauge = |name: &'static str, description: &'static str| {
        let builder = meter.u64_gauge(name);
        builder.with_description(description).build()
    };
    vec![
        (
            |it| it.jobs,
            gauge("jobs", "Jobs kept, answered ones included"),
        ),
        (|it| it.waiting, gauge("tasks_waiting", "Tasks that wait")),
        (|it| it.running, gauge("tasks_running", "Tasks that run")),
        (|it| it.targets, gauge("targets", "Targets listed")),
        (
            |it| it.peers,
            gauge("peers", "Entry instances of the domain heard of lately"),
        ),
        (|it| it.leases, gauge("leases", "Leases of shards held")),
        (
            |it| it.unwritten,
            gauge("record_unwritten", "Record entries not written yet"),
        ),
        (
            |it| it.config_version,
            gauge("config_version", "Configuration version in force"),
        ),
        (
            |it| it.config_age_ms,
            gauge(
                "config_age_ms",
                "Milliseconds since that version was known to be the newest",
            ),
        ),
        (
            |it| it.starts_near,
            gauge("starts_near", "Starts in the rack of the data"),
        ),
        (
            |it| it.starts_far,
            gauge("starts_far", "Starts outside the rack of the data"),
        ),
        (
            |it| it.starts_waited,
            gauge("starts_waited", "Starts after a wait for a better target"),
        ),
        (
            |it| it.starts_spilled,
            gauge(
                "starts_spilled",
                "Starts outside the rack of the data because it was busy",
            ),
        ),
        (
            |it| it.evacuated_domains,
            gauge(
                "evacuated_domains",
                "Failure domains in which nothing may be started",
            ),
        ),
        (
            |it| it.callers.connections,
            gauge("caller_connections", "Open connections of callers"),
        ),
        (
            |it| it.callers.bytes,
            gauge(
                "caller_bytes",
                "Bytes charged to the connections of callers",
            ),
        ),
        (
            |it| it.callers.evictions,
            gauge(
                "caller_evictions",
                "Connections of callers closed to make room for others",
            ),
        ),
        (
            |it| it.callers.refusals,
            gauge(
                "caller_refusals",
                "Connections and requests refused for lack of room",
            ),
        ),
    ]
}

/// Processor time of this process, as the kernel counts it.
fn cpu_seconds() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The name in brackets may hold spaces; the fields begin behind it.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some((ticks(11)? + ticks(12)?) / TICKS_PER_S)
}
