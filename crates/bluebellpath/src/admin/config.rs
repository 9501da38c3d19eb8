//! Operators' requests about the configuration.

use ::http::{StatusCode, header};

use super::{
    Access, At, Changed, Content, Difference, Operation, Problem, Proposal, Replacement,
    Restoration,
    api::{Api, invalid, number, ok, parse},
};
use crate::{
    config::{self, Change, Document, Revision},
    http::{Request, Response},
};

/// Longest operation id, in bytes.
const MAX_OPERATION: usize = 64;

/// Longest reason, in bytes.
const MAX_REASON: usize = 1_000;

/// Most entries of the history in one response.
const MAX_HISTORY: u64 = 500;

impl Api {
    pub(super) async fn content(&self, request: &Request) -> Result<Response, Box<Problem>> {
        let version = match number(request, "version")? {
            Some(version) => version,
            None => self.newest().await?,
        };
        let document = self.document(version).await?;
        let response = ok(&Content { version, document });
        Ok(response.with_header(header::ETAG, &format!("\"{version}\"")))
    }

    pub(super) async fn at(&self, request: &Request) -> Result<Response, Box<Problem>> {
        let at_ms = number(request, "ms")?.ok_or_else(|| invalid("ms: missing"))?;
        let accepted = self.last_before(at_ms).await?;
        let document = self.document(accepted.version).await?;
        Ok(ok(&At {
            at_ms,
            version: accepted.version,
            preset: document.preset,
            effective_ms: accepted.effective_ms.unwrap_or_default(),
            author: accepted.author,
            reason: accepted.reason,
        }))
    }

    pub(super) async fn diff(&self, request: &Request) -> Result<Response, Box<Problem>> {
        let from = number(request, "from")?.ok_or_else(|| invalid("from: missing"))?;
        let to = match number(request, "to")? {
            Some(to) => to,
            None => self.newest().await?,
        };
        let (before, after) = (self.document(from).await?, self.document(to).await?);
        let changes = Change::between(&before, &after);
        Ok(ok(&Difference { from, to, changes }))
    }

    pub(super) async fn history(&self, request: &Request) -> Result<Response, Box<Problem>> {
        let after = number(request, "after")?.unwrap_or(0);
        let limit = number(request, "limit")?.unwrap_or(MAX_HISTORY);
        let limit = limit.min(MAX_HISTORY) as usize;
        let history = self.proposer.store().history(after, limit).await;
        Ok(ok(&history.map_err(|it| Problem::platform(&it))?))
    }

    pub(super) async fn operation(&self, id: &str) -> Result<Response, Box<Problem>> {
        check_id(id)?;
        let store = self.proposer.store();
        let read = store.operation(id).await;
        let (_, version) = read.map_err(|it| Problem::platform(&it))?;
        let accepted = match version {
            Some(version) => store
                .change(version)
                .await
                .map_err(|it| Problem::platform(&it))?,
            None => None,
        };
        Ok(ok(&Operation {
            operation: id.to_owned(),
            accepted: accepted.filter(|it| it.effective_ms.is_some()),
        }))
    }

    pub(super) async fn change(
        &self,
        access: &Access,
        request: &Request,
    ) -> Result<Response, Box<Problem>> {
        let base = base(request)?;
        let proposal: Proposal = parse(request)?;
        self.apply(access, request, base, proposal).await
    }

    pub(super) async fn replace(
        &self,
        access: &Access,
        request: &Request,
    ) -> Result<Response, Box<Problem>> {
        let base = base(request)?;
        let replacement: Replacement = parse(request)?;
        let before = self.document(base).await?;
        let after = replacement.document.sorted();
        let faults = after.check();
        if !faults.is_empty() {
            return Err(Problem::of_refusal(config::Refusal::Faults { faults }));
        }
        let proposal = Proposal {
            operation: replacement.operation,
            reason: replacement.reason,
            changes: Change::between(&before, &after),
        };
        self.apply(access, request, base, proposal).await
    }

