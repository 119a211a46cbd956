//! The lock of state that all requests share.

use std::{
    panic::{self, AssertUnwindSafe},
    sync::Arc,
};

use pimentorock_gateway::state_lock::{StateLock, recovered_locks};

/// Guards against one panic after which every later request fails.
#[test]
fn a_panic_of_a_holder_ends_no_later_use_and_is_counted_once() {
    let lock = Arc::new(StateLock::new(vec![1]));
    let before = recovered_locks();
    for round in 1..=2 {
        let held = Arc::clone(&lock);
        let holder = panic::catch_unwind(AssertUnwindSafe(|| {
            let mut values = held.lock();
            values.push(round);
            panic!("while the lock is held");
        }));
        assert!(holder.is_err());
        for _ in 0..3 {
            assert_eq!(lock.lock().last(), Some(&round));
        }
        assert_eq!(recovered_locks() - before, round);
    }
}
