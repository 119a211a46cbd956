//! Faults that tests inject into the interfaces of the platform stand-in.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

/// How a fault changes a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultMode {
    /// The call is handled normally.
    #[default]
    Ok,
    /// The call has no effect and is answered with status 503.
    Down,
    /// The call is handled normally after a delay.
    Slow,
    /// The call takes effect but is answered with status 503, as if its answer had been lost.
    LoseAnswer,
}

/// A fault to inject into an interface.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FaultSpec {
    /// Name of the interface: `append`, `read`, `hosts`, `orders`, `usage` or `weights`; `all` sets
    /// the fault on every interface.
    pub interface: Box<str>,
    /// How the fault changes a call.
    pub mode: FaultMode,
    /// Delay of a call in the mode [`FaultMode::Slow`], in milliseconds.
    #[serde(default)]
    pub millis: u64,
    /// Number of calls after which the fault is removed; `None` keeps the fault until another one
    /// is set.
    pub count: Option<u64>,
}

/// Names of the interfaces that accept faults.
pub(crate) const INTERFACES: [&str; 6] = ["append", "read", "hosts", "orders", "usage", "weights"];

/// The active fault of each interface.
#[derive(Debug, Default)]
pub(crate) struct FaultTable {
    faults: HashMap<&'static str, FaultSpec>,
}

impl FaultTable {
    /// Sets a fault and reports whether its interface exists.
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

    /// Reports whether the interface is down; the fault's call count does not change.
    pub(crate) fn is_down(&self, interface: &str) -> bool {
        self.faults.get(interface).is_some_and(|spec| spec.mode == FaultMode::Down)
    }

    /// Returns the fault mode and the delay of the next call of `interface` and counts the call.
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
