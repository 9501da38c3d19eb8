/*!
Backlog of tasks that wait for capacity.

A burst can submit more tasks than the targets can run for several seconds.
Tasks are ordered by priority, lowest value first, and within a priority by the
time at which they should start. A task that fits on no target does not block
the tasks behind it.
*/

use std::collections::BTreeMap;

use bluebellpath_runtime::Instant;

/// Maximum number of tasks considered in one pass. Scanning a whole backlog
/// costs more than the few extra placements it finds are worth.
const SCAN_LIMIT: usize = 64;

/// Sort key of a waiting task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time by which the task should start to meet its latency goal.
    pub start_by: Instant,
    /// Arrival number, unique within the backlog.
    arrival: u64,
}

/// Waiting tasks in scheduling order, each with an item of type `T`.
#[derive(Debug)]
pub struct Backlog<T> {
    entries: BTreeMap<Position, T>,
    arrivals: u64,
}

impl<T> Default for Backlog<T> {
    fn default() -> Backlog<T> {
        Backlog {
            entries: BTreeMap::new(),
            arrivals: 0,
        }
    }
}

impl<T> Backlog<T> {
    /// Adds a task and returns its position.
    pub fn push(&mut self, priority: u8, start_by: Instant, item: T) -> Position {
        self.arrivals += 1;
        let position = Position {
            priority,
            start_by,
            arrival: self.arrivals,
        };
        self.entries.insert(position, item);
        position
    }

    /// Returns the task at `position`.
    pub fn get_mut(&mut self, position: Position) -> Option<&mut T> {
        self.entries.get_mut(&position)
    }

    /// Removes the task at `position`.
    pub fn remove(&mut self, position: Position) -> Option<T> {
        self.entries.remove(&position)
    }

    /// First [`SCAN_LIMIT`] tasks in scheduling order.
    pub fn scan(&self) -> impl Iterator<Item = (Position, &T)> {
        self.entries
            .iter()
            .take(SCAN_LIMIT)
            .map(|(at, it)| (*at, it))
    }

    /// All tasks in scheduling order.
    pub fn iter(&self) -> impl Iterator<Item = (Position, &T)> {
        self.entries.iter().map(|(at, it)| (*at, it))
    }

    /// Number of waiting tasks.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no task is waiting.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
