//! Submitters of one job.

use std::{cell::RefCell, rc::Rc};

use bluebellpath::{
    entry::Entry,
    job::{Id, Submission},
};
use bluebellpath_runtime::{Instant, clock, spawn};
use bluebellpath_standin::Fleet;

use crate::{Ask, Got, History, Planned, Try, Way};

/// Job as its submitters know it.
pub struct Submitter {
    /// Fleet.
    pub fleet: Rc<Fleet>,
    /// Where it notes what it saw.
    pub history: Rc<History>,
    /// When the session began.
    pub began: Instant,
    /// Job.
    pub job: Planned,
    id: RefCell<Option<(Id, u64)>>,
}

impl Submitter {
    /// Submitters of `job`.
    pub fn new(fleet: Rc<Fleet>, history: Rc<History>, began: Instant, job: Planned) -> Submitter {
        Submitter {
            fleet,
            history,
            began,
            job,
            id: RefCell::default(),
        }
    }

    /// Makes all requests of the plan, each in a task of its own.
    pub fn start(self: Rc<Self>) {
        let asks = [
            (Ask::Submit, &self.job.tries),
            (Ask::Cancel, &self.job.cancels),
            (Ask::Fetch, &self.job.fetches),
        ];
        for (ask, tries) in asks {
            for it in tries {
                drop(spawn(self.clone().ask(ask, *it)));
            }
        }
    }

    async fn ask(self: Rc<Self>, ask: Ask, it: Try) {
        clock::sleep_until(self.began + it.at).await;
        let Some(id) = self.id(ask) else { return };
        let ask = if it.altered { Ask::Alter } else { ask };
        let submission = Rc::new(self.content(it.altered));
        let number = self.history.sent(ask, &id, &submission, it.member);
        if self.at_issuer(it.member) && !self.history.is_paused(it.member) {
            self.history.at_issuer(number);
        }
        let member = &self.fleet.members[it.member];
        let request = request(member.entry(), ask, id, (*submission).clone());
        // In the scope of the instance: a crash ends the request with it.
        let got = member.scope().spawn(request).await;
        self.history.came(number, got.unwrap_or(Got::Crash));
    }

    fn content(&self, altered: bool) -> Submission {
        let mut submission = self.job.submission.clone();
        if altered {
            submission.tasks[0].kind = "other".to_owned();
        }
        submission
    }

    /// Id of the job, made by the first submission.
    fn id(&self, ask: Ask) -> Option<Id> {
        let known = self.id.borrow().clone();
        if let Some((id, _)) = known {
            return Some(id);
        }
        if ask != Ask::Submit {
            return None;
        }
        let (id, issued) = self.make_id();
        *self.id.borrow_mut() = Some((id.clone(), issued));
        Some(id)
    }

    fn make_id(&self) -> (Id, u64) {
        if let Way::Ticket(index) = self.job.way {
            let member = &self.fleet.members[index];
            if member.scope().is_alive() {
                return (
                    Id::Ticket(member.entry().ticket()),
                    self.fleet.started(index),
                );
            }
        }
        let text = format!("order-{}", self.job.number);
        (text.parse().expect("the text is a valid key"), 0)
    }

    fn at_issuer(&self, member: usize) -> bool {
        let Way::Ticket(index) = self.job.way else {
            return false;
        };
        let id = self.id.borrow();
        let issued = id.as_ref().map_or(0, |it| it.1);
        member == index && issued == self.fleet.started(index)
    }
}

async fn request(entry: Entry, ask: Ask, id: Id, submission: Submission) -> Got {
    match ask {
        Ask::Submit | Ask::Alter => match entry.submit(id, submission).await {
            Ok(answer) => Got::Answer(answer),
            Err(refusal) => Got::Refusal(refusal),
        },
        Ask::Cancel => entry.cancel(&id).await.map_or(Got::Missing, Got::Answer),
        Ask::Fetch => entry.fetch(&id).await.map_or(Got::Missing, Got::Answer),
    }
}
