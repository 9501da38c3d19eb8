/*!
Validates a submission as a whole, so that one answer lists every invalid field.

serde stops at the first error. It parses valid submissions; only a submission
that it rejects, or that exceeds a limit, is validated field by field here.
*/

use serde_json::{Map, Value};

use super::FieldError;
use crate::job::Submission;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Maximum deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Maximum number of errors that one answer lists.
const MAX_ERRORS: usize = 100;

/// Maximum length of a quoted value, in characters.
const MAX_QUOTED_CHARS: usize = 40;

const ALLOWED_NAME: &str = "a text of 1 to 256 bytes";
const ALLOWED_DEADLINE: &str = "a whole number from 1 to 3600000";
const ALLOWED_TASKS: &str = "a list of 1 to 190 tasks";
const ALLOWED_SIZE: &str = "a whole number from 1 to 4294967295";
const ALLOWED_NUMBER: &str = "a whole number, 0 or more";

/// Parses a submission; on failure, lists its errors.
pub(super) fn parse(body: &[u8]) -> Result<Submission, Vec<FieldError>> {
    let parsed: Result<Submission, _> = serde_json::from_slice(body);
    if let Ok(submission) = parsed.as_ref()
        && is_valid(submission)
    {
        return parsed.map_err(|_| Vec::new());
    }
    let errors = match serde_json::from_slice::<Value>(body) {
        Ok(Value::Object(fields)) => Validator::default().validate(&fields),
        Ok(other) => vec![field_error(
            "",
            &other,
            "an object with team, deadline_ms and tasks",
        )],
        Err(error) => vec![FieldError {
            field: String::new(),
            found: error.to_string(),
            allowed: "JSON".to_owned(),
        }],
    };
    if !errors.is_empty() {
        return Err(errors);
    }
    parsed.map_err(|error| {
        vec![FieldError {
            field: String::new(),
            found: error.to_string(),
            allowed: "a submission".to_owned(),
        }]
    })
}

fn is_valid(submission: &Submission) -> bool {
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
struct Validator {
    errors: Vec<FieldError>,
}

impl Validator {
    fn validate(mut self, fields: &Map<String, Value>) -> Vec<FieldError> {
        self.check_unknown("", fields, &["team", "deadline_ms", "tasks"]);
        self.check_required("", fields, "team", ALLOWED_NAME, is_name_value);
        self.check_required("", fields, "deadline_ms", ALLOWED_DEADLINE, |it| {
            it.as_u64()
                .is_some_and(|it| (1..=MAX_DEADLINE_MS).contains(&it))
        });
        self.check_required("", fields, "tasks", ALLOWED_TASKS, |it| {
            it.as_array()
                .is_some_and(|it| (1..=Submission::MAX_TASKS).contains(&it.len()))
        });
        let tasks = fields.get("tasks").and_then(Value::as_array);
        for (index, task) in tasks.into_iter().flatten().enumerate() {
            self.check_task(&format!("tasks[{index}]"), task);
        }
        self.errors
    }

    fn check_task(&mut self, path: &str, task: &Value) {
        let Value::Object(fields) = task else {
            return self.push(field_error(path, task, "an object"));
        };
        let known = [
            "caller",
            "kind",
            "payload",
            "run_time_ms",
            "size",
            "idempotent",
        ];
        self.check_unknown(path, fields, &known);
        self.check_required(path, fields, "caller", ALLOWED_NAME, is_name_value);
        self.check_required(path, fields, "kind", ALLOWED_NAME, is_name_value);
        self.check_optional(path, fields, "payload", "a text", Value::is_string);
        self.check_optional(path, fields, "run_time_ms", ALLOWED_NUMBER, |it| {
            it.is_null() || it.is_u64()
        });
        self.check_optional(path, fields, "size", ALLOWED_SIZE, |it| {
            it.as_u64()
                .is_some_and(|it| (1..=u64::from(u32::MAX)).contains(&it))
        });
        self.check_optional(
            path,
            fields,
            "idempotent",
            "true or false",
            Value::is_boolean,
        );
    }

    fn check_required(
        &mut self,
        path: &str,
        fields: &Map<String, Value>,
        name: &str,
        allowed: &str,
        is_allowed: fn(&Value) -> bool,
    ) {
        match fields.get(name) {
            Some(_) => self.check_optional(path, fields, name, allowed, is_allowed),
            None => self.push(FieldError {
                field: join_path(path, name),
                found: "nothing".to_owned(),
                allowed: allowed.to_owned(),
            }),
        }
    }

    fn check_optional(
        &mut self,
        path: &str,
        fields: &Map<String, Value>,
        name: &str,
        allowed: &str,
        is_allowed: fn(&Value) -> bool,
    ) {
        if let Some(value) = fields.get(name)
            && !is_allowed(value)
        {
            self.push(field_error(&join_path(path, name), value, allowed));
        }
    }

    fn check_unknown(&mut self, path: &str, fields: &Map<String, Value>, known: &[&str]) {
        for name in fields.keys().filter(|it| !known.contains(&it.as_str())) {
            self.push(FieldError {
                field: join_path(path, &truncate(name)),
                found: "an unknown field".to_owned(),
                allowed: format!("one of {}", known.join(", ")),
            });
        }
    }

    fn push(&mut self, error: FieldError) {
        if self.errors.len() < MAX_ERRORS {
            self.errors.push(error);
        }
    }
}

fn is_name_value(value: &Value) -> bool {
    value.as_str().is_some_and(is_name)
}

fn field_error(field: &str, value: &Value, allowed: &str) -> FieldError {
    let found = match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(it) => format!("a list of {}", it.len()),
        other => truncate(&other.to_string()),
    };
    FieldError {
        field: field.to_owned(),
        found,
        allowed: allowed.to_owned(),
    }
}

fn truncate(text: &str) -> String {
    let mut quoted: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    if quoted.len() < text.len() {
        quoted.push('…');
    }
    quoted
}

fn join_path(path: &str, name: &str) -> String {
    match path {
        "" => name.to_owned(),
        path => format!("{path}.{name}"),
    }
}
