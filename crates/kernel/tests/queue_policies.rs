//! Lookup of queue policies by name.

use pimentorock_kernel::queue;

#[test]
fn policies_are_registered_by_name() {
    assert_eq!(queue::policy_names(), ["edf", "fifo", "tiered"]);
    for name in queue::policy_names() {
        assert!(queue::build(name, 4, 1000, 100.0).is_some(), "{name}");
    }
    assert!(queue::build("lifo", 4, 1000, 100.0).is_none());
}
