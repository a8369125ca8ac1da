//! Compressed values.

use filbertflow::protocol::compression::{compress, decompress};
use quickcheck::quickcheck;

quickcheck! {
    /// Guards against a value that changes on its way.
    fn restored(value: Vec<u8>) -> bool {
        decompress(&compress(&value)).unwrap() == value
    }

    /// Guards against a value that is cut on its way and still taken over.
    fn cut_is_noticed(value: Vec<u8>) -> bool {
        let packed = compress(&value);
        decompress(&packed[..packed.len() - 1]).is_err()
    }
}

/// Pattern: 1,200 routes, sent to 57 nodes. Guards against copies that fill slow links.
#[test]
fn configuration_shrinks() {
    let rule = |n| {
        format!(
            r#"{{"match":{{"prefix":"/p{n}/"}},"action":{{"cluster":"c{}","timeout_ms":900}}}},"#,
            n % 7
        )
    };
    let value: String = (0..1200).map(rule).collect();
    let packed = compress(value.as_bytes());
    assert!(
        packed.len() * 4 < value.len(),
        "{} of {}",
        packed.len(),
        value.len()
    );
}
