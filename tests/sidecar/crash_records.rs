//! Stored records of crashing requests.

use filbertflow::protocol::crash_record;
use filbertflow::state::crash_evidence::CrashEvidence;
use filbertflow::state::fingerprint::Fingerprint;
use quickcheck::quickcheck;

quickcheck! {
    /// Guards against evidence that a process reads otherwise than another one wrote it.
    fn record_is_read_as_it_was_written(request: u64, lives: Vec<u64>, strikes: u32) -> bool {
        let key = crash_record::key(Fingerprint(request));
        let evidence = CrashEvidence { lives, strikes };
        let read = crash_record::decode(&crash_record::encode(&evidence)).ok();
        let valid = (1..=16).contains(&evidence.lives.len());
        crash_record::decode_key(&key) == Ok(Fingerprint(request))
            && read == valid.then_some(evidence)
    }
}

macro_rules! odd_records {
    ($($name:ident: $key:literal, $value:literal;)*) => {$(
        /// Guards against a request that is suspected because of an entry that no node wrote.
        #[test]
        fn $name() {
            let key = crash_record::decode_key(concat!("filbertflow/crash/", $key));
            let evidence = crash_record::decode($value.as_bytes());
            assert!(key.is_err() || evidence.is_err());
        }
    )*};
}

odd_records! {
    no_fingerprint: "", r#"{"lives":[1],"strikes":0}"#;
    short_fingerprint: "ff", r#"{"lives":[1],"strikes":0}"#;
    capital_fingerprint: "00000000000000FF", r#"{"lives":[1],"strikes":0}"#;
    other_text: "odd", r#"{"lives":[1],"strikes":0}"#;
    no_life: "00000000000000ff", r#"{"lives":[],"strikes":0}"#;
    no_object: "00000000000000ff", "odd";
    negative_strikes: "00000000000000ff", r#"{"lives":[1],"strikes":-1}"#;
}
