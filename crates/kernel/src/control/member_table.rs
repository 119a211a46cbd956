//! Which processes live, learned from exchanges that relays of each failure domain hand on.

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

/// Members in one message; bounds the bytes of a resynchronisation.
const MAX_CHANGES: usize = 128;

/// Members in all messages of one round.
const CHANGES_PER_ROUND: usize = 512;

/// Exchanges in which two tables differ while nothing is left to send, after which all is sent
/// again.
const MAX_MISMATCHES: u32 = 10;

/// Relays of each other domain that urgent news is sent to.
const PUSH_RELAYS_PER_DOMAIN: usize = 2;

/// Time for which a relay's questions tell of a change; older ones are left to answers, since
/// the asker does not know what the other has learned meanwhile.
const RECENT_CHANGE: Duration = Duration::from_secs(10);

/// Time for which a process is passed over after a failed exchange.
const FAILURE_PENALTY: Duration = Duration::from_secs(5);

/// The members as one process knows them.
///
/// Each process reports to two relays of its domain, in turn; relays are chosen by
/// rendezvous hash, hand on whom they heard, and alone judge the members of their domain. A relay
/// exchanges changes with one other domain in each round. A domain that is cut off is noticed by the age of
/// its news as a whole, so a cut and its end change no member's status.
#[derive(Clone, Debug)]
pub struct MemberTable {
    limits: MemberLimits,
    own: MemberDigest,
    members: MemberRoster,
    ranking: RelayRanking,
    /// The relay that changes are asked from.
    primary: Option<Box<str>>,
    /// Members that messages of this round may still hold.
    budget: usize,
    peers: BTreeMap<Box<str>, PeerCursor>,
    failed: BTreeMap<Box<str>, TimePoint>,
    domains: DomainAges,
    /// Hosts of the platform's list that no message told of yet, with their relay ranks.
    hints: BTreeMap<Box<str>, (u64, HostHint)>,
    last_round: TimePoint,
    rounds: u64,
    /// Where this process begins in the order of domains, so that not all ask the same.
    first_domain: usize,
    config_next: u64,
    withdrawals: WithdrawalDigest,
    events: Vec<MemberEvent>,
}

impl MemberTable {
    /// Returns the table of the process that `own` describes, which knows nobody else.
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

    /// Sets what the next messages say of this process's configuration and withdrawals.
    pub fn set_state(&mut self, config_next: u64, withdrawals: WithdrawalDigest) {
        self.config_next = config_next;
        self.withdrawals = withdrawals;
    }

    /// Says that this process takes no new work.
    pub fn drain(&mut self, now: TimePoint) {
        self.own.draining = true;
        self.update_own_entry(now, MemberStatus::Alive);
    }

    /// Says that this process leaves; exchange once more with each target before it ends.
    pub fn leave(&mut self, now: TimePoint) {
        self.own.draining = true;
        self.update_own_entry(now, MemberStatus::Left);
    }

    /// Takes a read of the platform's host list: hosts that may be relays until they are heard
    /// of, and removed members to forget.
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

    /// Begins a round: judges the members of the own domain and returns whom to exchange with.
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

    /// Returns whom to send urgent news to at once, such as a withdrawal that was new here.
    ///
    /// A relay sends it to its peer_relays, to two relays of each other domain and to all members
    /// that report to it; any other process to its relays.
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

    /// Returns the question to `target`.
    ///
    /// A process that is no relay tells of itself alone, and asks one relay for changes.
    pub fn request(&mut self, now: TimePoint, target: &str) -> MemberMessage {
        let wanted = if self.is_relay() { ChangeFilter::Recent(now) } else { ChangeFilter::Own };
        let mut request = self.message(now, target, wanted);
        request.brief =
            !self.is_relay() && self.primary.as_deref().is_some_and(|name| name != target);
        request
    }

    /// Returns the answer to a question of `target` that was [received](MemberTable::receive).
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

