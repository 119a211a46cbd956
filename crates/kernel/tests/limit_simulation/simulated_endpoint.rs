//! An endpoint of a simulated fleet.

/// A request that reached an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedArrival {
    pub at: u64,
    pub is_urgent: bool,
    /// Whether the sender, since its start, knew of limits or of an entry that did.
    pub is_told: bool,
    /// Whether a fault struck the sender itself.
    pub is_excused: bool,
}

/// An endpoint of a simulated fleet.
pub struct SimulatedEndpoint {
    pub limit: Option<f64>,
    /// Start of its run as the store lists it, in milliseconds.
    pub listed_ms: u64,
    /// Times of the requests that were not sent for lack of a ticket.
    pub denied: Vec<u64>,
    pub arrivals: Vec<SimulatedArrival>,
}

impl SimulatedEndpoint {
    pub fn new(_: usize) -> SimulatedEndpoint {
        SimulatedEndpoint {
            limit: None,
            listed_ms: 1_000,
            denied: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    /// Returns the requests that arrived from `from` until `until`.
    pub fn arrived(&self, from: u64, until: u64) -> usize {
        self.arrivals.iter().filter(|arrival| arrival.at >= from && arrival.at < until).count()
    }

    /// Returns the urgent requests that arrived from `from` until `until`.
    pub fn urgent(&self, from: u64, until: u64) -> usize {
        let within = |arrival: &&SimulatedArrival| arrival.at >= from && arrival.at < until;
        self.arrivals.iter().filter(within).filter(|arrival| arrival.is_urgent).count()
    }

    /// Returns the windows of `window` milliseconds between `from` and `until` that begin with a request,
    /// as their beginnings with the number of requests, without those that `is_counted` rejects.
    pub fn windows(
        &self,
        window: u64,
        (from, until): (u64, u64),
        is_counted: impl Fn(&SimulatedArrival) -> bool,
    ) -> Vec<(u64, usize)> {
        let within = |arrival: &&SimulatedArrival| {
            arrival.at >= from && arrival.at < until && is_counted(arrival)
        };
        let times: Vec<u64> =
            self.arrivals.iter().filter(within).map(|arrival| arrival.at).collect();
        let count = |(index, start): (usize, &u64)| {
            (*start, times[index..].iter().take_while(|at| **at < start + window).count())
        };
        times.iter().enumerate().map(count).collect()
    }
}
