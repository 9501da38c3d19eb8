//! Validation of a document, which reports all faults at once.

use std::fmt::Display;

use super::{Document, Fault, Role};

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Maximum number of teams.
const MAX_TEAMS: usize = 10_000;

/// Maximum duration of a planned stop, in milliseconds.
const MAX_DRAIN_MS: u64 = 600_000;

/// Minimum Jaro-Winkler similarity at which a known name is suggested, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.7;

impl Document {
    /// Returns all faults; empty if the document is valid.
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = Faults::default();
        self.check_presets(&mut faults);
        self.check_teams(&mut faults);
        self.check_kinds(&mut faults);
        self.check_limits(&mut faults);
        self.check_keys(&mut faults);
        let days = 1..=36_500;
        faults.check_range("retention.record_days", self.retention.record_days, &days);
        faults.check_range("retention.history_days", self.retention.history_days, &days);
        faults.0
    }

    fn check_presets(&self, faults: &mut Faults) {
        let names: Vec<&str> = self.presets.iter().map(|it| it.name.as_str()).collect();
        faults.check_names("presets", &names);
        if !names.contains(&self.preset.as_str()) {
            faults.add_unknown("preset", &self.preset, &names);
        }
        for preset in &self.presets {
            let field = |name: &str| format!("presets[{}].{name}", preset.name);
            faults.check_range(&field("max_attempts"), preset.max_attempts, &(1..=10));
            faults.check_range(&field("max_waiting"), preset.max_waiting, &(1..=10_000_000));
            faults.check_range(&field("drain_ms"), preset.drain_ms, &(0..=MAX_DRAIN_MS));
        }
    }

    fn check_teams(&self, faults: &mut Faults) {
        let names: Vec<&str> = self.teams.iter().map(|it| it.name.as_str()).collect();
        faults.check_names("teams", &names);
        faults.check_range("teams", names.len(), &(1..=MAX_TEAMS));
        for team in &self.teams {
            let field = |name: &str| format!("teams[{}].{name}", team.name);
            faults.check_range(&field("weight"), team.weight, &(1..=1000));
            let sustained = team.sustained_per_s;
            faults.check_range(&field("sustained_per_s"), sustained, &(1..=10_000_000));
            faults.check_range(&field("burst"), team.burst, &(1..=10_000_000));
        }
    }

    fn check_kinds(&self, faults: &mut Faults) {
        let names: Vec<&str> = self.kinds.iter().map(|it| it.name.as_str()).collect();
        faults.check_names("kinds", &names);
        for kind in &self.kinds {
            let field = |name: &str| format!("kinds[{}].{name}", kind.name);
            faults.check_range(&field("max_size"), kind.max_size, &(1..=1024));
            faults.check_range(&field("max_run_ms"), kind.max_run_ms, &(1..=3_600_000));
        }
    }

    fn check_limits(&self, faults: &mut Faults) {
        for (index, limit) in self.limits.iter().enumerate() {
            let field = |name: &str| format!("limits[domain {}].{name}", limit.domain);
            faults.check_range(&field("slots"), limit.slots, &(1..=100_000));
            faults.check_range(&field("connections"), limit.connections, &(1..=100_000));
            if self.limits[..index]
                .iter()
                .any(|it| it.domain == limit.domain)
            {
                faults.add(
                    "limits",
                    format!("domain {} twice", limit.domain),
                    "each domain once",
                );
            }
        }
    }

    fn check_keys(&self, faults: &mut Faults) {
        let names: Vec<&str> = self.keys.iter().map(|it| it.name.as_str()).collect();
        faults.check_names("keys", &names);
        let teams: Vec<&str> = self.teams.iter().map(|it| it.name.as_str()).collect();
        for key in &self.keys {
            if !key.is_well_formed() {
                let field = format!("keys[{}]", key.name);
                faults.add(
                    &field,
                    "a malformed salt or hash",
                    "32 bytes in hexadecimal each",
                );
            }
            if key.role == Role::Team && !teams.contains(&key.name.as_str()) {
                faults.add_unknown(&format!("keys[{}].name", key.name), &key.name, &teams);
            }
        }
        let is_administrator = |it: &&super::Key| it.role == Role::Administrator;
        if !self.keys.is_empty() && !self.keys.iter().any(|it| is_administrator(&it)) {
            faults.add("keys", "no administrator", "at least one administrator");
        }
    }
}

#[derive(Default)]
struct Faults(Vec<Fault>);

impl Faults {
    fn add(&mut self, field: &str, found: impl Display, allowed: impl Display) {
        self.0.push(Fault {
            field: field.to_owned(),
            found: found.to_string(),
            allowed: allowed.to_string(),
            nearest: None,
        });
    }

    fn check_range<T>(&mut self, field: &str, found: T, allowed: &std::ops::RangeInclusive<T>)
    where
        T: PartialOrd + Display,
    {
        if !allowed.contains(&found) {
            self.add(
                field,
                found,
                format!("{} to {}", allowed.start(), allowed.end()),
            );
        }
    }

    fn check_names(&mut self, field: &str, names: &[&str]) {
        let is_allowed = |it: char| it.is_ascii_alphanumeric() || "-_.".contains(it);
        for (index, name) in names.iter().enumerate() {
            if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
                let allowed = format!("1 to {MAX_NAME_BYTES} letters, digits, '-', '_' and '.'");
                self.add(
                    &format!("{field}[{name}].name"),
                    format!("{name:?}"),
                    allowed,
                );
            }
            if names[..index].contains(name) {
                self.add(field, format!("{name:?} twice"), "each name once");
            }
        }
    }

    fn add_unknown(&mut self, field: &str, found: &str, known: &[&str]) {
        let similarity = |it: &&str| strsim::jaro_winkler(found, it);
        let nearest = known
            .iter()
            .copied()
            .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
            .filter(|it| similarity(it) >= MIN_SIMILARITY);
        self.0.push(Fault {
            field: field.to_owned(),
            found: format!("{found:?}"),
            allowed: format!("one of {} known names", known.len()),
            nearest: nearest.map(str::to_owned),
        });
    }
}
