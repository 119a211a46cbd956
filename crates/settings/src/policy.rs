//! Names of the policies that settings may select.

/// Names of the policies that settings may select, by kind of policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyRegistry<'a> {
    /// Policies for the order of an agent's queue.
    pub queue: &'a [&'a str],
    /// Policies for the choice of an endpoint at an entry.
    pub route: &'a [&'a str],
    /// Policies for starting and stopping endpoints.
    pub scale: &'a [&'a str],
}

impl Default for PolicyRegistry<'_> {
    /// Returns the policies that every version of the kernel provides.
    fn default() -> Self {
        PolicyRegistry {
            queue: &["tiered", "fifo"],
            route: &["expected", "random", "least-loaded"],
            scale: &["steady", "threshold", "none"],
        }
    }
}
