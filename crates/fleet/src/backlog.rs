/*!
Order of waiting work.

Load pattern: a burst leaves more tasks than room for seconds. The smallest
priority goes first, and within it the task that must start soonest. A task that
finds no room does not hold up those behind it.
*/

use std::collections::BTreeMap;

use bluebellpath_runtime::Instant;

/// Tasks that are looked at in one pass; a pass over a whole backlog would cost
/// more than it finds.
const PASS: usize = 64;

/// Place of a waiting task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Priority, 0 first.
    pub priority: u8,
    /// Time by which it should start.
    pub start_by: Instant,
    /// Order of arrival.
    number: u64,
}

/// Waiting tasks with what belongs to each.
#[derive(Debug)]
pub struct Backlog<T> {
    waiting: BTreeMap<Place, T>,
    arrivals: u64,
}

impl<T> Default for Backlog<T> {
    fn default() -> Backlog<T> {
        Backlog {
            waiting: BTreeMap::new(),
            arrivals: 0,
        }
    }
}

impl<T> Backlog<T> {
    /// Adds a task.
    pub fn push(&mut self, priority: u8, start_by: Instant, item: T) -> Place {
        self.arrivals += 1;
        let place = Place {
            priority,
            start_by,
            number: self.arrivals,
        };
        self.waiting.insert(place, item);
        place
    }

    /// A task that waits.
    pub fn get_mut(&mut self, place: Place) -> Option<&mut T> {
        self.waiting.get_mut(&place)
    }

    /// Removes a task.
    pub fn remove(&mut self, place: Place) -> Option<T> {
        self.waiting.remove(&place)
    }

    /// First tasks in their order.
    pub fn scan(&self) -> impl Iterator<Item = (Place, &T)> {
        self.waiting.iter().take(PASS).map(|(at, it)| (*at, it))
    }

    /// All tasks.
    pub fn iter(&self) -> impl Iterator<Item = (Place, &T)> {
        self.waiting.iter().map(|(at, it)| (*at, it))
    }

    /// Number of tasks.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True when nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
