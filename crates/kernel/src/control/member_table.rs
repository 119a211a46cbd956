//! Membership and failure detection by exchanges that the relays of each failure domain forward.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    control::{
        HostHint, MemberDigest, MemberEntry, MemberEvent, MemberLimits, MemberMessage,
        MemberStatus, MemberTarget, WithdrawalDigest,
        domain_ages::DomainAges,
        key_table::short_hash,
        member_roster::{MemberRoster, name_hash},
        member_state::{ChangeFilter, KnownMember, PeerCursor},
        relay_ranking::RelayRanking,
    },
    ids::ProcessId,
    time::TimePoint,
};

/// Maximum number of members in one message; bounds the size of a resynchronisation.
const MAX_CHANGES: usize = 128;

/// Maximum number of members in all messages of one round.
const CHANGES_PER_ROUND: usize = 512;

/// Maximum exchanges with unequal checksums and no changes left to send before a full resend.
const MAX_MISMATCHES: u32 = 10;

/// Number of relays of each other domain to which an urgent message is sent.
const PUSH_RELAYS_PER_DOMAIN: usize = 2;

/// Time for which a relay's requests contain a change. Older changes are sent in responses only,
/// since the requester does not know what the other process has learned in the meantime.
const RECENT_CHANGE: Duration = Duration::from_secs(10);

/// Time for which a process is not chosen as a relay or peer after a failed exchange.
const FAILURE_PENALTY: Duration = Duration::from_secs(5);

/// The members that one process knows, with their statuses.
///
/// Each process reports to its primary relay in every round and to a second relay in every other
/// round. The relays of a failure domain are chosen by rendezvous hash. They tell each other which
/// members they heard, and only they suspect or remove members of their domain. In each round a
/// relay exchanges changes with one other domain. A network partition is detected by the time since
/// any member of a domain was heard, so its start and its end change no member's status.
#[derive(Clone, Debug)]
pub struct MemberTable {
    limits: MemberLimits,
    own: MemberDigest,
    members: MemberRoster,
    ranking: RelayRanking,
    /// The relay from which this process requests changes.
    primary: Option<Box<str>>,
    /// Number of members that the messages of this round may still contain.
    budget: usize,
    peers: BTreeMap<Box<str>, PeerCursor>,
    failed: BTreeMap<Box<str>, TimePoint>,
    domains: DomainAges,
    /// Hosts of the platform's list that are not known as members, with their relay ranks.
    hints: BTreeMap<Box<str>, (u64, HostHint)>,
    last_round: TimePoint,
    rounds: u64,
    /// Index of the first domain to contact, so that not all processes contact the same one.
    first_domain: usize,
    config_next: u64,
    withdrawals: WithdrawalDigest,
    events: Vec<MemberEvent>,
}

impl MemberTable {
    /// Returns the table of the process that `own` describes, which is its only member.
    pub fn new(own: MemberDigest, limits: MemberLimits, now: TimePoint) -> MemberTable {
        let mut table = MemberTable {
            limits,
            own: own.clone(),
            members: MemberRoster::default(),
            ranking: RelayRanking::new(Vec::new()),
            primary: None,
            budget: CHANGES_PER_ROUND,
            peers: BTreeMap::new(),
            failed: BTreeMap::new(),
            domains: DomainAges::default(),
            hints: BTreeMap::new(),
            last_round: now,
            rounds: 0,
            first_domain: name_hash(&own.process.name) as usize,
            config_next: 0,
            withdrawals: WithdrawalDigest::default(),
            events: Vec::new(),
        };
        table.insert(now, MemberEntry { digest: own, status: MemberStatus::Alive }, None);
        table
    }

    /// Sets the configuration offset and the withdrawal digest that the next messages contain.
    pub fn set_state(&mut self, config_next: u64, withdrawals: WithdrawalDigest) {
        self.config_next = config_next;
        self.withdrawals = withdrawals;
    }

    /// Announces that this process takes no new work.
    pub fn drain(&mut self, now: TimePoint) {
        self.own.draining = true;
        self.update_own_entry(now, MemberStatus::Alive);
    }

