//! Faults that a test sets on an interface of the platform stand-in.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

/// What goes wrong with a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultMode {
    /// Nothing.
    #[default]
    Ok,
    /// The call has no effect and is answered with 503.
    Down,
    /// The call waits first.
    Slow,
    /// The call takes effect and is answered with 503.
    LoseAnswer,
}

/// A fault to set.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultSpec {
    /// `append`, `read`, `hosts`, `orders`, `usage`, `weights` or `all`.
    pub interface: Box<str>,
    /// What goes wrong.
    pub mode: FaultMode,
    /// How long a slow call waits, in milliseconds.
    #[serde(default)]
    pub millis: u64,
    /// Calls that go wrong before the interface mends; none means until it is set again.
    pub count: Option<u64>,
}

/// Interfaces that faults are set on.
pub(crate) const INTERFACES: [&str; 6] = ["append", "read", "hosts", "orders", "usage", "weights"];

/// The faults in force.
#[derive(Debug, Default)]
pub(crate) struct FaultTable {
    faults: HashMap<&'static str, FaultSpec>,
}

impl FaultTable {
    /// Sets a fault; returns whether the interface exists.
    pub(crate) fn set(&mut self, spec: &FaultSpec) -> bool {
        let mut exists = false;
        for interface in INTERFACES {
            if *spec.interface == *interface || &*spec.interface == "all" {
                self.faults.insert(interface, spec.clone());
                exists = true;
            }
        }
        exists
    }

    /// Returns whether the interface is down, without counting a call.
    pub(crate) fn is_down(&self, interface: &str) -> bool {
        self.faults.get(interface).is_some_and(|spec| spec.mode == FaultMode::Down)
    }

    /// Returns what goes wrong with the next call of `interface`.
    pub(crate) fn next_fault(&mut self, interface: &str) -> (FaultMode, Duration) {
        let Some(spec) = self.faults.get_mut(interface) else {
            return (FaultMode::Ok, Duration::ZERO);
        };
        let fault = (spec.mode, Duration::from_millis(spec.millis));
        if let Some(count) = &mut spec.count {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.faults.remove(interface);
            }
        }
        fault
    }
}
