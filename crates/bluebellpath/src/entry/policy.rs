//! Updates of the dispatcher's policy and teams from the configuration.

use bluebellpath_dispatch::{Policy, Team, TeamId};

use super::state::State;
use crate::config::{Document, Preset};

/// Updates the dispatcher's policy and teams if the configuration or the number of
/// instances has changed.
pub(super) fn update(state: &State) {
    let view = state.deps.config.view();
    let instances = state.membership.peers().len() as u32 + 1;
    let current = (view.version, instances);
    if state.applied_policy.replace(Some(current)) == Some(current) {
        return;
    }
    let mut dispatcher = state.dispatcher.borrow_mut();
    dispatcher.set_policy(preset_policy(&view.document));
    // Quotas of teams cover all domains. Each instance gets an equal share, as
    // callers spread their jobs evenly.
    let share_count = f64::from(instances) * f64::from(state.config.domain_count.max(1));
    for team in &view.document.teams {
        let id = TeamId(state.team_ids.intern(&team.name));
        let share = Team {
            weight: team.weight,
            sustained_per_s: f64::from(team.sustained_per_s) / share_count,
            burst: f64::from(team.burst) / share_count,
        };
        dispatcher.set_team(id, share);
    }
}

fn preset_policy(document: &Document) -> Policy {
    let base = Policy::of_preset(&document.preset);
    let in_force = |it: &&Preset| it.name == document.preset;
    match document.presets.iter().find(in_force) {
        Some(preset) => Policy {
            max_attempts: preset.max_attempts,
            max_waiting: preset.max_waiting as usize,
            ..base
        },
        None => base,
    }
}