    /// Announces that this process leaves; exchange once more with each target before it ends.
    pub fn leave(&mut self, now: TimePoint) {
        self.own.draining = true;
        self.update_own_entry(now, MemberStatus::Left);
    }

    /// Applies a read of the platform's host list: unknown hosts become candidates for relays until
    /// a message describes them, and unlisted members that were removed or left are deleted.
    pub fn note_hosts(&mut self, hosts: &[HostHint]) {
        let unknown = hosts.iter().filter(|host| self.members.get(&host.name).is_none());
        let ranked = |host: &HostHint| (short_hash(&[&host.domain, &host.name]), host.clone());
        self.hints = unknown.map(|host| (host.name.clone(), ranked(host))).collect();
        let listed: BTreeSet<&str> = hosts.iter().map(|host| &*host.name).collect();
        self.members.retain(|member| {
            let name = &*member.entry.digest.process.name;
            member.entry.status < MemberStatus::Removed || listed.contains(name)
        });
    }

    /// Begins a round, detects failures if this is a relay, and returns the processes to contact.
    pub fn targets(&mut self, now: TimePoint) -> Vec<MemberTarget> {
        self.compensate_pause(now);
        self.rounds += 1;
        self.budget = CHANGES_PER_ROUND;
        self.ranking = self.relay_ranking(&self.own.domain);
        let names = if self.is_relay() {
            self.detect_failures(now);
            self.relay_peers(now)
        } else {
            self.report_targets(now)
        };
        self.targets_of(&names)
    }

    /// Returns the processes to which an urgent message, such as a new withdrawal, is sent.
    ///
    /// A relay sends it to the other relays of its domain, to two relays of each other domain and
    /// to all members that report to it; any other process sends it to its relays.
    pub fn push_targets(&self, now: TimePoint) -> Vec<MemberTarget> {
        let own = &self.own;
        let mut names = self.ranking.relays_for(&own.process.name, |relay| self.usable(now, relay));
        if self.is_relay() {
            names.extend(self.ranking.relays().iter().cloned());
            for domain in self.other_domains() {
                let relays = self.relays(&domain).into_iter();
                names.extend(
                    relays.filter(|relay| self.usable(now, relay)).take(PUSH_RELAYS_PER_DOMAIN),
                );
            }
            let reports = |member: &&KnownMember| {
                member.entry.digest.domain == own.domain
                    && now.since(member.last_contact) <= self.limits.suspect_after
            };
            let members = self.members.iter().filter(reports);
            names.extend(members.map(|member| member.entry.digest.process.name.clone()));
        }
        names.retain(|name| *name != own.process.name);
        self.targets_of(&names)
    }

    /// Returns the request to send to `target`. A process that is no relay sends only its own
    /// entry, and requests changes from its primary relay alone.
    pub fn request(&mut self, now: TimePoint, target: &str) -> MemberMessage {
        let wanted = if self.is_relay() { ChangeFilter::Recent(now) } else { ChangeFilter::Own };
        let mut request = self.message(now, target, wanted);
        request.brief =
            !self.is_relay() && self.primary.as_deref().is_some_and(|name| name != target);
        request
    }

    /// Returns the response to a request of `target` that was passed to [`MemberTable::receive`].
    pub fn response(&mut self, now: TimePoint, target: &str) -> MemberMessage {
        let brief = self.peers.get(target).is_some_and(|cursor| cursor.brief);
        let wanted = if brief { ChangeFilter::Own } else { ChangeFilter::All };
        self.message(now, target, wanted)
    }

    fn message(&mut self, now: TimePoint, target: &str, wanted: ChangeFilter) -> MemberMessage {
        let cursor = self.peers.get(target).copied().unwrap_or_default();
        let limit = MAX_CHANGES.min(self.budget);
        let wanted = |member: &KnownMember| match wanted {
            ChangeFilter::All => true,
            ChangeFilter::Recent(now) => now.since(member.changed) <= RECENT_CHANGE,
            ChangeFilter::Own => member.entry.digest.process == self.own.process,
        };
        let (changes, version) = self.members.changes(target, cursor.acked, limit, wanted);
        self.budget -= changes.len();
        let peer_relay = self.ranking.relays().iter().any(|name| **name == *target);
        let shared = peer_relay && self.is_relay();
        let heard = if shared { self.contacted_since(cursor.last_sent) } else { Vec::new() };
        if let Some(cursor) = self.peers.get_mut(target) {
            cursor.last_sent = now;
        }
        MemberMessage {
            from: self.own.process.clone(),
            config_next: self.config_next,
            withdrawals: self.withdrawals,
            seen: (cursor.incarnation > 0).then_some((cursor.incarnation, cursor.received)),
            version,
            table: self.members.checksum(),
            brief: false,
            changes,
            ages: if self.is_relay() {
                self.domains.ages(now, &self.own.domain)
            } else {
                Vec::new()
            },
            heard,
        }
    }

