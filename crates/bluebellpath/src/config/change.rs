//! Typed changes, which are stored and sent instead of whole documents.

use serde::{Deserialize, Serialize};

use super::{Document, Drain, Key, Kind, Limit, Preset, Retention, Team};
use crate::settings::Domain;

/// One change of a document. A `Set` variant replaces an item of the same name; a
/// `Remove` variant has no effect if the item does not exist.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Selects the preset in force.
    SwitchPreset(String),
    /// Adds or replaces a preset.
    SetPreset(Preset),
    /// Removes a preset.
    RemovePreset(String),
    /// Adds or replaces a team.
    SetTeam(Team),
    /// Removes a team.
    RemoveTeam(String),
    /// Adds or replaces a kind of task.
    SetKind(Kind),
    /// Removes a kind of task.
    RemoveKind(String),
    /// Adds or replaces the limit for the targets of a domain.
    SetLimit(Limit),
    /// Removes the limit for the targets of a domain.
    RemoveLimit(Domain),
    /// Stops sending new tasks to targets.
    Drain(Drain),
    /// Resumes sending new tasks to targets.
    Undrain(Drain),
    /// Adds or replaces a key.
    SetKey(Key),
    /// Removes a key.
    RemoveKey(String),
    /// Sets the retention times.
    SetRetention(Retention),
}

impl Change {
    /// Applies the change to `document`.
    pub fn apply(&self, document: &mut Document) {
        match self {
            Change::SwitchPreset(name) => document.preset.clone_from(name),
            Change::SetPreset(it) => upsert(&mut document.presets, it, |it| it.name.clone()),
            Change::RemovePreset(name) => document.presets.retain(|it| it.name != *name),
            Change::SetTeam(it) => upsert(&mut document.teams, it, |it| it.name.clone()),
            Change::RemoveTeam(name) => document.teams.retain(|it| it.name != *name),
            Change::SetKind(it) => upsert(&mut document.kinds, it, |it| it.name.clone()),
            Change::RemoveKind(name) => document.kinds.retain(|it| it.name != *name),
            Change::SetLimit(it) => upsert(&mut document.limits, it, |it| it.domain),
            Change::RemoveLimit(domain) => document.limits.retain(|it| it.domain != *domain),
            Change::Drain(it) => upsert(&mut document.drains, it, Drain::clone),
            Change::Undrain(drain) => document.drains.retain(|it| it != drain),
            Change::SetKey(it) => upsert(&mut document.keys, it, |it| it.name.clone()),
            Change::RemoveKey(name) => document.keys.retain(|it| it.name != *name),
            Change::SetRetention(it) => document.retention = *it,
        }
    }

    /// True if only an administrator may make the change.
    pub fn requires_administrator(&self) -> bool {
        matches!(self, Change::SetKey(_) | Change::RemoveKey(_))
    }

    /// Changes that turn `old` into `new`. Both documents must be sorted.
    pub fn between(old: &Document, new: &Document) -> Vec<Change> {
        let mut changes = Vec::new();
        let name = |it: &Preset| it.name.clone();
        push_diff(
            &old.presets,
            &new.presets,
            name,
            Change::SetPreset,
            |_| None,
            &mut changes,
        );
        if old.preset != new.preset {
            changes.push(Change::SwitchPreset(new.preset.clone()));
        }
        let remove = |name| Some(Change::RemovePreset(name));
        push_removed(&old.presets, &new.presets, name, remove, &mut changes);
        let (name, remove) = (
            |it: &Team| it.name.clone(),
            |it| Some(Change::RemoveTeam(it)),
        );
        push_diff(
            &old.teams,
            &new.teams,
            name,
            Change::SetTeam,
            remove,
            &mut changes,
        );
        let (name, remove) = (
            |it: &Kind| it.name.clone(),
            |it| Some(Change::RemoveKind(it)),
        );
        push_diff(
            &old.kinds,
            &new.kinds,
            name,
            Change::SetKind,
            remove,
            &mut changes,
        );
        let (name, remove) = (|it: &Limit| it.domain, |it| Some(Change::RemoveLimit(it)));
        push_diff(
            &old.limits,
            &new.limits,
            name,
            Change::SetLimit,
            remove,
            &mut changes,
        );
        let (name, remove) = (Drain::clone, |it| Some(Change::Undrain(it)));
        push_diff(
            &old.drains,
            &new.drains,
            name,
            Change::Drain,
            remove,
            &mut changes,
        );
        let (name, remove) = (|it: &Key| it.name.clone(), |it| Some(Change::RemoveKey(it)));
        push_diff(
            &old.keys,
            &new.keys,
            name,
            Change::SetKey,
            remove,
            &mut changes,
        );
        if old.retention != new.retention {
            changes.push(Change::SetRetention(new.retention));
        }
        changes
    }
}

/// Inserts `item` in key order, or replaces the item with the same key.
fn upsert<T: Clone, K: Ord>(items: &mut Vec<T>, item: &T, key: impl Fn(&T) -> K) {
    match items.binary_search_by_key(&key(item), &key) {
        Ok(index) => items[index] = item.clone(),
        Err(index) => items.insert(index, item.clone()),
    }
}

fn push_diff<T: Clone + PartialEq, K: Ord>(
    old: &[T],
    new: &[T],
    key: impl Fn(&T) -> K + Copy,
    set: impl Fn(T) -> Change,
    remove: impl Fn(K) -> Option<Change>,
    changes: &mut Vec<Change>,
) {
    let is_changed = |it: &&T| !old.contains(it);
    changes.extend(new.iter().filter(is_changed).cloned().map(set));
    push_removed(old, new, key, remove, changes);
}

fn push_removed<T, K: Ord>(
    old: &[T],
    new: &[T],
    key: impl Fn(&T) -> K,
    remove: impl Fn(K) -> Option<Change>,
    changes: &mut Vec<Change>,
) {
    let is_removed = |it: &&T| !new.iter().any(|other| key(other) == key(it));
    changes.extend(
        old.iter()
            .filter(is_removed)
            .filter_map(|it| remove(key(it))),
    );
}
