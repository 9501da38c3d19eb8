//! Operators' requests, on the paused clock.

use std::time::Duration;

use bluebellpath::{
    admin::{Api, At, Changed, Content, Counts, Difference, Instances, Operation, Problem},
    config::{Change, Key, Revision, Role},
    http::{Request, Response},
    job::{Id, Outcome, Submission, TaskSpec},
};
use bluebellpath_runtime::{clock, runtime};
use bluebellpath_standin::{Fleet, Layout};
use http::{Method, StatusCode, header};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Time in which entry instances read the table and the instance list.
const SETTLE: Duration = Duration::from_millis(20);

/// Time from acceptance within which a change is in force.
const IN_FORCE: Duration = Duration::from_secs(4);

struct System {
    fleet: Fleet,
    rule: String,
    operate: String,
    look: String,
    team: String,
}

/// Fleet with one key of each role, in force, at version 3.
async fn system() -> System {
    let fleet = Fleet::start(Layout {
        domains: 1,
        ..Layout::default()
    });
    clock::sleep(SETTLE).await;
    let mut secrets = Vec::new();
    let mut keys = Vec::new();
    for (name, role) in [
        ("rule", Role::Administrator),
        ("operate", Role::Operator),
        ("look", Role::Viewer),
        ("default", Role::Team),
    ] {
        let (key, secret) = Key::generate(name, role);
        keys.push(Change::SetKey(key));
        secrets.push(format!("Bearer {name}.{secret}"));
    }
    let mut system = System {
        fleet,
        rule: secrets.remove(0),
        operate: secrets.remove(0),
        look: secrets.remove(0),
        team: secrets.remove(0),
    };
    let first = json!({"operation": "first", "reason": "start", "changes": &keys[..1]});
    let response = system.post(0, "", 1, &first).await;
    assert_eq!(response.status, StatusCode::OK, "{:?}", response.body);
    clock::sleep(IN_FORCE).await;
    let more = json!({"operation": "more", "reason": "start", "changes": &keys[1..]});
    let rule = system.rule.clone();
    let response = system.post(0, &rule, 2, &more).await;
    assert_eq!(response.status, StatusCode::OK, "{:?}", response.body);
    clock::sleep(IN_FORCE).await;
    system.rule = rule;
    system
}

impl System {
    async fn send(&self, member: usize, request: Request) -> Response {
        let api = Api::new(self.fleet.members[member].entry());
        let response = api.call(&request).expect("the path is an operator's");
        response.await
    }

    async fn get(&self, key: &str, target: &str) -> Response {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut request = Request::new(Method::GET, path);
        request.query = Some(query.to_owned());
        self.send(0, request.with_header(header::AUTHORIZATION, key))
            .await
    }

    async fn post(&self, member: usize, key: &str, base: u64, body: &Value) -> Response {
        let request = Request::new(Method::POST, "/admin/config/changes")
            .with_header(header::AUTHORIZATION, key)
            .with_header(header::IF_MATCH, &format!("\"{base}\""))
            .with_body(body.to_string());
        self.send(member, request).await
    }
}

fn body<T: DeserializeOwned>(response: &Response) -> T {
    serde_json::from_slice(&response.body)
        .unwrap_or_else(|error| panic!("{error}: {:?}", response.body))
}

fn switch(operation: &str, preset: &str) -> Value {
    let changes = json!([{"switch_preset": preset}]);
    json!({"operation": operation, "reason": "test", "changes": changes})
}

struct Case {
    name: &'static str,
    key: fn(&System) -> String,
    method: Method,
    target: &'static str,
    if_match: Option<&'static str>,
    body: Value,
    status: StatusCode,
    kind: &'static str,
}

fn case(name: &'static str, body: Value, status: StatusCode, kind: &'static str) -> Case {
    Case {
        name,
        key: |it| it.operate.clone(),
        method: Method::POST,
        target: "/admin/config/changes",
        if_match: Some("\"3\""),
        body,
        status,
        kind,
    }
}

