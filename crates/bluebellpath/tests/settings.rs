//! Tests of settings files: all faults are reported together, with positions.

use std::{path::Path, time::Duration};

use bluebellpath::settings::{Error, Fault, KeySource, Settings};
use quickcheck::quickcheck;

fn faults(text: &str) -> Vec<Fault> {
    match Settings::parse(text) {
        Err(Error::Invalid { faults }) => faults,
        Err(error) => panic!("{error}"),
        Ok(_) => Vec::new(),
    }
}

/// Valid settings with the additional fields `extra`.
fn settings_with(extra: &str) -> String {
    format!(
        r#"{{ "name": "a", "domains": ["d"], "domain": "d",
"listen": "127.0.0.1:1", "platform": "127.0.0.1:2", {extra} }}"#
    )
}

struct Case {
    /// Additional field on the second line of the file, after the addresses.
    extra: &'static str,
    field: &'static str,
    found: &'static str,
    allowed: &'static str,
    nearest: Option<&'static str>,
}

const CASES: &[Case] = &[
    Case {
        extra: r#""lissten": 1"#,
        field: "lissten",
        found: "an unknown field",
        allowed: "one of name, domains, domain, listen",
        nearest: Some("listen"),
    },
    Case {
        extra: r#""frobnicate": 1"#,
        field: "frobnicate",
        found: "an unknown field",
        allowed: "one of",
        nearest: None,
    },
    Case {
        extra: r#""name": "b""#,
        field: "name",
        found: "the field a second time",
        allowed: "each field once",
        nearest: None,
    },
    Case {
        extra: r#""platform_timeout": 5"#,
        field: "platform_timeout",
        found: "5",
        allowed: "a duration",
        nearest: None,
    },
    Case {
        extra: r#""platform_timeout": "5 h""#,
        field: "platform_timeout",
        found: "\"5 h\"",
        allowed: "a duration",
        nearest: None,
    },
    Case {
        extra: r#""http": { "body": "99999999999999999999 MiB" }"#,
        field: "http.body",
        found: "\"99999999999999999999 MiB\"",
        allowed: "a size",
        nearest: None,
    },
    Case {
        extra: r#""http": { "memory": "15 MiB" }"#,
        field: "http.memory",
        found: "\"15 MiB\"",
        allowed: "a size from \"16 MiB\"",
        nearest: None,
    },
    Case {
        extra: r#""http": { "body": "8 MiB", "memory": "31 MiB" }"#,
        field: "http.memory",
        found: "32505856 bytes for all callers",
        allowed: "4 times `http.body` or more",
        nearest: None,
    },
    Case {
        extra: r#""http": { "connections": 0 }"#,
        field: "http.connections",
        found: "0",
        allowed: "a whole number from 16 to 1000000",
        nearest: None,
    },
    Case {
        extra: r#""http": { "idel": "1 s" }"#,
        field: "http.idel",
        found: "an unknown field",
        allowed: "one of head, body, idle",
        nearest: Some("idle"),
    },
    Case {
        extra: r#""http": []"#,
        field: "http",
        found: "an empty list",
        allowed: "an object",
        nearest: None,
    },
    Case {
        extra: r#""peers": { "listen": "127.0.0.1:3" }"#,
        field: "peers",
        found: "0 of them",
        allowed: "one of `key`, `key_file` and `key_env`",
        nearest: None,
    },
    Case {
        extra: r#""peers": { "listen": "127.0.0.1:3", "key_env": "A", "key_file": "b" }"#,
        field: "peers",
        found: "2 of them",
        allowed: "one of `key`, `key_file` and `key_env`",
        nearest: None,
    },
    Case {
        extra: r#""peers": { "listen": "127.0.0.1:3", "key": "short", "key_env": "A" }"#,
        field: "peers.key",
        found: "a hidden value",
        allowed: "a secret text of 12 bytes or more",
        nearest: None,
    },
    Case {
        extra: r#""max_jobs": 0"#,
        field: "max_jobs",
        found: "0",
        allowed: "a whole number from 1",
        nearest: None,
    },
    Case {
        extra: r#""log_level": "loud""#,
        field: "log_level",
        found: "\"loud\"",
        allowed: "\"error\"",
        nearest: None,
    },
];

