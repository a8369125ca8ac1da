//! Submission of a document: compare-and-swap against the revision that it was based on.
//!
//! A write without an answer may have taken effect, also later. It is resolved by reading back, and
//! repeated with the same identifier and the same expectation, which can take effect only once.

use std::time;

use uuid::Uuid;

use crate::cmd::{cli, exit};
use crate::protocol::config;
use crate::state::ids;
use crate::transport::{error, platform};

/// Time for resolving a write without an answer.
const RESOLVE_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Pause between two tries.
const PAUSE: time::Duration = time::Duration::from_millis(200);

/// Status with which the platform's service refuses calls beyond its rate.
const TOO_MANY: u16 = 429;

/// Entry of the document with its modification revision.
#[derive(Debug, Clone)]
pub struct CurrentEntry {
    /// Value; `None` if no document was ever submitted.
    pub stored: Option<config::StoredDocument>,
    modified: ids::ModRevision,
}

/// Submission that was answered.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// It was accepted with this revision.
    Accepted(ids::DocRevision),
    /// Another one was accepted first; the document as it is.
    Conflict(Option<config::StoredDocument>),
}

/// Document that is submitted.
#[derive(Debug, Clone, Copy)]
pub struct Submission<'a> {
    /// Identifier.
    pub id: &'a str,
    /// Revision that it is based on; 0 for the first document.
    pub based_on: ids::DocRevision,
    /// Text.
    pub text: &'a str,
    /// Whether an earlier try with the same identifier may have been accepted.
    pub resumed: bool,
}

/// Creates the identifier of a submission.
#[must_use]
pub fn create_id() -> String {
    Uuid::now_v7().to_string()
}

/// Reads the document.
///
/// # Errors
///
/// Returns an error if the platform's service does not answer.
pub async fn read_current(client: &platform::Client) -> eyre::Result<CurrentEntry> {
    let read = read(client).await;
    read.map_err(|e| cli::unavailable("can't read the document", &e))
}

/// Submits a document.
///
/// # Errors
///
/// Returns an error that tells whether the submission had no effect or an unknown one.
pub async fn submit(
    client: &platform::Client,
    submission: &Submission<'_>,
) -> eyre::Result<Outcome> {
    let limit = time::Instant::now() + RESOLVE_LIMIT;
    let mut written = submission.resumed;
    loop {
        let failure = match read(client).await {
            Ok(entry) => match settle(submission, entry.stored.as_ref(), written) {
                Settled::Outcome(outcome) => return Ok(outcome),
                Settled::Unknown => return Err(unknown(submission, "too many followed it")),
                Settled::Open => match write(client, submission, &entry).await {
                    Ok(Some(outcome)) => return Ok(outcome),
                    Ok(None) => error::Error::Unreachable("document keeps changing".to_owned()),
                    Err(e) => {
                        written |= e.is_ambiguous();
                        e
                    }
                },
            },
            Err(e) => e,
        };
        if is_final(&failure) || time::Instant::now() >= limit {
            return Err(if written {
                unknown(submission, &failure.to_string())
            } else {
                cli::unavailable("not submitted", &failure)
            });
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn is_final(e: &error::Error) -> bool {
    matches!(e, error::Error::Rejected { status, .. } if *status != TOO_MANY)
}

enum Settled {
    Outcome(Outcome),
    /// The document is still the one that the submission is based on.
    Open,
    /// The submission may have been accepted before those that are remembered.
    Unknown,
}

fn settle(
    submission: &Submission<'_>,
    stored: Option<&config::StoredDocument>,
    written: bool,
) -> Settled {
    let revision = stored.map_or(ids::DocRevision(0), |s| s.revision);
    if revision == submission.based_on {
        return Settled::Open;
    }
    let mut known = stored
        .into_iter()
        .flat_map(config::StoredDocument::submissions);
    if let Some((accepted, _)) = known.find(|(_, id)| *id == submission.id) {
        return Settled::Outcome(Outcome::Accepted(accepted));
    }
    let next = submission.based_on.next();
    if revision < next {
        // The platform's service shows an older document than the one that this is based on.
        return Settled::Outcome(Outcome::Conflict(stored.cloned()));
    }
    let mut known = stored
        .into_iter()
        .flat_map(config::StoredDocument::submissions);
    // Whoever holds the next revision is known to be another submission.
    if !written || known.any(|(r, _)| r == next) {
        return Settled::Outcome(Outcome::Conflict(stored.cloned()));
    }
    Settled::Unknown
}

async fn read(client: &platform::Client) -> Result<CurrentEntry, error::Error> {
    let Some(entry) = client.get(config::KEY).await? else {
        return Ok(CurrentEntry {
            stored: None,
            modified: ids::ModRevision(0),
        });
    };
    Ok(CurrentEntry {
        stored: Some(config::StoredDocument::parse(&entry.value)?),
        modified: entry.revision,
    })
}

/// Writes the document; `None` if another one came first and the entry must be read again.
async fn write(
    client: &platform::Client,
    submission: &Submission<'_>,
    entry: &CurrentEntry,
) -> Result<Option<Outcome>, error::Error> {
    let next =
        config::StoredDocument::successor(entry.stored.as_ref(), submission.id, submission.text);
    let swapped = client
        .swap(config::KEY, next.encode(), entry.modified)
        .await?;
    Ok(match swapped {
        platform::Swap::Done(_) => Some(Outcome::Accepted(next.revision)),
        platform::Swap::Conflict(_) => None,
    })
}

fn unknown(submission: &Submission<'_>, why: &str) -> eyre::Report {
    let Submission { id, based_on, .. } = submission;
    exit::CommandError::new(
        exit::ExitCode::Unavailable,
        format!(
            "outcome of submission {id} is unknown: {why}\n\
             to resolve it, submit the same file with --based-on {based_on} --submission {id}"
        ),
    )
    .into()
}
