//! Enforcement of all account limits at one entry.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use slotmap::SecondaryMap;
use thiserror::Error;

use crate::{
    catalog::{AccountLimits, ServiceCatalog},
    ids::{AccountKey, ProcessId},
    limit::{AccountSpent, SpentReport, bucket::SpendBucket},
    reason::DecisionReason,
    time::TimePoint,
};

/// Time within which a report must reach the other entries for the bounds in the module's
/// documentation to hold.
pub const EXCHANGE_SPAN: Duration = Duration::from_secs(1);

/// Time without a report after which an entry's requests in flight and spending rate are no longer
/// counted.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of reports in which an account is repeated after its last change.
const REPORT_REPETITIONS: u8 = 8;

/// Time after which a caller may retry if too many requests are in flight.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Names a limit of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitName {
    /// Requests per second.
    Requests,
    /// Tokens per second.
    Tokens,
    /// Requests in flight.
    Concurrency,
}

impl fmt::Display for LimitName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LimitName::Requests => "requests",
            LimitName::Tokens => "tokens",
            LimitName::Concurrency => "concurrency",
        })
    }
}

/// The error for a request that exceeds a limit of its account and was not run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the account is over its limit \"{limit}\"; come back in {} ms", retry_after.as_millis())]
pub struct LimitRefusal {
    /// Limit that the request exceeds.
    pub limit: LimitName,
    /// Time after which the request may be sent again.
    pub retry_after: Duration,
}

impl LimitRefusal {
    /// Returns the decision reason that `pimentorock explain` prints.
    pub fn reason(&self) -> DecisionReason {
        DecisionReason::OverLimit { limit: self.limit.to_string().into() }
    }
}

/// State of one account at this entry.
#[derive(Clone, Debug, Default)]
struct AccountState {
    requests: SpendBucket,
    tokens: SpendBucket,
    /// Spending at this entry.
    own: AccountSpent,
    /// Whether any limit is set. Only limited accounts are reported to the other entries.
    limited: bool,
    /// Number of reports that still include the account without a further change.
    repeats_left: u8,
    /// Smallest number of requests in flight during the current and the previous exchange span.
    min_in_flight: [u32; 2],
    /// Start of the current exchange span.
    span_start: TimePoint,
}

/// State of one account at another entry, from its reports.
#[derive(Clone, Copy, Debug, Default)]
struct PeerAccount {
    spent: AccountSpent,
    /// Requests per second between the last two reports of the account.
    request_rate: f64,
    /// Tokens per second between the last two reports of the account.
    token_rate: f64,
    heard_at: TimePoint,
}

/// State of another entry, in its latest known incarnation.
#[derive(Clone, Debug, Default)]
struct PeerState {
    incarnation: u64,
    sequence: u64,
    heard_at: TimePoint,
    accounts: BTreeMap<Box<str>, PeerAccount>,
}

/// Enforces the limits of all accounts at one entry.
#[derive(Debug)]
pub struct AccountLimiter {
    own: ProcessId,
    /// Time of the first admission check.
    started: Option<TimePoint>,
    /// Sequence number of the last report.
    sequence: u64,
    accounts: SecondaryMap<AccountKey, AccountState>,
    names: HashMap<Box<str>, AccountKey>,
    peers: BTreeMap<Box<str>, PeerState>,
}

