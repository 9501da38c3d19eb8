/*!
Checks a submission as a whole, so that one answer lists every faulty field.

serde stops at the first fault. It parses what is right; only what it refuses,
or what breaks a limit, is walked here.
*/

use serde_json::{Map, Value};

use super::Fault;
use crate::job::Submission;

/// Longest text of a name in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Longest deadline in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Most faults that one answer lists.
const MAX_FAULTS: usize = 100;

/// Longest quotation of what was found, in characters.
const MAX_QUOTED: usize = 40;

const NAME: &str = "a text of 1 to 256 bytes";
const DEADLINE: &str = "a whole number from 1 to 3600000";
const TASKS: &str = "a list of 1 to 190 tasks";
const SIZE: &str = "a whole number from 1 to 4294967295";
const NUMBER: &str = "a whole number, 0 or more";

/// Parses a submission, or lists what is wrong with it.
pub(super) fn parse(body: &[u8]) -> Result<Submission, Vec<Fault>> {
    let parsed: Result<Submission, _> = serde_json::from_slice(body);
    if let Ok(submission) = parsed.as_ref()
        && fits(submission)
    {
        return parsed.map_err(|_| Vec::new());
    }
    let faults = match serde_json::from_slice::<Value>(body) {
        Ok(Value::Object(fields)) => Walk::default().submission(&fields),
        Ok(other) => vec![fault(
            "",
            &other,
            "an object with team, deadline_ms and tasks",
        )],
        Err(error) => vec![Fault {
            field: String::new(),
            found: error.to_string(),
            allowed: "JSON".to_owned(),
        }],
    };
    if !faults.is_empty() {
        return Err(faults);
    }
    parsed.map_err(|error| {
        vec![Fault {
            field: String::new(),
            found: error.to_string(),
            allowed: "a submission".to_owned(),
        }]
    })
}

fn fits(submission: &Submission) -> bool {
    is_name(&submission.team)
        && (1..=MAX_DEADLINE_MS).contains(&submission.deadline_ms)
        && (1..=Submission::MAX_TASKS).contains(&submission.tasks.len())
        && submission
            .tasks
            .iter()
            .all(|it| it.size > 0 && is_name(&it.caller) && is_name(&it.kind))
}

fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len())
}

#[derive(Default)]
struct Walk {
    faults: Vec<Fault>,
}

impl Walk {
    fn submission(mut self, fields: &Map<String, Value>) -> Vec<Fault> {
        self.unknown("", fields, &["team", "deadline_ms", "tasks"]);
        self.required("", fields, "team", NAME, name);
        self.required("", fields, "deadline_ms", DEADLINE, |it| {
            it.as_u64()
                .is_some_and(|it| (1..=MAX_DEADLINE_MS).contains(&it))
        });
        self.required("", fields, "tasks", TASKS, |it| {
            it.as_array()
                .is_some_and(|it| (1..=Submission::MAX_TASKS).contains(&it.len()))
        });
        let tasks = fields.get("tasks").and_then(Value::as_array);
        for (index, task) in tasks.into_iter().flatten().enumerate() {
            self.task(&format!("tasks[{index}]"), task);
        }
        self.faults
    }

    fn task(&mut self, path: &str, task: &Value) {
        let Value::Object(fields) = task else {
            return self.push(fault(path, task, "an object"));
        };
        let known = [
            "caller",
            "kind",
            "payload",
            "run_time_ms",
            "size",
            "idempotent",
        ];
        self.unknown(path, fields, &known);
        self.required(path, fields, "caller", NAME, name);
        self.required(path, fields, "kind", NAME, name);
        self.optional(path, fields, "payload", "a text", Value::is_string);
        self.optional(path, fields, "run_time_ms", NUMBER, |it| {
            it.is_null() || it.is_u64()
        });
        self.optional(path, fields, "size", SIZE, |it| {
            it.as_u64()
                .is_some_and(|it| (1..=u64::from(u32::MAX)).contains(&it))
        });
        self.optional(
            path,
            fields,
            "idempotent",
            "true or false",
            Value::is_boolean,
        );
    }

    fn required(
        &mut self,
        path: &str,
        fields: &Map<String, Value>,
        name: &str,
        allowed: &str,
        fits: fn(&Value) -> bool,
    ) {
        match fields.get(name) {
            Some(_) => self.optional(path, fields, name, allowed, fits),
            None => self.push(Fault {
                field: join(path, name),
                found: "nothing".to_owned(),
                allowed: allowed.to_owned(),
            }),
        }
    }

    fn optional(
        &mut self,
        path: &str,
        fields: &Map<String, Value>,
        name: &str,
        allowed: &str,
        fits: fn(&Value) -> bool,
    ) {
        if let Some(value) = fields.get(name)
            && !fits(value)
        {
            self.push(fault(&join(path, name), value, allowed));
        }
    }

    fn unknown(&mut self, path: &str, fields: &Map<String, Value>, known: &[&str]) {
        for name in fields.keys().filter(|it| !known.contains(&it.as_str())) {
            self.push(Fault {
                field: join(path, &quote(name)),
                found: "an unknown field".to_owned(),
                allowed: format!("one of {}", known.join(", ")),
            });
        }
    }

    fn push(&mut self, fault: Fault) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(fault);
        }
    }
}

fn name(value: &Value) -> bool {
    value.as_str().is_some_and(is_name)
}

fn fault(field: &str, value: &Value, allowed: &str) -> Fault {
    let found = match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(it) => format!("a list of {}", it.len()),
        other => quote(&other.to_string()),
    };
    Fault {
        field: field.to_owned(),
        found,
        allowed: allowed.to_owned(),
    }
}

fn quote(text: &str) -> String {
    let mut quoted: String = text.chars().take(MAX_QUOTED).collect();
    if quoted.len() < text.len() {
        quoted.push('…');
    }
    quoted
}

fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.to_owned(),
        path => format!("{path}.{name}"),
    }
}