    pub(super) async fn restore(
        &self,
        access: &Access,
        request: &Request,
    ) -> Result<Response, Box<Problem>> {
        let base = base(request)?;
        let restoration: Restoration = parse(request)?;
        let before = self.document(base).await?;
        // A key that was taken back must not come back with the content.
        let after = Document {
            keys: before.keys.clone(),
            ..self.document(restoration.version).await?
        };
        let proposal = Proposal {
            operation: restoration.operation,
            reason: restoration.reason,
            changes: Change::between(&before, &after),
        };
        self.apply(access, request, base, proposal).await
    }

    async fn apply(
        &self,
        access: &Access,
        request: &Request,
        base: u64,
        proposal: Proposal,
    ) -> Result<Response, Box<Problem>> {
        check_id(&proposal.operation)?;
        if proposal.reason.is_empty() || proposal.reason.len() > MAX_REASON {
            return Err(invalid(&format!("reason: allowed 1 to {MAX_REASON} bytes")));
        }
        access.require_for(&proposal.changes)?;
        let operation = config::Operation {
            id: proposal.operation,
            author: access.principal.name.clone(),
            reason: proposal.reason,
            base,
            changes: proposal.changes,
        };
        if request.parameter("dry_run").as_deref() == Some("true") {
            let tried = self.proposer.dry_run(&operation).await;
            tried.map_err(Problem::of_refusal)?;
            return Ok(ok(&Changed {
                dry_run: true,
                version: base + 1,
                effective_ms: None,
                changes: operation.changes,
            }));
        }
        let accepted = self.proposer.propose(&operation).await;
        let accepted = accepted.map_err(Problem::of_refusal)?;
        let etag = format!("\"{}\"", accepted.version);
        let response = ok(&Changed {
            dry_run: false,
            version: accepted.version,
            effective_ms: accepted.effective_ms,
            changes: accepted.changes,
        });
        Ok(response.with_header(header::ETAG, &etag))
    }

    /// Newest accepted version in the table.
    async fn newest(&self) -> Result<u64, Box<Problem>> {
        let newest = self.proposer.store().newest().await;
        newest.map_err(|it| Problem::platform(&it))
    }

    async fn document(&self, version: u64) -> Result<Document, Box<Problem>> {
        let document = self.proposer.store().document(version).await;
        let document = document.map_err(|it| Problem::platform(&it))?;
        document.ok_or_else(|| {
            let detail = format!("there is no version {version}");
            Problem::refused(StatusCode::NOT_FOUND, "not-found", detail)
        })
    }

    /// Last change in force at `at_ms`. Effective times grow along the history,
    /// so a bisection finds it in a few readings.
    async fn last_before(&self, at_ms: u64) -> Result<Revision, Box<Problem>> {
        let (mut low, mut high) = (0, self.newest().await? + 1);
        let mut found = None;
        while low + 1 < high {
            let middle = low + (high - low) / 2;
            let change = self.proposer.store().change(middle).await;
            let change = change.map_err(|it| Problem::platform(&it))?;
            let effective = change.filter(|it| it.effective_ms.is_some_and(|it| it <= at_ms));
            match effective {
                Some(change) => (low, found) = (middle, Some(change)),
                None => high = middle,
            }
        }
        found.ok_or_else(|| {
            let detail = format!("nothing was in force at {at_ms}");
            Problem::refused(StatusCode::NOT_FOUND, "not-found", detail)
        })
    }
}

/// Version that the operator looked at.
fn base(request: &Request) -> Result<u64, Box<Problem>> {
    let Some(text) = request.header(header::IF_MATCH) else {
        let detail = "If-Match: missing; send the version that you looked at";
        let status = StatusCode::PRECONDITION_REQUIRED;
        return Err(Problem::refused(status, "if-match", detail));
    };
    let version = text.trim_matches('"').parse();
    version.map_err(|_| invalid(&format!("If-Match: found {text:?}, allowed a version")))
}

fn check_id(id: &str) -> Result<(), Box<Problem>> {
    let ordinary = |it: char| it.is_ascii_alphanumeric() || "-_.".contains(it);
    if !id.is_empty() && id.len() <= MAX_OPERATION && id.chars().all(ordinary) {
        return Ok(());
    }
    let allowed = format!("allowed 1 to {MAX_OPERATION} letters, digits, '-', '_' and '.'");
    Err(invalid(&format!("operation: found {id:?}, {allowed}")))
}