    /// Takes a message, a question or an answer, and returns what changed.
    ///
    /// `sent` is when the question went out, or for a question when it came in.
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
                member.heard = member.heard.max(sent);
            }
        }
        self.domains.merge(sent, &message.ages);
        std::mem::take(&mut self.events)
    }

    /// Notes that an exchange failed; others are asked for a while.
    pub fn exchange_failed(&mut self, now: TimePoint, target: &str) {
        self.failed.insert(target.into(), now);
    }

    /// Returns events of this process's own judgement since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the relays of a domain, best first.
    pub fn relays(&self, domain: &str) -> Vec<Box<str>> {
        self.relay_ranking(domain).relays().to_vec()
    }

    /// Returns all known members, by name.
    pub fn members(&self) -> impl Iterator<Item = &MemberEntry> + '_ {
        self.members.iter().map(|member| &member.entry)
    }

    /// Returns a member's status as far as this process can tell: one of a domain without news
    /// is suspected.
    pub fn status(&self, now: TimePoint, name: &str) -> Option<MemberStatus> {
        let member = self.members.get(name)?;
        let status = member.entry.status;
        let stale = self
            .domain_age(now, &member.entry.digest.domain)
            .is_none_or(|age| age > self.limits.suspect_after);
        Some(if stale { status.max(MemberStatus::Suspect) } else { status })
    }

    /// Returns whether a run is not known to be over: it neither left nor was removed nor
    /// started again.
    pub fn is_live(&self, process: &ProcessId) -> bool {
        self.members.get(&process.name).is_some_and(|member| {
            member.entry.digest.process == *process && member.entry.status < MemberStatus::Removed
        })
    }

    /// Returns the share of all members, but for those that left, that are heard now.
    pub fn reachable_fraction(&self, now: TimePoint) -> f64 {
        let names = self.members.iter().map(|member| &member.entry.digest.process.name);
        let statuses = names.filter_map(|name| self.status(now, name));
        let (mut heard, mut all) = (0_u32, 0_u32);
        for status in statuses.filter(|status| *status != MemberStatus::Left) {
            all += 1;
            heard += u32::from(status == MemberStatus::Alive);
        }
        f64::from(heard) / f64::from(all.max(1))
    }

    /// Returns members that report to this process and have not read up to `next`.
    pub fn lagging(&self, now: TimePoint, next: u64) -> Vec<ProcessId> {
        let fresh = |member: &&KnownMember| {
            now.since(member.heard) <= self.limits.suspect_after && member.config_next > 0
        };
        let behind = self.members.iter().filter(fresh).filter(|member| member.config_next < next);
        behind.map(|member| member.entry.digest.process.clone()).collect()
    }

    /// Returns the time since news of a domain.
    pub fn domain_age(&self, now: TimePoint, domain: &str) -> Option<Duration> {
        if *domain == *self.own.domain {
            return Some(Duration::ZERO);
        }
        self.domains.age(now, domain)
    }

    /// Moves all times on if this process itself was paused, so that it judges nobody by it.
    fn compensate_pause(&mut self, now: TimePoint) {
        let gap = now.since(self.last_round);
        self.last_round = now;
        if gap > self.limits.suspect_after / 2 {
            self.members.iter_mut().for_each(|member| member.heard = member.heard + gap);
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
                let silent = now.since(member.heard);
                let status = match silent {
                    _ if silent > self.limits.remove_after => MemberStatus::Removed,
                    _ if silent > self.limits.suspect_after => MemberStatus::Suspect,
                    _ => return None,
                };
                let worse = status > member.entry.status;
                worse.then(|| MemberEntry { status, ..member.entry.clone() })
            })
            .collect();
        verdicts.into_iter().for_each(|entry| self.insert(now, entry, None));
    }

    /// Returns the relays that this process reports to now; the second one every other round.
    fn report_targets(&mut self, now: TimePoint) -> Vec<Box<str>> {
        let name = &self.own.process.name;
        let mut reports = self.ranking.relays_for(name, |relay| self.usable(now, relay));
        self.primary = reports.first().cloned();
        if self.rounds.is_multiple_of(2) {
            reports.truncate(1);
        }
        reports
    }

    /// Returns the fellow relays that this one asks, and one relay of some other domains.
    fn relay_peers(&self, now: TimePoint) -> Vec<Box<str>> {
        let name = &self.own.process.name;
        let upward = self.rounds % 4 < 2;
        let quiet = self.rounds % 2 == 1 && !self.has_recent_change(now);
        let peer_relays = self.ranking.relays().iter().filter(|relay| {
            !quiet && *relay != name && (*relay > name) == upward && self.usable(now, relay)
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

    /// Returns whether this process was a relay of its domain when the round began.
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

    /// Returns the members of the own domain that spoke to this process itself since `last_sent`.
    ///
    /// What other relays heard is not handed on, or a lost member would be heard for ever.
    fn contacted_since(&self, last_sent: TimePoint) -> Vec<u32> {
        let own = &self.own.domain;
        let fresh = self.members.iter().filter(|member| {
            member.entry.digest.domain == *own && member.last_contact >= last_sent
        });
        fresh.map(|member| name_hash(&member.entry.digest.process.name)).collect()
    }

    /// Takes an entry from another process, unless this one knows better.
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
        let known = self.members.get(&process.name).map(|before| before.heard);
        let heard = match entry.status {
            MemberStatus::Alive => now,
            _ => known.unwrap_or(now),
        };
        self.members.insert(now, entry, source, heard);
    }

    /// Notes that a run spoke to this process.
    fn record_contact(&mut self, now: TimePoint, name: &str, incarnation: u64) {
        let Some(member) = self.members.get_mut(name) else { return };
        if member.entry.digest.process.incarnation == incarnation {
            member.heard = member.heard.max(now);
            member.last_contact = member.last_contact.max(now);
        }
        self.domains.record(now, &member.entry.digest.domain);
    }
}