fn cases() -> Vec<Case> {
    let peak = || switch("one", "peak");
    let key = |name| {
        let (key, _) = Key::generate(name, Role::Viewer);
        json!({"operation": "key", "reason": "test", "changes": [Change::SetKey(key)]})
    };
    vec![
        Case {
            key: |_| String::new(),
            ..case("no key", peak(), StatusCode::UNAUTHORIZED, "key")
        },
        Case {
            key: |it| it.operate.replace("operate.", "rule."),
            ..case("another's secret", peak(), StatusCode::UNAUTHORIZED, "key")
        },
        Case {
            key: |it| it.look.clone(),
            ..case("a viewer changes", peak(), StatusCode::FORBIDDEN, "role")
        },
        Case {
            key: |it| it.team.clone(),
            method: Method::GET,
            target: "/admin/config",
            ..case("a team looks", Value::Null, StatusCode::FORBIDDEN, "role")
        },
        case(
            "an operator sets a key",
            key("new"),
            StatusCode::FORBIDDEN,
            "role",
        ),
        Case {
            if_match: None,
            ..case(
                "no version",
                peak(),
                StatusCode::PRECONDITION_REQUIRED,
                "if-match",
            )
        },
        Case {
            if_match: Some("new"),
            ..case("a bad version", peak(), StatusCode::BAD_REQUEST, "invalid")
        },
        Case {
            if_match: Some("\"2\""),
            ..case(
                "an old version",
                peak(),
                StatusCode::PRECONDITION_FAILED,
                "lost",
            )
        },
        case(
            "no such preset",
            switch("one", "paek"),
            StatusCode::UNPROCESSABLE_ENTITY,
            "faults",
        ),
        case(
            "no change",
            switch("one", "ordinary"),
            StatusCode::CONFLICT,
            "unchanged",
        ),
        case(
            "a used id",
            switch("more", "peak"),
            StatusCode::CONFLICT,
            "mismatch",
        ),
        case(
            "a bad id",
            switch("a b", "peak"),
            StatusCode::BAD_REQUEST,
            "invalid",
        ),
        case("no JSON", json!(17), StatusCode::BAD_REQUEST, "invalid"),
        Case {
            target: "/admin/nothing",
            ..case("no resource", peak(), StatusCode::NOT_FOUND, "not-found")
        },
        Case {
            target: "/admin/instances",
            ..case(
                "no such method",
                peak(),
                StatusCode::METHOD_NOT_ALLOWED,
                "method",
            )
        },
    ]
}

#[test]
fn what_may_not_be_is_refused_with_a_problem_and_changes_nothing() {
    runtime::paused(async {
        let system = system().await;
        for case in cases() {
            let mut request = Request::new(case.method.clone(), case.target)
                .with_header(header::AUTHORIZATION, &(case.key)(&system))
                .with_body(case.body.to_string());
            if let Some(version) = case.if_match {
                request = request.with_header(header::IF_MATCH, version);
            }
            let response = system.send(0, request).await;
            assert_eq!(
                response.status, case.status,
                "{}: {:?}",
                case.name, response.body
            );
            let problem: Problem = body(&response);
            let kind = format!("urn:bluebellpath:problem:{}", case.kind);
            assert_eq!(problem.problem.kind, kind, "{}", case.name);
            assert_eq!(problem.problem.outcome, Outcome::NotRun, "{}", case.name);
        }
        let content: Content = body(&system.get(&system.look, "/admin/config").await);
        assert_eq!(
            (content.version, content.document.preset.as_str()),
            (3, "ordinary")
        );
    });
}

#[test]
fn without_keys_only_the_first_administrator_is_let_in() {
    runtime::paused(async {
        let fleet = Fleet::start(Layout::default());
        clock::sleep(SETTLE).await;
        let empty = String::new();
        let system = System {
            fleet,
            rule: empty.clone(),
            operate: empty.clone(),
            look: empty.clone(),
            team: empty,
        };
        assert_eq!(system.get("", "/admin/config").await.status, StatusCode::OK);
        let refused = system.post(0, "", 1, &switch("one", "peak")).await;
        assert_eq!(refused.status, StatusCode::FORBIDDEN);
        let (key, _) = Key::generate("rule", Role::Administrator);
        let set = json!({"operation": "two", "reason": "first", "changes": [Change::SetKey(key)]});
        assert_eq!(system.post(0, "", 1, &set).await.status, StatusCode::OK);
        clock::sleep(IN_FORCE).await;
        assert_eq!(
            system.get("", "/admin/config").await.status,
            StatusCode::UNAUTHORIZED
        );
    });
}

#[test]
fn of_two_racing_operators_one_wins_and_the_other_learns_who_and_what() {
    runtime::paused(async {
        let system = system().await;
        let (one, two) = (switch("one", "peak"), switch("two", "maintenance"));
        let first = system.post(0, &system.operate, 3, &one);
        let second = system.post(1, &system.rule, 3, &two);
        let (first, second) = futures_util::future::join(first, second).await;
        let (won, lost, winner) = match first.status {
            StatusCode::OK => (first, second, "operate"),
            _ => (second, first, "rule"),
        };
        assert_eq!(won.status, StatusCode::OK);
        assert_eq!(lost.status, StatusCode::PRECONDITION_FAILED);
        let (won, lost): (Changed, Problem) = (body(&won), body(&lost));
        assert_eq!(won.version, 4);
        assert_eq!(lost.since.len(), 1);
        assert_eq!(
            (lost.since[0].author.as_str(), lost.since[0].version),
            (winner, 4)
        );
        assert_eq!(lost.since[0].changes, won.changes);
    });
}

