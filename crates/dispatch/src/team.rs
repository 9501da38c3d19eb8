//! Weights and quotas of teams.

use std::collections::HashMap;

use bluebellpath_runtime::Instant;

use crate::TeamId;

/// Weight and quota of a team at this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Team {
    /// Weight against other teams that are over their quota, 1 or more.
    pub weight: u32,
    /// Sustained rate of task starts, per second.
    pub sustained_per_s: f64,
    /// Number of task starts that the team may make at once.
    pub burst: f64,
}

impl Default for Team {
    /// Weight 1 without a quota.
    fn default() -> Team {
        Team {
            weight: 1,
            sustained_per_s: f64::INFINITY,
            burst: f64::INFINITY,
        }
    }
}

struct State {
    team: Team,
    /// Token bucket of task starts.
    tokens: f64,
    refilled: Instant,
    /// Virtual finish time of the team's last job over its quota.
    virtual_finish: f64,
}

/// All teams that this instance has seen.
#[derive(Default)]
pub(crate) struct Teams {
    states: HashMap<TeamId, State>,
    virtual_time: f64,
}

impl Teams {
    /// Sets the weight and quota of `id`. Its tokens are limited to the new burst.
    pub(crate) fn set(&mut self, id: TeamId, team: Team) {
        let state = self.state(id);
        if state.team != team {
            state.tokens = state.tokens.min(team.burst);
            if state.refilled == Instant::default() {
                state.tokens = team.burst;
            }
            state.team = team;
        }
    }

    /// Takes a token for each of `tasks` starts. Returns false, and takes none, if
    /// the quota doesn't hold as many.
    pub(crate) fn take_tokens(&mut self, id: TeamId, tasks: usize, now: Instant) -> bool {
        let state = self.state(id);
        if state.team.burst.is_infinite() {
            return true;
        }
        let elapsed = (now - state.refilled).as_secs_f64();
        let refilled = state.tokens + elapsed * state.team.sustained_per_s;
        state.tokens = refilled.min(state.team.burst);
        state.refilled = now;
        let tasks = tasks as f64;
        if state.tokens < tasks {
            return false;
        }
        state.tokens -= tasks;
        true
    }

    /// Returns the virtual finish time of `work` seconds of a team over its quota,
    /// by weighted fair queueing.
    pub(crate) fn virtual_finish(&mut self, id: TeamId, work: f64) -> f64 {
        let virtual_time = self.virtual_time;
        let state = self.state(id);
        let weight = f64::from(state.team.weight.max(1));
        state.virtual_finish = state.virtual_finish.max(virtual_time) + work / weight;
        state.virtual_finish
    }

    /// Advances the virtual time to the virtual finish time of a job that starts.
    pub(crate) fn advance_virtual_time(&mut self, virtual_finish: f64) {
        self.virtual_time = self.virtual_time.max(virtual_finish);
    }

    fn state(&mut self, id: TeamId) -> &mut State {
        self.states.entry(id).or_insert_with(|| State {
            team: Team::default(),
            tokens: f64::INFINITY,
            refilled: Instant::default(),
            virtual_finish: 0.0,
        })
    }
}
