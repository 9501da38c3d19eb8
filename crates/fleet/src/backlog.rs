/*!
Backlog of tasks that wait for capacity.

A burst can submit more tasks than the targets can run for several seconds.
Tasks are ordered by priority, lowest value first. Within a priority, the tasks
that can still end within their goal come first, by least slack; the tasks that
can only be late follow. If the late tasks went first, each start would make
another task late, and under overload every task would be. A task that fits on no
target does not block the tasks behind it.

Each task has a time after which a start is of no value. [`Backlog::take_expired`]
removes such tasks, so that their jobs are given up before they cost capacity. While
many tasks that can be in time wait for capacity, [`Backlog::take_late`] removes the late
ones of the same priority: their job is late whatever its other tasks do, and those
take the capacity of jobs that could be in time.
*/

use std::collections::{BTreeMap, BTreeSet};

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

impl Position {
    /// Position before all tasks of `priority` that should start at `start_by` or later.
    fn first(priority: u8, start_by: Instant) -> Position {
        Position {
            priority,
            start_by,
            arrival: 0,
        }
    }
}

/// Waiting tasks, each with an item of type `T`.
#[derive(Debug)]
pub struct Backlog<T> {
    entries: BTreeMap<Position, Entry<T>>,
    /// Positions by the time at which they expire.
    expiries: BTreeSet<(Instant, Position)>,
    arrivals: u64,
}

#[derive(Debug)]
struct Entry<T> {
    expires_at: Instant,
    item: T,
}

impl<T> Default for Backlog<T> {
    fn default() -> Backlog<T> {
        Backlog {
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            arrivals: 0,
        }
    }
}

impl<T> Backlog<T> {
    /// Adds a task whose start is of no value from `expires_at` on, and returns its
    /// position.
    pub fn push(
        &mut self,
        priority: u8,
        start_by: Instant,
        expires_at: Instant,
        item: T,
    ) -> Position {
        self.arrivals += 1;
        let position = Position {
            priority,
            start_by,
            arrival: self.arrivals,
        };
        self.entries.insert(position, Entry { expires_at, item });
        self.expiries.insert((expires_at, position));
        position
    }

    /// Returns the task at `position`.
    pub fn get_mut(&mut self, position: Position) -> Option<&mut T> {
        self.entries.get_mut(&position).map(|it| &mut it.item)
    }

    /// Removes the task at `position`.
    pub fn remove(&mut self, position: Position) -> Option<T> {
        let entry = self.entries.remove(&position)?;
        self.expiries.remove(&(entry.expires_at, position));
        Some(entry.item)
    }

    /// Removes and returns the tasks that have expired at `now`.
    pub fn take_expired(&mut self, now: Instant) -> Vec<T> {
        let expired = self.expiries.iter().take_while(|it| it.0 <= now);
        let expired: Vec<Position> = expired.map(|it| it.1).collect();
        expired
            .into_iter()
            .filter_map(|it| self.remove(it))
            .collect()
    }

    /// Removes and returns the tasks that can only be late at `now`, of each priority
    /// of which at least `min_on_time` other tasks can still be in time.
    ///
    /// While fewer of these wait, capacity comes soon enough for the late ones too.
    pub fn take_late(&mut self, now: Instant, min_on_time: usize) -> Vec<T> {
        let on_time = |it: u8| self.on_time(it, now).take(min_on_time).count();
        let is_short = |it: &u8| on_time(*it) >= min_on_time;
        let late = self.priorities().filter(is_short);
        let late = late.flat_map(|it| self.late(it, now).map(|it| *it.0));
        let late: Vec<Position> = late.collect();
        late.into_iter().filter_map(|it| self.remove(it)).collect()
    }

    /// First [`SCAN_LIMIT`] tasks in scheduling order at `now`.
    pub fn scan(&self, now: Instant) -> impl Iterator<Item = (Position, &T)> {
        self.priorities()
            .flat_map(move |it| self.on_time(it, now).chain(self.late(it, now)))
            .take(SCAN_LIMIT)
            .map(|(at, entry)| (*at, &entry.item))
    }

    /// Priorities of the waiting tasks, in order.
    fn priorities(&self) -> impl Iterator<Item = u8> {
        let first_from = |priority| {
            let from = Position::first(priority, Instant::default());
            Some(self.entries.range(from..).next()?.0.priority)
        };
        std::iter::successors(first_from(0), move |it| first_from(it.checked_add(1)?))
    }

    /// Tasks of `priority` that can be in time, by least slack.
    fn on_time(&self, priority: u8, now: Instant) -> impl Iterator<Item = (&Position, &Entry<T>)> {
        let from = Position::first(priority, now);
        let on_time = self.entries.range(from..);
        on_time.take_while(move |it| it.0.priority == priority)
    }

    /// Tasks of `priority` that can only be late, the one that became late last first.
    fn late(&self, priority: u8, now: Instant) -> impl Iterator<Item = (&Position, &Entry<T>)> {
        let to = Position::first(priority, now);
        let late = self.entries.range(..to).rev();
        late.take_while(move |it| it.0.priority == priority)
    }

    /// All tasks by priority and the time at which they should start.
    pub fn iter(&self) -> impl Iterator<Item = (Position, &T)> {
        self.entries.iter().map(|(at, entry)| (*at, &entry.item))
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
