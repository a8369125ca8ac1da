//! Decisions of the byte budget, without a network.

use filbertflow::state::sidecar_settings::ProcessLimits;
use filbertflow::transport::sidecar::byte_budget::{ByteBudget, Purpose, SMALL_BODY};

const MB: usize = 1 << 20;

fn of_160_mb() -> std::rc::Rc<ByteBudget> {
    ByteBudget::of_process(ProcessLimits {
        memory_bytes: Some(160 * MB),
        descriptors: Some(4100),
    })
}

/// Guards against a budget that refuses the largest legal body although nothing else is held.
#[test]
fn largest_body_has_room() {
    let budget = of_160_mb();
    let held = budget.try_reserve(64 * MB, Purpose::Request).unwrap();
    assert!(budget.try_reserve(64 * MB, Purpose::Request).is_none());
    drop(held);
    assert!(budget.try_reserve(64 * MB, Purpose::Request).is_some());
}

/// Guards against large bodies that take the room of small ones and of responses.
#[test]
fn large_bodies_leave_a_reserve() {
    let budget = of_160_mb();
    let large = || budget.try_reserve(MB, Purpose::Request);
    let held: Vec<_> = std::iter::from_fn(large).collect();
    assert_eq!(held.len(), 70);
    let small = budget.try_reserve(SMALL_BODY, Purpose::Request);
    let response = budget.try_reserve(8 * MB, Purpose::Response);
    assert!(small.is_some() && response.is_some());
}

/// Guards against a growing body that is counted with its last step only.
#[test]
fn growth_counts_once() {
    let budget = of_160_mb();
    let before = budget.available();
    let mut held = budget.try_reserve(MB, Purpose::Request).unwrap();
    assert!(budget.try_grow(&mut held, 3 * MB, Purpose::Request));
    assert_eq!(budget.available(), before - 3 * MB);
    assert!(!budget.try_grow(&mut held, 90 * MB, Purpose::Request));
    drop(held);
    assert_eq!(budget.available(), before);
}
