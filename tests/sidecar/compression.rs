//! Tests of value compression.

use filbertflow::protocol::compression::{compress, decompress};
use quickcheck::quickcheck;

quickcheck! {
    /// Guards against a value that changes in a round trip.
    fn round_trip_restores_value(value: Vec<u8>) -> bool {
        decompress(&compress(&value)).unwrap() == value
    }

    /// Guards against a truncated value that is accepted.
    fn truncation_is_detected(value: Vec<u8>) -> bool {
        let compressed = compress(&value);
        decompress(&compressed[..compressed.len() - 1]).is_err()
    }
}

/// Guards against configuration copies that saturate slow links. A configuration with 1,200 routes
/// was sent to 57 nodes.
#[test]
fn configuration_shrinks() {
    let rule = |n| {
        format!(
            r#"{{"match":{{"prefix":"/p{n}/"}},"action":{{"cluster":"c{}","timeout_ms":900}}}},"#,
            n % 7
        )
    };
    let value: String = (0..1200).map(rule).collect();
    let compressed = compress(value.as_bytes());
    assert!(
        compressed.len() * 4 < value.len(),
        "{} of {}",
        compressed.len(),
        value.len()
    );
}
