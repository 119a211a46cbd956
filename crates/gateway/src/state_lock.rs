//! A lock that outlives a panic of its holder.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use crate::logs::part;

/// Number of locks of the process that were recovered after a panic of their holder.
static RECOVERED: AtomicU64 = AtomicU64::new(0);

/// Returns how often a lock of the process was recovered after a panic of its holder.
pub fn recovered_locks() -> u64 {
    RECOVERED.load(Ordering::Relaxed)
}

/// A lock for state that all requests share.
///
/// A panic of a holder ends the work of that holder alone: the next one gets the value as it was left.
#[derive(Debug, Default)]
pub struct StateLock<T>(Mutex<T>);

impl<T> StateLock<T> {
    /// Returns a lock of `value`.
    pub fn new(value: T) -> StateLock<T> {
        StateLock(Mutex::new(value))
    }

    /// Locks the value, which may be half changed if its last holder has panicked.
    ///
    /// The first call after a panic logs and counts it.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(|poisoned: PoisonError<_>| {
            self.0.clear_poison();
            RECOVERED.fetch_add(1, Ordering::Relaxed);
            log::error!(
                target: part::PROCESS, value = std::any::type_name::<T>();
                "lock recovered after a panic"
            );
            poisoned.into_inner()
        })
    }
}