    /// Applies a received request or response and returns the resulting events. `sent` is when this
    /// process sent the request to which a response belongs, or when a request arrived.
    pub fn receive(&mut self, sent: TimePoint, message: &MemberMessage) -> Vec<MemberEvent> {
        let name = message.from.name.clone();
        self.failed.remove(&name);
        let cursor = self.peers.entry(name.clone()).or_default();
        if cursor.incarnation != message.from.incarnation {
            *cursor = PeerCursor { incarnation: message.from.incarnation, ..PeerCursor::default() };
        }
        cursor.received = message.version;
        cursor.brief = message.brief;
        let current = message.seen.filter(|(run, _)| *run == self.own.process.incarnation);
        cursor.acked = current.map_or(0, |(_, version)| version);
        if message.table == self.members.checksum() {
            cursor.acked = self.members.version();
            cursor.mismatches = 0;
        } else if cursor.acked == self.members.version() && message.changes.is_empty() {
            cursor.mismatches += 1;
        }
        if cursor.mismatches > MAX_MISMATCHES {
            cursor.acked = 0;
            cursor.mismatches = 0;
        }
        for entry in &message.changes {
            self.merge_entry(sent, entry, &name);
        }
        self.record_contact(sent, &name, message.from.incarnation);
        if let Some(member) = self.members.get_mut(&name) {
            member.config_next = message.config_next;
        }
        for hash in &message.heard {
            if let Some(member) = self.members.get_by_hash_mut(*hash) {
                member.last_heard = member.last_heard.max(sent);
            }
        }
        self.domains.merge(sent, &message.ages);
        std::mem::take(&mut self.events)
    }

    /// Records that an exchange with `target` failed; other processes are preferred for a while.
    pub fn exchange_failed(&mut self, now: TimePoint, target: &str) {
        self.failed.insert(target.into(), now);
    }

    /// Returns events, such as those of failure detection, that no earlier call returned.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the relays of a domain in the order of their ranking.
    pub fn relays(&self, domain: &str) -> Vec<Box<str>> {
        self.relay_ranking(domain).relays().to_vec()
    }