#[test]
fn a_lost_answer_is_told_from_a_lost_write_by_its_operation() {
    runtime::paused(async {
        let system = system().await;
        let proposed = switch("one", "peak");
        let post = system.post(0, &system.operate, 3, &proposed);
        let table = system.fleet.table.clone();
        let lose = async {
            // The write stands, its answer is under way.
            while table.get("config/operation/one").is_none() {
                clock::sleep(Duration::from_millis(1)).await;
            }
            table.faults().lose_answers.set(1);
        };
        let (response, ()) = futures_util::future::join(post, lose).await;
        assert_eq!(table.faults().lose_answers.get(), 0);
        assert_eq!(response.status, StatusCode::OK, "{:?}", response.body);
        let target = "/admin/config/operations/one";
        let operation: Operation = body(&system.get(&system.look, target).await);
        assert_eq!(operation.accepted.map(|it| it.version), Some(4));
        let target = "/admin/config/operations/two";
        let operation: Operation = body(&system.get(&system.look, target).await);
        assert_eq!(operation.accepted, None);
    });
}

#[test]
fn dry_run_diff_restore_and_history_agree() {
    runtime::paused(async {
        let system = system().await;
        let key = system.operate.clone();
        let mut trial = Request::new(Method::POST, "/admin/config/changes")
            .with_header(header::AUTHORIZATION, &key)
            .with_header(header::IF_MATCH, "3")
            .with_body(switch("one", "peak").to_string());
        trial.query = Some("dry_run=true".to_owned());
        let tried: Changed = body(&system.send(0, trial).await);
        assert!(tried.dry_run);
        let changed: Changed = body(&system.post(0, &key, 3, &switch("one", "peak")).await);
        assert_eq!((changed.version, &changed.changes), (4, &tried.changes));
        clock::sleep(IN_FORCE).await;

        let restore = Request::new(Method::POST, "/admin/config/restore")
            .with_header(header::AUTHORIZATION, &key)
            .with_header(header::IF_MATCH, "4")
            .with_body(json!({"operation": "back", "reason": "test", "version": 1}).to_string());
        let restored: Changed = body(&system.send(1, restore).await);
        assert_eq!(restored.version, 5);
        // The keys stay: whoever restores does not lock anybody out or in.
        assert_eq!(
            restored.changes,
            [Change::SwitchPreset("ordinary".to_owned())]
        );

        let diff: Difference = body(&system.get(&key, "/admin/config/diff?from=3&to=5").await);
        assert_eq!(diff.changes, []);
        let history: Vec<Revision> = body(&system.get(&key, "/admin/config/history?after=2").await);
        let authors: Vec<_> = history
            .iter()
            .map(|it| (it.version, it.author.as_str()))
            .collect();
        assert_eq!(authors, [(3, "rule"), (4, "operate"), (5, "operate")]);

        let at_ms = history[1].effective_ms.expect("accepted");
        for (at_ms, preset) in [(at_ms - 1, "ordinary"), (at_ms, "peak")] {
            let at: At = body(
                &system
                    .get(&key, &format!("/admin/config/at?ms={at_ms}"))
                    .await,
            );
            assert_eq!(at.preset, preset);
        }
    });
}

#[test]
fn instances_and_outcomes_are_shown() {
    runtime::paused(async {
        let system = system().await;
        let task = TaskSpec {
            caller: "crew-1".to_owned(),
            kind: "quote".to_owned(),
            payload: "{\"run_ms\": 20}".to_owned(),
            run_time_ms: None,
            size: 1,
            idempotent: false,
        };
        let submission = Submission {
            team: "default".to_owned(),
            deadline_ms: 2_000,
            tasks: vec![task],
        };
        let entry = system.fleet.members[0].entry();
        let id: Id = entry.ticket().into();
        let answer = entry
            .submit(id, submission)
            .await
            .expect("the instance serves");
        assert_eq!(answer.outcome, Outcome::Complete);

        let instances: Instances = body(&system.get(&system.look, "/admin/instances").await);
        let seen: Vec<_> = instances
            .instances
            .iter()
            .map(|it| (it.name.as_str(), it.config_version))
            .collect();
        assert_eq!(seen, [("entry-0-0", 3), ("entry-0-1", 3)]);

        let whole = Counts {
            complete: 1,
            ..Counts::default()
        };
        for key in [&system.look, &system.team] {
            let outcomes: std::collections::BTreeMap<String, Counts> =
                body(&system.get(key, "/admin/outcomes").await);
            assert_eq!(outcomes.get("default"), Some(&whole));
        }
        let other = system.get(&system.team, "/admin/outcomes?team=other").await;
        assert_eq!(other.status, StatusCode::FORBIDDEN);
    });
}
