//! The members that a process knows, indexed by name, name hash and version.

use std::collections::BTreeMap;

use crate::{
    control::{
        MemberEntry,
        key_table::short_hash,
        member_state::{KnownMember, entry_checksum},
    },
    time::TimePoint,
};

/// Members by name; each change of a member increments the roster's version.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberRoster {
    members: BTreeMap<Box<str>, KnownMember>,
    names: BTreeMap<u32, Box<str>>,
    by_version: BTreeMap<u64, Box<str>>,
    version: u64,
    checksum: u64,
}

impl MemberRoster {
    /// Returns the version of the last change.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Returns a checksum that is equal for rosters with the same members, incarnations, sequences
    /// and statuses.
    pub(crate) fn checksum(&self) -> u64 {
        self.checksum
    }

    /// Returns the member called `name`.
    pub(crate) fn get(&self, name: &str) -> Option<&KnownMember> {
        self.members.get(name)
    }

    /// Returns the member called `name`, to update the times at which it was heard.
    ///
    /// Changes of its entry must go through [`insert`](MemberRoster::insert), which maintains the
    /// version and the checksum.
    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut KnownMember> {
        self.members.get_mut(name)
    }

    /// Returns the member whose name has the hash `hash`.
    pub(crate) fn get_by_hash_mut(&mut self, hash: u32) -> Option<&mut KnownMember> {
        self.members.get_mut(self.names.get(&hash)?)
    }

    /// Returns all members, ordered by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &KnownMember> + '_ {
        self.members.values()
    }

    /// Returns all members, to update the times at which they were heard.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut KnownMember> + '_ {
        self.members.values_mut()
    }

    /// Returns the members that changed after `version`, in the order of their last changes.
    fn changed_since(&self, version: u64) -> impl Iterator<Item = &KnownMember> + '_ {
        let names = self.by_version.range(version + 1..);
        names.filter_map(|(_, name)| self.members.get(name))
    }

    /// Returns at most `limit` wanted changes after version `acked`, oldest first, and the version
    /// that `peer` has once it applies them. Changes that came from `peer` are left out.
    pub(crate) fn changes(
        &self,
        peer: &str,
        acked: u64,
        limit: usize,
        wanted: impl Fn(&KnownMember) -> bool,
    ) -> (Vec<MemberEntry>, u64) {
        let mut whole = true;
        let mut version = acked;
        let mut changes = Vec::new();
        for member in self.changed_since(acked) {
            let from_peer = member.source.as_deref() == Some(peer);
            let sent = !from_peer && wanted(member) && changes.len() < limit;
            if sent {
                changes.push(member.entry.clone());
            }
            whole &= from_peer || sent;
            version = if whole { member.version } else { version };
        }
        (changes, if whole { self.version } else { version })
    }

    /// Returns the member that changed last.
    pub(crate) fn last_changed(&self) -> Option<&KnownMember> {
        self.members.get(self.by_version.last_key_value()?.1)
    }

    /// Adds or replaces a member.
    ///
    /// `source` is the process that sent the entry, `None` if this process made it. `last_heard` is
    /// when the member was last heard.
    pub(crate) fn insert(
        &mut self,
        now: TimePoint,
        entry: MemberEntry,
        source: Option<&str>,
        last_heard: TimePoint,
    ) {
        let name = entry.digest.process.name.clone();
        let before = self.members.get(&name);
        let same = before.filter(|before| before.entry.digest.process == entry.digest.process);
        let relay_rank = match same {
            Some(before) if before.entry.digest.domain == entry.digest.domain => before.relay_rank,
            _ => short_hash(&[&entry.digest.domain, &name]),
        };
        if same.is_none() {
            self.names.insert(name_hash(&name), name.clone());
        }
        let checksum = entry_checksum(&entry);
        self.checksum ^= checksum ^ before.map_or(0, |before| before.checksum);
        if let Some(before) = before {
            self.by_version.remove(&before.version);
        }
        self.version += 1;
        self.by_version.insert(self.version, name.clone());
        let member = KnownMember {
            entry,
            version: self.version,
            changed: now,
            source: source.map(Into::into),
            last_heard,
            last_contact: same.map_or(TimePoint::ZERO, |before| before.last_contact),
            config_next: same.map_or(0, |before| before.config_next),
            checksum,
            relay_rank,
        };
        self.members.insert(name, member);
    }

    /// Removes the members for which `keep` returns `false`.
    pub(crate) fn retain(&mut self, keep: impl Fn(&KnownMember) -> bool) {
        let (checksum, by_version) = (&mut self.checksum, &mut self.by_version);
        self.members.retain(|_, member| {
            let keeps = keep(member);
            if !keeps {
                *checksum ^= member.checksum;
                by_version.remove(&member.version);
            }
            keeps
        });
    }
}

/// Returns a 32-bit hash of a name, short enough to send in messages instead of the name.
pub(crate) fn name_hash(name: &str) -> u32 {
    short_hash(&[name]) as u32
}