    /// Returns all known members, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &MemberEntry> + '_ {
        self.members.iter().map(|member| &member.entry)
    }

    /// Returns a known member's status, at least suspected if its domain was not heard for
    /// [`MemberLimits::suspect_after`].
    pub fn status(&self, now: TimePoint, name: &str) -> Option<MemberStatus> {
        let member = self.members.get(name)?;
        let status = member.entry.status;
        let stale = self
            .domain_age(now, &member.entry.digest.domain)
            .is_none_or(|age| age > self.limits.suspect_after);
        Some(if stale { status.max(MemberStatus::Suspect) } else { status })
    }

    /// Reports whether a run is known and neither left nor was removed nor was replaced by a later
    /// run of the same process.
    pub fn is_live(&self, process: &ProcessId) -> bool {
        self.members.get(&process.name).is_some_and(|member| {
            member.entry.digest.process == *process && member.entry.status < MemberStatus::Removed
        })
    }

    /// Returns the fraction of members that are alive, from 0 to 1, leaving out those that left.
    pub fn reachable_fraction(&self, now: TimePoint) -> f64 {
        let names = self.members.iter().map(|member| &member.entry.digest.process.name);
        let statuses = names.filter_map(|name| self.status(now, name));
        let (mut alive, mut all) = (0_u32, 0_u32);
        for status in statuses.filter(|status| *status != MemberStatus::Left) {
            all += 1;
            alive += u32::from(status == MemberStatus::Alive);
        }
        f64::from(alive) / f64::from(all.max(1))
    }

    /// Returns the recently heard members with a known configuration offset below `next`.
    pub fn lagging(&self, now: TimePoint, next: u64) -> Vec<ProcessId> {
        let fresh = |member: &&KnownMember| {
            now.since(member.last_heard) <= self.limits.suspect_after && member.config_next > 0
        };
        let behind = self.members.iter().filter(fresh).filter(|member| member.config_next < next);
        behind.map(|member| member.entry.digest.process.clone()).collect()
    }

    /// Returns the time since a member of a domain was heard, `None` if none ever was.
    pub fn domain_age(&self, now: TimePoint, domain: &str) -> Option<Duration> {
        if *domain == *self.own.domain {
            return Some(Duration::ZERO);
        }
        self.domains.age(now, domain)
    }

    /// Shifts the last-heard times if this process was paused, so that it suspects nobody for that.
    fn compensate_pause(&mut self, now: TimePoint) {
        let gap = now.since(self.last_round);
        self.last_round = now;
        if gap > self.limits.suspect_after / 2 {
            self.members.iter_mut().for_each(|member| member.last_heard = member.last_heard + gap);
        }
    }

    fn detect_failures(&mut self, now: TimePoint) {
        let own = &self.own;
        let judged = self.members.iter().filter(|member| {
            let digest = &member.entry.digest;
            digest.domain == own.domain && digest.process.name != own.process.name
        });
        let verdicts: Vec<MemberEntry> = judged
            .filter_map(|member| {
                let unheard_for = now.since(member.last_heard);
                let status = match unheard_for {
                    _ if unheard_for > self.limits.remove_after => MemberStatus::Removed,
                    _ if unheard_for > self.limits.suspect_after => MemberStatus::Suspect,
                    _ => return None,
                };
                let worse = status > member.entry.status;
                worse.then(|| MemberEntry { status, ..member.entry.clone() })
            })
            .collect();
        verdicts.into_iter().for_each(|entry| self.insert(now, entry, None));
    }

    /// Returns the relays to which this process reports in this round, one or two in turn.
    fn report_targets(&mut self, now: TimePoint) -> Vec<Box<str>> {
        let name = &self.own.process.name;
        let mut reports = self.ranking.relays_for(name, |relay| self.usable(now, relay));
        self.primary = reports.first().cloned();
        if self.rounds.is_multiple_of(2) {
            reports.truncate(1);
        }
        reports
    }

    /// Returns this domain's relays to contact in this round, and one relay of another domain.
    fn relay_peers(&self, now: TimePoint) -> Vec<Box<str>> {
        let name = &self.own.process.name;
        let ascending = self.rounds % 4 < 2;
        let skip = self.rounds % 2 == 1 && !self.has_recent_change(now);
        let peer_relays = self.ranking.relays().iter().filter(|relay| {
            !skip && *relay != name && (*relay > name) == ascending && self.usable(now, relay)
        });
        let mut peers: Vec<Box<str>> = peer_relays.cloned().collect();
        let others = self.other_domains();
        if !others.is_empty() {
            let turn = self.first_domain + self.rounds as usize;
            let mut relays = self.relays(&others[turn % others.len()]);
            relays.retain(|relay| self.usable(now, relay));
            peers.extend(relays.get((turn / others.len()) % relays.len().max(1)).cloned());
        }
        peers
    }

    fn other_domains(&self) -> Vec<Box<str>> {
        let known = self.members.iter().map(|member| &member.entry.digest.domain);
        let hinted = self.hints.values().map(|(_, hint)| &hint.domain);
        let others = known.chain(hinted).filter(|domain| **domain != self.own.domain);
        others.collect::<BTreeSet<_>>().into_iter().cloned().collect()
    }

    fn relay_ranking(&self, domain: &str) -> RelayRanking {
        let live = self.members.iter().filter(|member| {
            member.entry.status == MemberStatus::Alive && *member.entry.digest.domain == *domain
        });
        let hinted = self.hints.values().filter(|(_, hint)| *hint.domain == *domain);
        let ranked = live
            .map(|member| (member.relay_rank, &*member.entry.digest.process.name))
            .chain(hinted.map(|(rank, hint)| (*rank, &*hint.name)));
        RelayRanking::new(ranked.collect())
    }

    /// Reports whether this process was a relay of its domain when the round began.
    fn is_relay(&self) -> bool {
        self.ranking.relays().contains(&self.own.process.name)
    }

    fn has_recent_change(&self, now: TimePoint) -> bool {
        let last = self.members.last_changed();
        last.is_some_and(|member| now.since(member.changed) <= RECENT_CHANGE)
    }

    fn usable(&self, now: TimePoint, name: &str) -> bool {
        self.failed.get(name).is_none_or(|at| now.since(*at) > FAILURE_PENALTY)
    }

    fn targets_of(&self, names: &[Box<str>]) -> Vec<MemberTarget> {
        let targets: BTreeSet<MemberTarget> =
            names.iter().filter_map(|name| self.target(name)).collect();
        targets.into_iter().collect()
    }

    fn target(&self, name: &str) -> Option<MemberTarget> {
        let known = self.members.get(name).map(|member| &member.entry.digest.address);
        let address = known.or_else(|| self.hints.get(name).map(|(_, hint)| &hint.address))?;
        Some(MemberTarget { name: name.into(), address: address.clone() })
    }

    /// Returns the name hashes of this domain's members that contacted this process since
    /// `last_sent`.
    ///
    /// Members that only other relays heard are left out, or a lost member would count as heard for
    /// ever.
    fn contacted_since(&self, last_sent: TimePoint) -> Vec<u32> {
        let own = &self.own.domain;
        let fresh = self.members.iter().filter(|member| {
            member.entry.digest.domain == *own && member.last_contact >= last_sent
        });
        fresh.map(|member| name_hash(&member.entry.digest.process.name)).collect()
    }

    /// Applies an entry from another process if it is newer than the known one. If it states that
    /// this run is suspected, removed or left, refutes it by an entry with a higher sequence.
    fn merge_entry(&mut self, now: TimePoint, entry: &MemberEntry, source: &str) {
        let process = &entry.digest.process;
        if process.name == self.own.process.name {
            let refutable = process.incarnation == self.own.process.incarnation
                && entry.status > MemberStatus::Alive
                && entry.digest.sequence >= self.own.sequence;
            let leaving = self
                .members
                .get(&process.name)
                .is_some_and(|own| own.entry.status == MemberStatus::Left);
            if refutable && !leaving {
                self.own.sequence = entry.digest.sequence;
                self.update_own_entry(now, MemberStatus::Alive);
            }
            return;
        }
        let known = self.members.get(&process.name);
        if known.is_none_or(|known| known.entry.precedence() < entry.precedence()) {
            self.insert(now, entry.clone(), Some(source));
        }
    }

    fn update_own_entry(&mut self, now: TimePoint, status: MemberStatus) {
        self.own.sequence += 1;
        self.insert(now, MemberEntry { digest: self.own.clone(), status }, None);
    }

    fn insert(&mut self, now: TimePoint, entry: MemberEntry, source: Option<&str>) {
        let process = &entry.digest.process;
        let before = self.members.get(&process.name).map(|before| &before.entry);
        let earlier = before.map(|before| &before.digest.process).filter(|run| *run != process);
        self.events.extend(earlier.cloned().map(MemberEvent::Ended));
        if earlier.is_some() || before.is_none_or(|before| before.status != entry.status) {
            self.events.push(MemberEvent::new(entry.status, process.clone()));
        }
        self.hints.remove(&process.name);
        let known = self.members.get(&process.name).map(|before| before.last_heard);
        let last_heard = match entry.status {
            MemberStatus::Alive => now,
            _ => known.unwrap_or(now),
        };
        self.members.insert(now, entry, source, last_heard);
    }

    /// Records that a run sent a message to this process.
    fn record_contact(&mut self, now: TimePoint, name: &str, incarnation: u64) {
        let Some(member) = self.members.get_mut(name) else { return };
        if member.entry.digest.process.incarnation == incarnation {
            member.last_heard = member.last_heard.max(now);
            member.last_contact = member.last_contact.max(now);
        }
        self.domains.record(now, &member.entry.digest.domain);
    }
}
