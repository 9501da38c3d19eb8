//! Exposition format that scrapers read.

use std::fmt::{Display, Write};

use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::data::{
    AggregatedMetrics, Histogram, Metric, MetricData, ResourceMetrics,
};

/// Prefix of each name.
const PREFIX: &str = "bluebellpath_";

/// Writes all of `metrics`, ordered by name.
pub fn write(metrics: &ResourceMetrics) -> String {
    let mut all: Vec<&Metric> = metrics
        .scope_metrics()
        .flat_map(|it| it.metrics())
        .collect();
    all.sort_by_key(|it| it.name());
    let mut text = String::new();
    for metric in all {
        match metric.data() {
            AggregatedMetrics::F64(data) => write_data(&mut text, metric, data),
            AggregatedMetrics::U64(data) => write_data(&mut text, metric, data),
            AggregatedMetrics::I64(data) => write_data(&mut text, metric, data),
        }
    }
    text
}

fn write_data<T: Copy + Display>(text: &mut String, metric: &Metric, data: &MetricData<T>) {
    let name = format!("{PREFIX}{}", metric.name());
    let mut lines = Vec::new();
    let kind = match data {
        MetricData::Gauge(gauge) => {
            let points = gauge.data_points();
            lines.extend(points.map(|it| line(&name, &labels(it.attributes()), it.value())));
            "gauge"
        }
        MetricData::Sum(sum) => {
            let points = sum.data_points();
            let total = format!("{name}_total");
            lines.extend(points.map(|it| line(&total, &labels(it.attributes()), it.value())));
            "counter"
        }
        MetricData::Histogram(histogram) => {
            buckets(&name, histogram, &mut lines);
            "histogram"
        }
        MetricData::ExponentialHistogram(_) => return,
    };
    // Writing to a text can't fail.
    let _ = writeln!(text, "# HELP {name} {}", metric.description());
    let _ = writeln!(text, "# TYPE {name} {kind}");
    lines.sort_by(|a, b| a.series.cmp(&b.series));
    for line in lines {
        let _ = writeln!(text, "{}", line.text);
    }
}

/// Line of the text, with the series that it belongs to.
struct Line {
    series: String,
    text: String,
}

fn line(name: &str, labels: &str, value: impl Display) -> Line {
    let text = match labels {
        "" => format!("{name} {value}"),
        labels => format!("{name}{{{labels}}} {value}"),
    };
    Line {
        series: labels.to_owned(),
        text,
    }
}

fn buckets<T: Copy + Display>(name: &str, histogram: &Histogram<T>, lines: &mut Vec<Line>) {
    for point in histogram.data_points() {
        let series = labels(point.attributes());
        let mut below = 0;
        let bounds = point.bounds().map(|it| it.to_string());
        let bounds = bounds.chain(["+Inf".to_owned()]);
        for (bound, count) in bounds.zip(point.bucket_counts()) {
            below += count;
            let comma = if series.is_empty() { "" } else { "," };
            let text = format!("{name}_bucket{{{series}{comma}le=\"{bound}\"}} {below}");
            lines.push(Line {
                series: series.clone(),
                text,
            });
        }
        lines.push(line(&format!("{name}_sum"), &series, point.sum()));
        lines.push(line(&format!("{name}_count"), &series, point.count()));
    }
}

fn labels<'a>(attributes: impl Iterator<Item = &'a KeyValue>) -> String {
    let mut labels: Vec<String> = attributes
        .map(|it| format!("{}=\"{}\"", it.key, escaped(&it.value.to_string())))
        .collect();
    labels.sort();
    labels.join(",")
}

fn escaped(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
