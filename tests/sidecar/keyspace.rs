//! Invariants of the assignment table.

use filbertflow::protocol::ownership;
use filbertflow::state::keyspace::{AssignmentTable, Holder, Key};
use quickcheck::{Arbitrary, Gen, quickcheck};

#[derive(Debug, Clone, Copy)]
enum Step {
    Assign(Key, Key, u8),
    Plan(Key, Key, u8, u8),
    Release(Key, Key, u8),
    Cancel(u8),
    Expire(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let ends = (Key::arbitrary(g), Key::arbitrary(g));
        let (from, to) = (ends.0.min(ends.1), ends.0.max(ends.1));
        let (x, y) = (u8::arbitrary(g) % 4, u8::arbitrary(g) % 4);
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Assign(from, to, x),
            3 | 4 => Self::Plan(from, to, x, y),
            5 => Self::Release(from, to, x),
            6 => Self::Cancel(x),
            _ => Self::Expire(x),
        }
    }
}

fn holder(n: u8) -> Holder {
    Holder {
        node: format!("10.0.0.{n}:1"),
        backend: format!("i-{n}"),
        born: u64::from(n),
    }
}

fn apply(table: &mut AssignmentTable, step: Step) {
    match step {
        Step::Assign(from, to, x) => table.assign(from, to, &holder(x)),
        Step::Plan(from, to, x, y) => table.plan_move(from, to, &holder(x), &holder(y)),
        Step::Release(from, to, x) => table.release(from, to, &holder(x), "proof"),
        Step::Cancel(x) => table.cancel_moves(&holder(x)),
        Step::Expire(x) => table.expire(&holder(x)),
    }
}

quickcheck! {
    /// Guards against gaps, overlaps and tokens that were not issued.
    fn invariants_hold(steps: Vec<Step>) -> bool {
        let mut table = AssignmentTable::default();
        steps.into_iter().all(|s| {
            apply(&mut table, s);
            table.check().is_ok()
        })
    }

    /// Guards against a new holder of a key without a higher token.
    fn new_holder_has_a_higher_token(steps: Vec<Step>, key: Key) -> bool {
        let mut table = AssignmentTable::default();
        let mut highest = 0;
        let mut last: Option<Holder> = None;
        steps.into_iter().all(|s| {
            apply(&mut table, s);
            let slice = table.slice_of(key).unwrap();
            let rises = slice.holder.is_none() || slice.holder == last || slice.token > highest;
            if slice.holder.is_some() {
                last.clone_from(&slice.holder);
                highest = highest.max(slice.token);
            }
            rises
        })
    }

    /// Guards against a table that is changed by encoding and decoding.
    fn table_survives_the_store(steps: Vec<Step>) -> bool {
        let mut table = AssignmentTable::default();
        for s in steps {
            apply(&mut table, s);
        }
        ownership::decode_table(&ownership::encode_table(&table)).unwrap() == table
    }
}

macro_rules! unreadable {
    ($($name:ident: $text:literal;)*) => {$(
        /// Guards against accepting an invalid table.
        #[test]
        fn $name() {
            assert!(ownership::decode_table($text.as_bytes()).is_err());
        }
    )*};
}

unreadable! {
    nothing: "";
    other_json: "[]";
    gap: r#"{"next_token":2,"holders":[],"slices":[[0,10,1,null,null,""],[12,65535,1,null,null,""]]}"#;
    overlap: r#"{"next_token":2,"holders":[],"slices":[[0,10,1,null,null,""],[10,65535,1,null,null,""]]}"#;
    short: r#"{"next_token":2,"holders":[],"slices":[[0,10,1,null,null,""]]}"#;
    unissued_token: r#"{"next_token":1,"holders":[],"slices":[[0,65535,1,null,null,""]]}"#;
    unlisted_holder: r#"{"next_token":2,"holders":[],"slices":[[0,65535,1,0,null,""]]}"#;
}
