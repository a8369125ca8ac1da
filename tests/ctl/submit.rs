//! Tests of `filbertflow-ctl submit`: conflicts, lost updates and unknown outcomes.

use crate::fake::{Fake, Fault};
use crate::{fleet, run};

const CONSORTIUM: &str = "examples/consortium.jsonc";

/// Guards against a document that is stored without its comments, or with a wrong revision.
#[test]
fn first_document_is_accepted_as_written() {
    let fake = Fake::start();
    let run = run::ctl(fake.addr, &["submit", CONSORTIUM, "--based-on", "0"]);
    assert_eq!(
        (run.code, run.out.as_str()),
        (0, "accepted as revision 1\n")
    );
    let stored = fake.stored().unwrap();
    assert_eq!((stored.revision.0, stored.text), (1, run::example()));
}

/// Guards against an invalid document that is written to the platform's service.
#[test]
fn invalid_document_is_not_written() {
    let fake = Fake::start();
    let file = run::File::new("{}");
    let run = run::ctl(fake.addr, &["submit", file.name(), "--based-on", "0"]);
    assert_eq!((run.code, fake.writes()), (2, 0), "{}", run.err);
}

/// Guards against submitting a document above the size limit of the platform's service.
#[test]
fn too_large_document_is_not_written() {
    let fake = Fake::start();
    let text = format!("{}// {}\n", run::example(), "x".repeat(1 << 20));
    let file = run::File::new(&text);
    let run = run::ctl(fake.addr, &["submit", file.name(), "--based-on", "0"]);
    assert_eq!((run.code, fake.writes()), (2, 0), "{}", run.err);
    assert!(run.err.contains("limit"), "{}", run.err);
}

macro_rules! stale {
    ($($name:ident: $revision:literal => $code:literal, $text:literal;)*) => {$(
        /// Guards against a lost update: a submission that silently reverts another operator's change.
        #[test]
        fn $name() {
            let fake = Fake::start();
            fake.submit(&run::example());
            fake.submit(&run::changed(128));
            let run = run::ctl(fake.addr, &["submit", CONSORTIUM, "--based-on", $revision]);
            assert_eq!(run.code, $code, "{}", run.err);
            assert!(format!("{}{}", run.out, run.err).contains($text), "{}", run.err);
            let after = fake.stored().unwrap().revision.0;
            assert_eq!(after, if $code == 0 { 3 } else { 2 });
        }
    )*};
}

stale! {
    submission_based_on_the_newest_is_accepted: "2" => 0, "revision 3";
    stale_submission_is_refused: "1" => 3, "revision 2 is in force";
    first_submission_is_refused_later: "0" => 3, "revision 2 is in force";
    submission_based_on_the_future_is_refused: "9" => 3, "revision 2 is in force";
    refusal_shows_the_difference:
        "1" => 3, "~ services[walk-listings].slices: 128 -> 64";
}

macro_rules! lost {
    ($($name:ident: $faults:expr => $code:literal, $text:literal, revision $revision:literal;)*) => {$(
        /// Guards against a wrong outcome, or a submission that is applied twice, when the response
        /// to a write is lost.
        #[test]
        fn $name() {
            let fake = Fake::start();
            fake.submit(&run::changed(128));
            fake.inject_faults(&$faults);
            let run = run::ctl(fake.addr, &["submit", CONSORTIUM, "--based-on", "1"]);
            let text = format!("{}{}", run.out, run.err);
            assert_eq!(run.code, $code, "{text}");
            assert!(text.contains($text), "{text}");
            assert_eq!(fake.stored().unwrap().revision.0, $revision);
        }
    )*};
}

lost! {
    lost_answer_is_read_back: [Fault::Lost] => 0, "accepted as revision 2", revision 2;
    dropped_write_is_repeated: [Fault::Dropped] => 0, "accepted as revision 2", revision 2;
    late_write_takes_effect_once: [Fault::Late] => 0, "accepted as revision 2", revision 2;
    two_lost_answers: [Fault::Dropped, Fault::Lost] => 0, "accepted as revision 2", revision 2;
    accepted_before_another: [Fault::Followed(1)] => 0, "accepted as revision 2", revision 3;
    accepted_before_many: [Fault::Followed(64)] => 0, "accepted as revision 2", revision 66;
    refused_after_another: [Fault::Preceded(1)] => 3, "revision 2 is in force", revision 2;
    refused_after_some: [Fault::Preceded(5)] => 3, "revision 6 is in force", revision 6;
    too_many_to_tell: [Fault::Followed(65)] => 4, "is unknown", revision 67;
    too_many_to_tell_refused: [Fault::Preceded(66)] => 4, "is unknown", revision 67;
}

/// Guards against a second acceptance when an operator retries a submission whose outcome was unknown.
#[test]
fn repeated_submission_finds_its_outcome() {
    let fake = Fake::start();
    let args = [
        "submit",
        CONSORTIUM,
        "--based-on",
        "0",
        "--submission",
        "evening",
    ];
    let first = run::ctl(fake.addr, &args);
    fake.submit(&run::changed(128));
    let second = run::ctl(fake.addr, &args);
    assert_eq!((first.code, second.code), (0, 0), "{}", second.err);
    assert_eq!(second.out, "accepted as revision 1\n");
    assert_eq!(fake.stored().unwrap().revision.0, 2);
}

/// Guards against success, or the exit code of a rejection, while the platform's service is down.
#[test]
fn outage_is_reported() {
    let fake = Fake::start();
    fake.shut_down();
    let run = run::ctl(fake.addr, &["submit", CONSORTIUM, "--based-on", "0"]);
    assert_eq!(run.code, 4, "{}", run.err);
    assert!(run.err.contains("not submitted"), "{}", run.err);
}

/// Guards against more than one accepted submission, or a conflict that is not reported, when several
/// operators submit concurrently.
#[test]
fn one_of_racing_submissions_wins() {
    let fake = Fake::start();
    fake.submit(&run::example());
    let files: Vec<_> = (1..=8).map(|n| run::File::new(&run::changed(n))).collect();
    let children: Vec<_> = files
        .iter()
        .map(|f| run::start(fake.addr, None, &["submit", f.name(), "--based-on", "1"]))
        .collect();
    let runs: Vec<_> = children.into_iter().map(run::finish).collect();
    let accepted: Vec<_> = (0..runs.len()).filter(|i| runs[*i].code == 0).collect();
    let conflicts = runs.iter().filter(|r| r.code == 3).count();
    assert_eq!((accepted.len(), conflicts), (1, 7), "{runs:?}");
    let stored = fake.stored().unwrap();
    assert_eq!(stored.revision.0, 2);
    assert_eq!(
        stored.text,
        run::changed(u32::try_from(accepted[0] + 1).unwrap())
    );
}

/// Guards against a wait that ends before the revision is in force on all nodes.
#[test]
fn wait_ends_when_all_nodes_have_it() {
    let fake = Fake::start();
    let fleet = fleet::start(&fake, 5);
    let args = ["submit", CONSORTIUM, "--based-on", "0", "--wait"];
    let run = run::finish(run::start(fake.addr, Some(fleet.admin()), &args));
    assert_eq!(run.code, 0, "{}", run.err);
    assert!(
        run.out.contains("in force on all 5 known nodes after"),
        "{}",
        run.out
    );
    assert_eq!(fleet.revisions(), [1; 5]);
}
