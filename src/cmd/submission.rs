//! Submission of a document: compare-and-swap against the revision that it is based on.
//!
//! A write without an answer may have taken effect, or may still take effect later. Its outcome is
//! resolved by reading the document back. If it has not been accepted, the write is retried with the
//! same identifier and expected revision, so that it takes effect at most once.

use std::time;

use uuid::Uuid;

use crate::cmd::{cli, exit};
use crate::protocol::config;
use crate::state::ids;
use crate::transport::{error, platform};

/// Maximum time for a submission, including retries and the resolution of unanswered writes.
const SUBMIT_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Delay between attempts.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// HTTP status of the platform's service for calls above its rate limit.
const HTTP_TOO_MANY_REQUESTS: u16 = 429;

/// Current document in the platform's service, with its modification revision.
#[derive(Debug, Clone)]
pub struct CurrentEntry {
    /// Stored document, or `None` if none has been submitted.
    pub stored: Option<config::StoredDocument>,
    modified: ids::ModRevision,
}

/// Known outcome of a submission.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// Accepted with this revision.
    Accepted(ids::DocRevision),
    /// Another submission was accepted first; contains the document then stored.
    Conflict(Option<config::StoredDocument>),
}

/// Document to submit.
#[derive(Debug, Clone, Copy)]
pub struct Submission<'a> {
    /// Identifier of the submission.
    pub id: &'a str,
    /// Revision that the document is based on; 0 for the first document.
    pub based_on: ids::DocRevision,
    /// Text of the document.
    pub text: &'a str,
    /// Whether an earlier attempt with the same identifier may have been accepted.
    pub resumed: bool,
}

/// Creates the identifier of a submission.
#[must_use]
pub fn create_id() -> String {
    Uuid::now_v7().to_string()
}

/// Reads the current document.
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
/// Returns an error that says whether the submission had no effect or its outcome is unknown.
pub async fn submit(
    client: &platform::Client,
    submission: &Submission<'_>,
) -> eyre::Result<Outcome> {
    let deadline = time::Instant::now() + SUBMIT_TIMEOUT;
    let mut maybe_written = submission.resumed;
    loop {
        let failure = match read(client).await {
            Ok(entry) => match resolve(submission, entry.stored.as_ref(), maybe_written) {
                Resolution::Outcome(outcome) => return Ok(outcome),
                Resolution::Unknown => {
                    return Err(unknown(submission, "too many submissions followed it"));
                }
                Resolution::Writable => match write(client, submission, &entry).await {
                    Ok(Some(outcome)) => return Ok(outcome),
                    Ok(None) => error::Error::Unreachable("document keeps changing".to_owned()),
                    Err(e) => {
                        maybe_written |= e.is_ambiguous();
                        e
                    }
                },
            },
            Err(e) => e,
        };
        if is_permanent(&failure) || time::Instant::now() >= deadline {
            return Err(if maybe_written {
                unknown(submission, &failure.to_string())
            } else {
                cli::unavailable("not submitted", &failure)
            });
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn is_permanent(e: &error::Error) -> bool {
    matches!(e, error::Error::Rejected { status, .. } if *status != HTTP_TOO_MANY_REQUESTS)
}

/// Result of reading back the document.
enum Resolution {
    /// The outcome of the submission is known.
    Outcome(Outcome),
    /// The current document is the one that the submission is based on, so it can be written.
    Writable,
    /// The submission may have been accepted earlier than the submissions that the document lists.
    Unknown,
}

fn resolve(
    submission: &Submission<'_>,
    stored: Option<&config::StoredDocument>,
    maybe_written: bool,
) -> Resolution {
    let revision = stored.map_or(ids::DocRevision(0), |s| s.revision);
    if revision == submission.based_on {
        return Resolution::Writable;
    }
    let mut known = stored
        .into_iter()
        .flat_map(config::StoredDocument::submissions);
    if let Some((accepted, _)) = known.find(|(_, id)| *id == submission.id) {
        return Resolution::Outcome(Outcome::Accepted(accepted));
    }
    let next = submission.based_on.next();
    if revision < next {
        // The stored document is older than the one that the submission is based on.
        return Resolution::Outcome(Outcome::Conflict(stored.cloned()));
    }
    let mut known = stored
        .into_iter()
        .flat_map(config::StoredDocument::submissions);
    // Either this submission was never written, or the next revision is known to be another one.
    if !maybe_written || known.any(|(r, _)| r == next) {
        return Resolution::Outcome(Outcome::Conflict(stored.cloned()));
    }
    Resolution::Unknown
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

/// Writes the document. Returns `None` if the entry has changed and must be read again.
async fn write(
    client: &platform::Client,
    submission: &Submission<'_>,
    entry: &CurrentEntry,
) -> Result<Option<Outcome>, error::Error> {
    let next =
        config::StoredDocument::successor(entry.stored.as_ref(), submission.id, submission.text);
    let swapped = client
        .compare_and_swap(config::KEY, next.encode(), entry.modified)
        .await?;
    Ok(match swapped {
        platform::SwapResult::Done(_) => Some(Outcome::Accepted(next.revision)),
        platform::SwapResult::Conflict(_) => None,
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