#[test]
fn each_fault_has_a_line_field_and_values() {
    for case in CASES {
        let faults = faults(&settings_with(case.extra));
        assert_eq!(faults.len(), 1, "{}: {faults:?}", case.extra);
        let fault = &faults[0];
        assert_eq!(fault.line, 2, "{}", case.extra);
        assert_eq!(fault.field, case.field, "{}", case.extra);
        assert_eq!(fault.found, case.found, "{}", case.extra);
        assert!(fault.allowed.contains(case.allowed), "{fault}");
        assert_eq!(fault.nearest.as_deref(), case.nearest, "{}", case.extra);
    }
}

#[test]
fn all_faults_are_reported_in_order() {
    let text = "{\n  // ñandú\n  \"name\": 7,\n  \"domains\": [\"a\", \"a\"],\n  /* ñ */ \"listen\": \"nowhere\",\n  \"extra\": 1\n}";
    let found: Vec<(usize, usize, String)> = faults(text)
        .into_iter()
        .map(|it| (it.line, it.column, it.field))
        .collect();
    let expected = [
        (1, 1, "domain"),
        (1, 1, "platform"),
        (3, 11, "name"),
        (4, 14, "domains"),
        (5, 21, "listen"),
        (6, 3, "extra"),
    ];
    let expected: Vec<_> = expected
        .iter()
        .map(|it| (it.0, it.1, it.2.to_owned()))
        .collect();
    assert_eq!(found, expected);
}

#[test]
fn a_syntax_error_has_a_line() {
    for (text, line) in [("", 1), ("[1]", 1), ("{\n  \"name\" 1\n}", 2), ("{\n", 1)] {
        let faults = faults(text);
        assert_eq!(faults.len(), 1, "{text}: {faults:?}");
        assert_eq!(faults[0].line, line, "{text}");
    }
}

#[test]
fn units_are_parsed() {
    let text = settings_with(
        r#""platform_timeout": "250ms", "drain": { "grace": "0 s", "limit": "2 min" }, "http": { "body": "2 MiB" }"#,
    );
    let settings = Settings::parse(&text).expect("the settings are valid");
    assert_eq!(settings.platform_timeout, Duration::from_millis(250));
    assert_eq!(settings.drain.grace, Duration::ZERO);
    assert_eq!(settings.drain.limit, Duration::from_secs(120));
    assert_eq!(settings.http.body_bytes, 2 << 20);
    assert_eq!(settings.capacity.bytes, 256 << 20);
    assert_eq!(settings.capacity.connections, 4_096);
    assert_eq!(settings.http.idle, Duration::from_secs(60));
}

#[test]
fn every_example_loads() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for (file, domains, peers) in [
        ("local.jsonc", 1, false),
        ("guild.jsonc", 4, true),
        ("calortec.jsonc", 4, true),
        ("santiago.jsonc", 4, true),
    ] {
        let settings = Settings::load(&examples.join(file));
        let settings = settings.unwrap_or_else(|error| panic!("{file}: {error}"));
        assert_eq!(settings.domains.len(), domains, "{file}");
        assert_eq!(settings.peers.is_some(), peers, "{file}");
    }
}

#[test]
fn a_missing_key_is_an_error() {
    let missing = KeySource::Variable("BLUEBELLPATH_TEST_NO_SUCH_KEY".to_owned());
    assert!(missing.read().is_err());
    let missing = KeySource::File("no/such/key".into());
    assert!(missing.read().is_err());
}

quickcheck! {
    fn parsing_never_panics_on_text(text: String) -> bool {
        Settings::parse(&text).is_err()
    }

    fn parsing_never_panics_on_damaged_settings(at: usize, replacement: String) -> bool {
        let mut text = settings_with(r#""http": { "idle": "1 s" }, "peers": { "listen": "127.0.0.1:3", "key_env": "A" }"#);
        let at = at % text.len();
        text.replace_range(at..=at, &replacement);
        match Settings::parse(&text) {
            Ok(_) => true,
            Err(Error::Invalid { faults }) => {
                let lines = text.matches('\n').count() + 1;
                !faults.is_empty() && faults.iter().all(|it| (1..=lines).contains(&it.line))
            }
            Err(Error::Read { .. }) => false,
        }
    }
}
