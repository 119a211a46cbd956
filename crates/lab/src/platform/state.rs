//! The state of the platform stand-in.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use pimentorock_platform::wire::{
    HostEntry, HostList, HostState, OrderKind, OrderRequest, UsageReport,
};
use serde::{Deserialize, Serialize};

use super::{PlatformOptions, fault::FaultTable, stream::LogStream};

/// An order that the platform stand-in received.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordedOrder {
    /// Time of receipt on the platform's wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Whether the order was accepted; an order with an old fencing number is refused if fencing
    /// numbers are checked.
    pub taken: bool,
    /// The order as it was received.
    #[serde(flatten)]
    pub order: OrderRequest,
}

/// The log streams, hosts, orders, usage reports and faults of the platform stand-in.
#[derive(Debug)]
pub struct PlatformState {
    retain_records: usize,
    host_lag: Duration,
    weights_per_second: u32,
    check_fencing: bool,
    pub(crate) faults: FaultTable,
    streams: HashMap<Box<str>, LogStream>,
    hosts: BTreeMap<Box<str>, HostEntry>,
    host_history: VecDeque<(Instant, HostList)>,
    orders: Vec<RecordedOrder>,
    highest_fencing: u64,
    usage: Vec<UsageReport>,
    download_window: (Instant, u32),
}

impl PlatformState {
    /// Returns the state of a platform that saw nothing yet.
    pub fn new(options: &PlatformOptions) -> PlatformState {
        let now = Instant::now();
        PlatformState {
            retain_records: options.retain_records,
            host_lag: Duration::from_millis(options.host_lag_ms),
            weights_per_second: options.weights_per_second,
            check_fencing: options.check_fencing,
            faults: FaultTable::default(),
            streams: HashMap::new(),
            hosts: BTreeMap::new(),
            host_history: VecDeque::from([(now, HostList::default())]),
            orders: Vec::new(),
            highest_fencing: 0,
            usage: Vec::new(),
            download_window: (now, 0),
        }
    }

    /// Returns the stream `name`, which is created on its first use.
    pub fn stream(&mut self, name: &str) -> &mut LogStream {
        self.streams.entry(name.into()).or_default()
    }

    /// Appends records to the stream `name` and returns the offset of the first one.
    pub fn append(&mut self, name: &str, records: Vec<Box<str>>) -> u64 {
        let retain = self.retain_records;
        self.stream(name).append(records, wall_clock_ms(), retain)
    }

    /// Returns the host list as it was `host_lag_ms` ago.
    pub fn hosts(&mut self) -> HostList {
        let now = Instant::now();
        while let Some((at, _)) = self.host_history.get(1) {
            if now.duration_since(*at) < self.host_lag {
                break;
            }
            self.host_history.pop_front();
        }
        self.host_history.front().map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Adds a host to the host list or replaces its entry.
    pub fn put_host(&mut self, entry: HostEntry) {
        self.hosts.insert(entry.host.clone(), entry);
        self.publish_hosts();
    }

    /// Removes a host from the host list.
    pub fn remove_host(&mut self, host: &str) {
        self.hosts.remove(host);
        self.publish_hosts();
    }

    /// Records an order, executes it unless it is refused, and reports whether it was accepted.
    ///
    /// A repeated order is executed again: a start of a host that is already up starts another
    /// host, whose name has a suffix such as `~2`.
    pub fn order(&mut self, order: OrderRequest) -> bool {
        let taken = !self.check_fencing || order.fencing >= self.highest_fencing;
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        let recorded = RecordedOrder { at_ms: wall_clock_ms(), taken, order: order.clone() };
        self.orders.push(recorded);
        if taken {
            match order.kind {
                OrderKind::Start => self.start_host(order),
                OrderKind::Stop => self.stop_host(&order.endpoint),
            }
        }
        taken
    }

    /// Returns all orders in the sequence in which they were received.
    pub fn orders(&self) -> &[RecordedOrder] {
        &self.orders
    }

    /// Records a usage report; a repeated report is recorded again.
    pub fn report_usage(&mut self, report: UsageReport) {
        self.usage.push(report);
    }

    /// Returns all usage reports in the sequence in which they were received.
    pub fn usage(&self) -> &[UsageReport] {
        &self.usage
    }

    /// Counts a download from the weight store and reports whether the rate limit allows it.
    pub fn allow_download(&mut self) -> bool {
        let now = Instant::now();
        if now.duration_since(self.download_window.0) >= Duration::from_secs(1) {
            self.download_window = (now, 0);
        }
        self.download_window.1 += 1;
        self.download_window.1 <= self.weights_per_second
    }

    /// Adds a host in the state `Starting`, under another name if a host of its name is up.
    fn start_host(&mut self, order: OrderRequest) {
        let is_up = |entry: &HostEntry| entry.state != HostState::Leaving;
        let mut host = order.endpoint.clone();
        let mut copy = 1;
        while self.hosts.get(&host).is_some_and(is_up) {
            copy += 1;
            host = format!("{}~{copy}", order.endpoint).into();
        }
        self.put_host(HostEntry {
            host,
            domain: order.domain,
            state: HostState::Starting,
            role: "endpoint".into(),
            address: "".into(),
            order: Some(order.id),
            operators: None,
        });
    }

    fn stop_host(&mut self, host: &str) {
        if let Some(entry) = self.hosts.get_mut(host) {
            entry.state = HostState::Leaving;
        }
        self.publish_hosts();
    }

    fn publish_hosts(&mut self) {
        let list = HostList { hosts: self.hosts.values().cloned().collect() };
        self.host_history.push_back((Instant::now(), list));
    }
}

fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