impl AccountLimiter {
    /// Returns a limiter for the entry `own`, without reports of other entries.
    pub fn new(own: ProcessId) -> AccountLimiter {
        AccountLimiter {
            own,
            started: None,
            sequence: 0,
            accounts: SecondaryMap::new(),
            names: HashMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Admits a request and charges it to its account.
    ///
    /// Each admitted request must be [settled](AccountLimiter::settle) exactly once.
    ///
    /// # Errors
    ///
    /// Returns the exceeded limit and the time after which the request may be sent again. Nothing
    /// is charged in this case.
    pub fn admit(
        &mut self,
        now: TimePoint,
        account: AccountKey,
        estimated_tokens: u32,
        catalog: &ServiceCatalog,
    ) -> Result<(), LimitRefusal> {
        let spec = &catalog.accounts[account];
        let peer_spending = self.peer_spending(now, &spec.name);
        let entries = self.live_entries(now);
        if !self.accounts.contains_key(account) {
            self.accounts.insert(account, AccountState::default());
            self.names.insert(spec.name.clone(), account);
        }
        let state = &mut self.accounts[account];
        state.refresh(now, &spec.limits);
        state.check(&spec.limits, &peer_spending, entries, estimated_tokens)?;
        state.charge(now, estimated_tokens);
        Ok(())
    }

    /// Ends a request that was admitted with `estimated_tokens` and used `tokens`.
    pub fn settle(
        &mut self,
        now: TimePoint,
        account: AccountKey,
        estimated_tokens: u32,
        tokens: u32,
    ) {
        let Some(state) = self.accounts.get_mut(account) else { return };
        state.end(now);
        state.own.tokens += u64::from(tokens.saturating_sub(estimated_tokens));
        state.own.refunded += u64::from(estimated_tokens.saturating_sub(tokens));
        state.tokens.debit(now, f64::from(tokens) - f64::from(estimated_tokens));
    }

    /// Returns the spending at this entry, for the other entries.
    pub fn report(&mut self) -> SpentReport {
        self.sequence += 1;
        let mut accounts = BTreeMap::new();
        for (name, &key) in &self.names {
            let state = &mut self.accounts[key];
            if state.limited && (state.repeats_left > 0 || state.own.in_flight > 0) {
                state.repeats_left = state.repeats_left.saturating_sub(1);
                accounts.insert(name.clone(), state.own);
            }
        }
        SpentReport { entry: self.own.clone(), sequence: self.sequence, accounts }
    }

    /// Applies the report of another entry; late and repeated reports are ignored.
    pub fn merge(&mut self, now: TimePoint, report: &SpentReport) {
        let own_name = report.entry.name == self.own.name;
        let peer = self.peers.entry(report.entry.name.clone()).or_default();
        let order = (report.entry.incarnation, report.sequence);
        if own_name || order <= (peer.incarnation, peer.sequence) {
            return;
        }
        if report.entry.incarnation > peer.incarnation {
            peer.accounts.clear();
        }
        (peer.incarnation, peer.sequence) = order;
        peer.heard_at = now;
        for (name, spent) in &report.accounts {
            let known = peer.accounts.entry(name.clone()).or_default();
            let (requests, tokens) = known.take(now, spent);
            let state = self.names.get(name).and_then(|&key| self.accounts.get_mut(key));
            if let Some(state) = state {
                state.requests.debit(now, requests);
                state.tokens.debit(now, tokens);
            }
        }
    }

    /// Returns the account's requests in flight at this entry and all entries that reported
    /// recently.
    pub fn in_flight(&self, now: TimePoint, account: &str) -> u32 {
        let own = self.names.get(account).map_or(0, |&key| self.accounts[key].own.in_flight);
        own + self.peer_spending(now, account).in_flight
    }

    /// Returns an estimate of the state's size in memory, in bytes.
    pub fn state_bytes(&self) -> usize {
        let own = self.accounts.capacity() * size_of::<AccountState>()
            + self.names.capacity() * size_of::<(Box<str>, AccountKey)>();
        let peers: usize = self.peers.values().map(|peer| peer.accounts.len()).sum();
        own + peers * size_of::<(Box<str>, PeerAccount)>()
    }

    /// Returns the spending that this entry must assume for the other entries: their estimated
    /// spending since their last reports, at their last known rates, and their reported requests in
    /// flight.
    fn peer_spending(&self, now: TimePoint, account: &str) -> PeerSpending {
        let mut peer_spending = PeerSpending::default();
        for peer in self.peers.values().filter(|peer| now.since(peer.heard_at) < PEER_TIMEOUT) {
            let Some(known) = peer.accounts.get(account) else { continue };
            let silence = now.since(known.heard_at.max(peer.heard_at)).as_secs_f64();
            peer_spending.requests += known.request_rate * silence;
            peer_spending.tokens += known.token_rate * silence;
            peer_spending.in_flight += known.spent.in_flight;
        }
        peer_spending
    }

    /// Returns the number of entries that share the limits.
    ///
    /// Returns `None` in the first exchange span, when reports of other entries may be missing.
    fn live_entries(&mut self, now: TimePoint) -> Option<u32> {
        let started = *self.started.get_or_insert(now);
        let live = |peer: &&PeerState| now.since(peer.heard_at) < PEER_TIMEOUT;
        let peers = self.peers.values().filter(live).count() as u32;
        (now.since(started) >= EXCHANGE_SPAN).then_some(peers + 1)
    }
}

/// Spending of other entries that the buckets of this entry do not include yet.
#[derive(Clone, Copy, Debug, Default)]
struct PeerSpending {
    /// Estimated number of requests since the last reports.
    requests: f64,
    /// Estimated number of tokens since the last reports.
    tokens: f64,
    /// Number of requests in flight according to the last reports.
    in_flight: u32,
}

impl AccountState {
    fn refresh(&mut self, now: TimePoint, limits: &AccountLimits) {
        self.limited = *limits != AccountLimits::default();
        self.requests.set_rate(now, limits.requests_per_second.unwrap_or(0.0));
        self.tokens.set_rate(now, limits.tokens_per_second.unwrap_or(0.0));
        self.advance_span(now);
    }

    fn advance_span(&mut self, now: TimePoint) {
        let elapsed = now.since(self.span_start);
        if elapsed < EXCHANGE_SPAN {
            return;
        }
        let in_flight = self.own.in_flight;
        let last = if elapsed < EXCHANGE_SPAN * 2 { self.min_in_flight[0] } else { in_flight };
        self.min_in_flight = [in_flight, last];
        self.span_start = now;
    }

    /// Checks all limits of the account in the order requests, tokens, concurrency.
    fn check(
        &self,
        limits: &AccountLimits,
        peer_spending: &PeerSpending,
        entries: Option<u32>,
        tokens: u32,
    ) -> Result<(), LimitRefusal> {
        let over = |limit| move |retry_after| LimitRefusal { limit, retry_after };
        if limits.requests_per_second.is_some() {
            self.requests.check(1.0, peer_spending.requests).map_err(over(LimitName::Requests))?;
        }
        if limits.tokens_per_second.is_some() {
            let cost = f64::from(tokens);
            self.tokens.check(cost, peer_spending.tokens).map_err(over(LimitName::Tokens))?;
        }
        match limits.concurrency {
            Some(limit) if !self.allows_one_more(limit, peer_spending.in_flight, entries) => {
                Err(over(LimitName::Concurrency)(CONCURRENCY_RETRY_AFTER))
            }
            _ => Ok(()),
        }
    }

    /// Reports whether one more request fits the `limit` on requests in flight at all entries.
    ///
    /// The other entries know of at least the smallest number of requests that this entry had in
    /// flight during the current and the previous exchange span. This entry may have further
    /// requests in flight, which are unknown to its peers: at most an equal part of the requests
    /// that the limit still allows, but at least one, and only one while the number of entries is
    /// unknown.
    fn allows_one_more(&self, limit: u32, peers_in_flight: u32, entries: Option<u32>) -> bool {
        let held = self.own.in_flight + peers_in_flight;
        if held >= limit {
            return false;
        }
        let unknown_to_peers =
            self.own.in_flight - self.min_in_flight[0].min(self.min_in_flight[1]);
        match entries {
            Some(1) => true,
            Some(entries) => {
                unknown_to_peers < ((limit - held + unknown_to_peers) / entries).max(1)
            }
            None => unknown_to_peers < 1,
        }
    }

    fn end(&mut self, now: TimePoint) {
        self.advance_span(now);
        self.own.in_flight = self.own.in_flight.saturating_sub(1);
        self.min_in_flight[0] = self.min_in_flight[0].min(self.own.in_flight);
        self.repeats_left = REPORT_REPETITIONS;
    }

    fn charge(&mut self, now: TimePoint, tokens: u32) {
        self.requests.debit(now, 1.0);
        self.tokens.debit(now, f64::from(tokens));
        self.own.requests += 1;
        self.own.tokens += u64::from(tokens);
        self.own.in_flight += 1;
        self.repeats_left = REPORT_REPETITIONS;
    }
}

impl PeerAccount {
    /// Applies newer totals and returns the requests and tokens spent since the previous ones.
    fn take(&mut self, now: TimePoint, spent: &AccountSpent) -> (f64, f64) {
        let net = |spent: &AccountSpent| spent.tokens as f64 - spent.refunded as f64;
        let requests = spent.requests as f64 - self.spent.requests as f64;
        let tokens = net(spent) - net(&self.spent);
        let seconds = now.since(self.heard_at).as_secs_f64();
        let known = self.heard_at != TimePoint::ZERO && seconds > 0.0;
        self.request_rate = if known { requests / seconds } else { 0.0 };
        self.token_rate = if known { (tokens / seconds).max(0.0) } else { 0.0 };
        self.spent = *spent;
        self.heard_at = now;
        (requests, tokens)
    }
}
