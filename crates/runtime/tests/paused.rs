//! Paused clock and scopes: time, freezing, killing, skew.

use std::{cell::Cell, rc::Rc, time::Duration};

use bluebellpath_runtime::{Scope, clock, runtime};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn sleepers_wake_in_order_of_their_deadlines() {
    let order = runtime::paused(async {
        let order = Rc::new(std::cell::RefCell::new(Vec::new()));
        let scope = Scope::new();
        let handles: Vec<_> = [3, 1, 2]
            .into_iter()
            .map(|seconds| {
                let order = order.clone();
                scope.spawn(async move {
                    clock::sleep(SECOND * seconds).await;
                    order.borrow_mut().push(seconds);
                })
            })
            .collect();
        for handle in handles {
            handle.await;
        }
        order.take()
    });
    assert_eq!(order, [1, 2, 3]);
}

#[test]
fn a_frozen_scope_resumes_late_and_a_dead_one_never() {
    let (frozen_at, dead_ran) = runtime::paused(async {
        let frozen = Scope::new();
        let dead = Scope::new();
        let dead_ran = Rc::new(Cell::new(false));
        let ran = dead_ran.clone();
        let start = clock::now();
        let late = frozen.spawn(async move {
            clock::sleep(SECOND).await;
            clock::now() - start
        });
        drop(dead.spawn(async move {
            clock::sleep(SECOND).await;
            ran.set(true);
        }));
        clock::sleep(SECOND / 2).await;
        frozen.freeze();
        dead.kill();
        clock::sleep(SECOND * 9).await;
        frozen.thaw();
        (late.await, dead_ran.get())
    });
    assert_eq!(frozen_at, Some(SECOND * 19 / 2));
    assert!(!dead_ran);
}

#[test]
fn skew_moves_wall_time_of_one_scope_only() {
    let (here, there) = runtime::paused(async {
        let scope = Scope::new();
        scope.set_skew_ms(-250);
        (clock::wall(), scope.spawn(async { clock::wall() }).await)
    });
    assert_eq!(there, Some(here - 250));
}

#[test]
#[should_panic(expected = "deadlock")]
fn a_session_that_can_never_end_is_reported() {
    runtime::paused(std::future::pending::<()>());
}

#[test]
fn tasks_that_wait_for_each_other_end_with_the_session() {
    runtime::paused(async {
        let scope = Scope::new();
        for _ in 0..3 {
            let inner = scope.spawn(std::future::pending::<()>());
            drop(scope.spawn(async move {
                let slept = clock::sleep(SECOND * 60);
                slept.await;
                inner.await
            }));
            let sleeper = scope.spawn(clock::sleep(SECOND * 60));
            drop(scope.spawn(sleeper));
        }
        clock::sleep(SECOND).await;
    });
}
