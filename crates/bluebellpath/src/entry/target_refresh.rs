//! Updates of target drains and limits on configuration changes.

use std::rc::Rc;

use bluebellpath_runtime::clock;
use futures_util::future::{Either, select};

use super::{state::State, targets};
use crate::platform::Instance;

/// Updates the targets when a configuration change becomes known and when it
/// takes effect. Doesn't depend on reads of the instance list.
pub(super) async fn run(state: Rc<State>) {
    let config = state.deps.config.clone();
    loop {
        let changed = config.changed().notified();
        update_targets(&state);
        let next = config.next_revision().and_then(|it| it.effective_ms);
        match next {
            Some(effective_ms) => {
                let wait_ms = effective_ms.saturating_sub(clock::wall());
                let wait = clock::sleep(std::time::Duration::from_millis(wait_ms));
                if let Either::Left(_) = select(std::pin::pin!(changed), wait).await {}
            }
            None => changed.await,
        }
    }
}

fn update_targets(state: &State) {
    let mut targets: Vec<Instance> = state
        .targets
        .borrow()
        .values()
        .map(|it| (**it).clone())
        .collect();
    targets.sort_by(|a, b| a.name.cmp(&b.name));
    if !targets.is_empty() {
        targets::set_targets(state, targets);
    }
}
