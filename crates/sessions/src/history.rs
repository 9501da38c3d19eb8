//! What the submitters of a session saw.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
};

use bluebellpath::{
    entry::Refusal,
    job::{Answer, Id, Submission},
};
use bluebellpath_runtime::{Instant, clock};

/// What a submitter asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// To run the job.
    Submit,
    /// To run a job with other content under the same id.
    Alter,
    /// To cancel the job.
    Cancel,
    /// For the answer.
    Fetch,
}

/// What came back.
#[derive(Clone, Debug)]
pub enum Got {
    /// Nothing yet, or nothing ever because the instance crashed.
    Nothing,
    /// The instance crashed.
    Crash,
    /// Answer of the job.
    Answer(Rc<Answer>),
    /// No answer of a job.
    Refusal(Refusal),
    /// No such job, to a fetch or a cancellation.
    Missing,
}

/// One request and what came back.
#[derive(Clone, Debug)]
pub struct Seen {
    /// What was asked.
    pub ask: Ask,
    /// Job.
    pub id: Id,
    /// What the job is to run.
    pub submission: Rc<Submission>,
    /// Member that was asked.
    pub member: usize,
    /// True when the member was the one that issued the job's ticket, and took
    /// the request in at once.
    pub at_issuer: bool,
    /// When it was asked.
    pub sent: Instant,
    /// Place of the request among all events.
    pub sent_order: u64,
    /// When it came back.
    pub came: Instant,
    /// Place of what came back among all events.
    pub came_order: u64,
    /// What came back.
    pub got: Got,
}

impl Seen {
    /// Answer, if one came back.
    pub fn answer(&self) -> Option<&Answer> {
        match &self.got {
            Got::Answer(answer) => Some(answer),
            _ => None,
        }
    }

    /// True for requests that may start the job.
    pub fn may_start(&self) -> bool {
        matches!(self.ask, Ask::Submit | Ask::Alter)
    }
}

/// What the submitters of a session saw.
#[derive(Default)]
pub struct History {
    seen: RefCell<Vec<Seen>>,
    order: Cell<u64>,
    paused: RefCell<BTreeSet<usize>>,
}

impl History {
    /// Notes a request; [`History::came`] takes the number that it returns.
    pub fn sent(&self, ask: Ask, id: &Id, submission: &Rc<Submission>, member: usize) -> usize {
        let mut seen = self.seen.borrow_mut();
        seen.push(Seen {
            ask,
            id: id.clone(),
            submission: submission.clone(),
            member,
            at_issuer: false,
            sent: clock::now(),
            sent_order: self.next(),
            came: clock::now(),
            came_order: 0,
            got: Got::Nothing,
        });
        seen.len() - 1
    }

    /// Notes that the request went to the issuer of the job's ticket.
    pub fn at_issuer(&self, number: usize) {
        self.seen.borrow_mut()[number].at_issuer = true;
    }

    /// Notes what came back.
    pub fn came(&self, number: usize, got: Got) {
        let order = self.next();
        let seen = &mut self.seen.borrow_mut()[number];
        seen.came = clock::now();
        seen.came_order = order;
        seen.got = got;
    }

    /// Notes that a member is paused, or is so no more.
    pub fn set_paused(&self, member: usize, paused: bool) {
        let mut members = self.paused.borrow_mut();
        if paused {
            members.insert(member);
        } else {
            members.remove(&member);
        }
    }

    /// True while a member is paused, and so takes nothing in.
    pub fn is_paused(&self, member: usize) -> bool {
        self.paused.borrow().contains(&member)
    }

    /// Requests that nothing came back to yet.
    pub fn outstanding(&self) -> usize {
        let seen = self.seen.borrow();
        let waits = |it: &&Seen| matches!(it.got, Got::Nothing);
        seen.iter().filter(waits).count()
    }

    /// All requests so far.
    pub fn all(&self) -> Vec<Seen> {
        self.seen.borrow().clone()
    }

    fn next(&self) -> u64 {
        self.order.set(self.order.get() + 1);
        self.order.get()
    }
}
