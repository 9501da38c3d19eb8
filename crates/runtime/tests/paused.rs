//! Paused clock and scopes: timers, freezing, killing, skew and deadlocks.

use std::{cell::Cell, rc::Rc, time::Duration};

use bluebellpath_runtime::{Scope, clock, runtime};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn sleeping_tasks_wake_in_order_of_their_deadlines() {
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
fn a_frozen_scope_resumes_after_thaw_and_a_killed_one_never() {
    let (frozen_at, killed_ran) = runtime::paused(async {
        let frozen = Scope::new();
        let killed = Scope::new();
        let killed_ran = Rc::new(Cell::new(false));
        let ran = killed_ran.clone();
        let start = clock::now();
        let late = frozen.spawn(async move {
            clock::sleep(SECOND).await;
            clock::now() - start
        });
        drop(killed.spawn(async move {
            clock::sleep(SECOND).await;
            ran.set(true);
        }));
        clock::sleep(SECOND / 2).await;
        frozen.freeze();
        killed.kill();
        clock::sleep(SECOND * 9).await;
        frozen.thaw();
        (late.await, killed_ran.get())
    });
    assert_eq!(frozen_at, Some(SECOND * 19 / 2));
    assert!(!killed_ran);
}

#[test]
fn skew_changes_wall_time_of_one_scope_only() {
    let (unskewed, skewed) = runtime::paused(async {
        let scope = Scope::new();
        scope.set_skew_ms(-250);
        (clock::wall(), scope.spawn(async { clock::wall() }).await)
    });
    assert_eq!(skewed, Some(unskewed - 250));
}

#[test]
#[should_panic(expected = "deadlock")]
fn a_deadlock_panics() {
    runtime::paused(std::future::pending::<()>());
}

#[test]
fn tasks_that_wait_for_each_other_are_dropped_at_the_end() {
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
