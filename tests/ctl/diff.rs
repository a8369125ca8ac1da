//! Tests of `filbertflow-ctl diff`.

use crate::fake::Fake;
use crate::run;

macro_rules! differences {
    ($($name:ident: $from:literal => $to:literal, $line:literal;)*) => {$(
        /// Guards against a change that is not shown, or unrelated values that are shown as changed.
        #[test]
        fn $name() {
            let fake = Fake::start();
            fake.submit(&run::example());
            let file = run::File::new(&run::example().replacen($from, $to, 1));
            let run = run::ctl(fake.addr, &["diff", file.name()]);
            assert_eq!((run.code, run.out.as_str()), (0, $line), "{}", run.err);
            assert_eq!(run.err, "revision 1 is in force\n");
        }
    )*};
}

differences! {
    changed_value: "\"slices\": 64" => "\"slices\": 128",
        "~ services[walk-listings].slices: 64 -> 128\n";
    added_entry: "\"drain\": []" => "\"drain\": [\"127.0.1.1:7101\"]",
        "~ drain (order):  -> 127.0.1.1:7101\n+ drain[127.0.1.1:7101]: \"127.0.1.1:7101\"\n";
    removed_entry: "{ \"name\": \"concierge\", \"priority\": 1 }," => "",
        "~ classes (order): tourist, concierge, operator -> tourist, operator\n\
         - classes[concierge].name: \"concierge\"\n\
         - classes[concierge].priority: 1\n";
    other_default_class:
        "{ \"name\": \"tourist\", \"priority\": 2 },\n    { \"name\": \"concierge\", \"priority\": 1 }"
        => "{ \"name\": \"concierge\", \"priority\": 1 }, { \"name\": \"tourist\", \"priority\": 2 }",
        "~ classes (order): tourist, concierge, operator -> concierge, tourist, operator\n";
    only_a_comment: "// A purchase" => "// One purchase", "no difference\n";
}

/// Guards against printing a document that differs from the submitted text.
#[test]
fn current_document_is_printed_as_submitted() {
    let fake = Fake::start();
    fake.submit(&run::example());
    let run = run::ctl(fake.addr, &["diff", "--current"]);
    assert_eq!((run.code, run.out), (0, run::example()));
}

/// Guards against empty output for a missing document, which would look like "no difference".
#[test]
fn missing_document_is_reported() {
    let fake = Fake::start();
    let run = run::ctl(fake.addr, &["diff", "--current"]);
    assert!(run.err.contains("revision 0"), "{}", run.err);
    fake.shut_down();
    let run = run::ctl(fake.addr, &["diff", "--current"]);
    assert_eq!(run.code, 4, "{}", run.err);
}
