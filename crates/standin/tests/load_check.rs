//! The check of a soak finds each kind of contradiction.

use std::{fs, path::PathBuf};

use bluebellpath_standin::load::{Report, check};

struct Case {
    name: &'static str,
    answers: &'static str,
    runs: &'static str,
    clean: bool,
    found: fn(&Report) -> usize,
}

const COMPLETE: &str =
    r#"{"job":"a","tasks":2,"answers":["complete"],"cut":0,"submitted_ms":0,"elapsed_ms":1}"#;
const NOT_RUN: &str =
    r#"{"job":"a","tasks":2,"answers":["not_run"],"cut":1,"submitted_ms":0,"elapsed_ms":1}"#;
const UNKNOWN: &str =
    r#"{"job":"a","tasks":2,"answers":["unknown"],"cut":0,"submitted_ms":0,"elapsed_ms":1}"#;
const BOTH: &str = "{\"task\":\"a/0\",\"target\":\"t\"}\n{\"task\":\"a/1\",\"target\":\"t\"}\n";
const FIRST: &str = "{\"task\":\"a/0\",\"target\":\"t\"}\n";
const TWICE: &str = "{\"task\":\"a/0\",\"target\":\"t\"}\n{\"task\":\"a/0\",\"target\":\"u\"}\n";
const CUT_SHORT: &str = "{\"task\":\"a/0\",\"target\":\"t\"}\n{\"task\":\"a/1\",\"tar";

const CASES: &[Case] = &[
    Case {
        name: "whole",
        answers: COMPLETE,
        runs: BOTH,
        clean: true,
        found: |it| it.complete,
    },
    Case {
        name: "unknown and half",
        answers: UNKNOWN,
        runs: FIRST,
        clean: true,
        found: |it| it.unknown,
    },
    Case {
        name: "not run",
        answers: NOT_RUN,
        runs: "",
        clean: true,
        found: |it| it.not_run,
    },
    Case {
        name: "twice",
        answers: UNKNOWN,
        runs: TWICE,
        clean: false,
        found: |it| it.twice.len(),
    },
    Case {
        name: "partial",
        answers: COMPLETE,
        runs: FIRST,
        clean: false,
        found: |it| it.incomplete.len(),
    },
    Case {
        name: "untrue",
        answers: NOT_RUN,
        runs: FIRST,
        clean: false,
        found: |it| it.untrue.len(),
    },
    Case {
        name: "line cut short",
        answers: COMPLETE,
        runs: CUT_SHORT,
        clean: false,
        found: |it| it.incomplete.len(),
    },
];

#[test]
fn contradictions_are_found() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    for (number, case) in CASES.iter().enumerate() {
        let answers = folder.join(format!("answers-{number}"));
        let runs = folder.join(format!("runs-{number}"));
        fs::write(&answers, case.answers).unwrap();
        fs::write(&runs, case.runs).unwrap();
        let report = check(&[&answers], &[&runs]).unwrap();
        assert_eq!(report.is_clean(), case.clean, "{}: {report:?}", case.name);
        assert_eq!((case.found)(&report), 1, "{}: {report:?}", case.name);
    }
}
