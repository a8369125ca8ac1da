//! `diff`.

use crate::fake::Fake;
use crate::run;

macro_rules! differences {
    ($($name:ident: $from:literal => $to:literal, $line:literal;)*) => {$(
        /// Guards against a change that is not shown, or that makes unrelated values look changed.
        #[test]
        fn $name() {
            let fake = Fake::start();
            fake.put(&run::example());
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

/// Guards against a printed document that differs from the one that was submitted.
#[test]
fn current_document_is_printed_as_submitted() {
    let fake = Fake::start();
    fake.put(&run::example());
    let run = run::ctl(fake.addr, &["diff", "--current"]);
    assert_eq!((run.code, run.out), (0, run::example()));
}

/// Guards against an empty output that looks like "no difference".
#[test]
fn missing_document_is_told() {
    let fake = Fake::start();
    let run = run::ctl(fake.addr, &["diff", "--current"]);
    assert!(run.err.contains("revision 0"), "{}", run.err);
    fake.down();
    let run = run::ctl(fake.addr, &["diff", "--current"]);
    assert_eq!(run.code, 4, "{}", run.err);
}
