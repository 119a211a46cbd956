//! Replay of the `config` stream.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde_json::{Map, Value};

use crate::{
    catalog::CatalogSpec,
    control::{KeyCreation, KeyTable, config_path::ConfigPath},
    record::{
        ChangeRefusal, ChangeVerdict, ConfigChange, ConfigRecord, ConfigSnapshot, PathRevision,
    },
};

/// Maximum number of verdicts kept. A change that repeats one with a dropped verdict has a base
/// below the oldest accepted base and is refused for that.
const MAX_VERDICTS: usize = 4096;

/// Effect of a record of the `config` stream.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplayOutcome {
    /// A change was accepted, either now or, if it repeats an earlier change, at `revision`.
    Accepted {
        /// Identifier of the change.
        change_id: Box<str>,
        /// Offset at which the change was accepted.
        revision: u64,
    },
    /// A change was refused and had no effect.
    Refused {
        /// Identifier of the change.
        change_id: Box<str>,
        /// Reason for the refusal.
        reason: ChangeRefusal,
    },
    /// A key was created, now or by an earlier record; it is valid unless it is withdrawn.
    KeyCreated {
        /// Hash of the key.
        hash: Box<str>,
    },
    /// A key was not created because its hash already belongs to another account.
    KeyRefused {
        /// Hash of the key.
        hash: Box<str>,
    },
    /// A key is withdrawn by a record of the log.
    KeyWithdrawn {
        /// Hash of the key.
        hash: Box<str>,
    },
    /// A snapshot replaced missing records; continue at [`ConfigReplay::next_offset`].
    Restored {
        /// Revision in force after the restore.
        revision: u64,
    },
    /// The record had no effect: it was applied before, could not be read, or is a snapshot that is
    /// not needed or not usable.
    Ignored,
    /// Records are missing; read from `expected`, or restore a snapshot.
    Gap {
        /// Offset of the first missing record.
        expected: u64,
    },
}

/// The configuration and keys that result from replaying a prefix of the `config` stream.
///
/// The verdict on a change depends only on the change and the records before it, so all processes
/// reach the same verdicts. A change conflicts with an edit that was accepted after the change's
/// base if one of the two edited paths is a prefix of the other.
#[derive(Clone, Debug)]
pub struct ConfigReplay {
    compile: fn(&Value) -> Result<CatalogSpec, Box<str>>,
    next: u64,
    revision: u64,
    oldest_base: u64,
    tree: Value,
    catalog: CatalogSpec,
    paths: BTreeMap<ConfigPath, u64>,
    verdicts: VecDeque<ChangeVerdict>,
    verdict_offsets: HashMap<Box<str>, u64>,
    keys: KeyTable,
}

impl ConfigReplay {
    /// Returns the empty configuration.
    ///
    /// `compile` compiles a settings tree or returns a description of the problem. Its result must
    /// depend only on the tree.
    pub fn new(compile: fn(&Value) -> Result<CatalogSpec, Box<str>>) -> ConfigReplay {
        ConfigReplay {
            compile,
            next: 0,
            revision: 0,
            oldest_base: 0,
            tree: Value::Object(Map::new()),
            catalog: CatalogSpec::default(),
            paths: BTreeMap::new(),
            verdicts: VecDeque::new(),
            verdict_offsets: HashMap::new(),
            keys: KeyTable::new(""),
        }
    }

    /// Sets the name of this process, from which the delay before it appends the withdrawals of
    /// other processes is derived; see [`KeyTable::due_appends`].
    pub fn with_name(mut self, name: &str) -> ConfigReplay {
        self.keys = KeyTable::new(name);
        self
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Returns the revision in force: the offset of the last accepted change, 0 before any change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the base to put into a change that is made from the current tree.
    pub fn base(&self) -> u64 {
        self.next.saturating_sub(1)
    }

    /// Returns the settings tree in force.
    pub fn tree(&self) -> &Value {
        &self.tree
    }

    /// Returns the compiled settings in force.
    pub fn catalog(&self) -> &CatalogSpec {
        &self.catalog
    }

    /// Returns the keys.
    pub fn keys(&self) -> &KeyTable {
        &self.keys
    }

    /// Returns the keys, for applying withdrawals that the log does not hold yet.
    pub fn keys_mut(&mut self) -> &mut KeyTable {
        &mut self.keys
    }

    /// Returns the verdict on a change, or `None` if the change is unknown or its verdict was
    /// dropped.
    pub fn verdict(&self, change_id: &str) -> Option<&ChangeVerdict> {
        let offset = *self.verdict_offsets.get(change_id)?;
        let index = self.verdicts.binary_search_by_key(&offset, |verdict| verdict.offset).ok()?;
        self.verdicts.get(index)
    }

    /// Applies the record at `offset`.
    ///
    /// A snapshot record that reaches beyond the applied records is restored; every other record
    /// has to be the next one.
    pub fn apply(&mut self, offset: u64, record: &ConfigRecord) -> ReplayOutcome {
        if let ConfigRecord::Snapshot(snapshot) = record
            && snapshot.next > self.next
            && snapshot.next <= offset
        {
            return self.restore(snapshot);
        }
        if offset > self.next {
            return ReplayOutcome::Gap { expected: self.next };
        }
        if offset < self.next {
            return ReplayOutcome::Ignored;
        }
        self.next += 1;
        match record {
            ConfigRecord::Change(change) => self.evaluate(offset, change),
            ConfigRecord::KeyCreated(created) => {
                let hash = created.hash.clone();
                match self.keys.create(created) {
                    KeyCreation::Taken => ReplayOutcome::KeyRefused { hash },
                    KeyCreation::Created | KeyCreation::Known => ReplayOutcome::KeyCreated { hash },
                }
            }
            ConfigRecord::KeyWithdrawn(withdrawn) => {
                self.keys.withdraw_logged(withdrawn);
                ReplayOutcome::KeyWithdrawn { hash: withdrawn.hash.clone() }
            }
            ConfigRecord::Snapshot(_) => ReplayOutcome::Ignored,
        }
    }

    /// Skips the record at `offset`, which cannot be read.
    pub fn skip(&mut self, offset: u64) -> ReplayOutcome {
        if offset > self.next {
            return ReplayOutcome::Gap { expected: self.next };
        }
        self.next = self.next.max(offset + 1);
        ReplayOutcome::Ignored
    }

    /// Returns all state that results from the records of the log.
    pub fn snapshot(&self) -> ConfigSnapshot {
        let revision =
            |(path, &revision): (&ConfigPath, &u64)| PathRevision { path: path.text(), revision };
        ConfigSnapshot {
            next: self.next,
            revision: self.revision,
            oldest_base: self.oldest_base,
            tree: self.tree.clone(),
            paths: self.paths.iter().map(revision).collect(),
            verdicts: self.verdicts.iter().cloned().collect(),
            keys: self.keys.created().cloned().collect(),
            withdrawn: self.keys.logged().cloned().collect(),
        }
    }

    /// Restores a snapshot from the log or a peer, unless it covers no more than the applied
    /// records.
    ///
    /// Withdrawals that this process knows but the log does not hold are kept. A snapshot whose
    /// tree does not compile in this process, unless the tree is empty, or that contains an invalid
    /// path is ignored.
    pub fn restore(&mut self, snapshot: &ConfigSnapshot) -> ReplayOutcome {
        if snapshot.next <= self.next {
            return ReplayOutcome::Ignored;
        }
        let untouched = snapshot.tree.as_object().is_some_and(Map::is_empty);
        let catalog = match (self.compile)(&snapshot.tree) {
            Ok(catalog) => catalog,
            Err(_) if untouched => CatalogSpec::default(),
            Err(_) => return ReplayOutcome::Ignored,
        };
        let mut paths = BTreeMap::new();
        for entry in &snapshot.paths {
            let Ok(path) = ConfigPath::parse(&entry.path) else { return ReplayOutcome::Ignored };
            paths.insert(path, entry.revision);
        }
        self.next = snapshot.next;
        self.revision = snapshot.revision;
        self.oldest_base = snapshot.oldest_base;
        self.tree = snapshot.tree.clone();
        self.catalog = catalog;
        self.paths = paths;
        self.verdicts = snapshot.verdicts.iter().cloned().collect();
        let offset = |verdict: &ChangeVerdict| (verdict.change_id.clone(), verdict.offset);
        self.verdict_offsets = snapshot.verdicts.iter().map(offset).collect();
        snapshot.keys.iter().for_each(|created| {
            self.keys.create(created);
        });
        snapshot.withdrawn.iter().for_each(|withdrawn| self.keys.withdraw_logged(withdrawn));
        ReplayOutcome::Restored { revision: self.revision }
    }

    /// Accepts or refuses a change, and records the verdict unless the change repeats an earlier
    /// one.
    fn evaluate(&mut self, offset: u64, change: &ConfigChange) -> ReplayOutcome {
        let change_id = change.change_id.clone();
        if let Some(verdict) = self.verdict(&change_id) {
            return match verdict.refusal.clone() {
                None => ReplayOutcome::Accepted { change_id, revision: verdict.offset },
                Some(reason) => ReplayOutcome::Refused { change_id, reason },
            };
        }
        let accepted = self.try_apply(offset, change);
        let refusal = accepted.as_ref().err().cloned();
        self.record_verdict(ChangeVerdict { change_id: change_id.clone(), offset, refusal });
        match accepted {
            Ok(()) => ReplayOutcome::Accepted { change_id, revision: offset },
            Err(reason) => ReplayOutcome::Refused { change_id, reason },
        }
    }

    /// Applies all edits of a change, or none of them.
    fn try_apply(&mut self, offset: u64, change: &ConfigChange) -> Result<(), ChangeRefusal> {
        let base = change.base;
        if base < self.oldest_base {
            return Err(ChangeRefusal::BaseTooOld { base, floor: self.oldest_base });
        }
        if base >= offset && base > 0 {
            return Err(ChangeRefusal::BaseAhead { base, offset });
        }
        let paths: Vec<ConfigPath> = change
            .edits
            .iter()
            .map(|edit| ConfigPath::parse(&edit.path))
            .collect::<Result<_, _>>()?;
        paths.iter().try_for_each(|path| self.check_conflict(path, base))?;
        let mut tree = self.tree.clone();
        for (path, edit) in paths.iter().zip(&change.edits) {
            path.edit(&mut tree, edit.value.clone())?;
        }
        self.catalog = (self.compile)(&tree).map_err(|problem| ChangeRefusal::Check { problem })?;
        self.tree = tree;
        self.revision = offset;
        for path in paths {
            self.paths.retain(|known, _| !path.is_prefix_of(known));
            self.paths.insert(path, offset);
        }
        Ok(())
    }

    /// Fails if an edit that was accepted after `base` overlaps `path`.
    fn check_conflict(&self, path: &ConfigPath, base: u64) -> Result<(), ChangeRefusal> {
        let later =
            self.paths.iter().find(|(known, revision)| **revision > base && known.overlaps(path));
        match later {
            None => Ok(()),
            Some((known, &revision)) => Err(ChangeRefusal::Conflict {
                path: path.text(),
                changed: known.text(),
                revision,
                base,
            }),
        }
    }

    /// Stores a verdict. Beyond [`MAX_VERDICTS`], drops the oldest and raises the oldest accepted
    /// base to its offset, at least 1.
    fn record_verdict(&mut self, verdict: ChangeVerdict) {
        self.verdict_offsets.insert(verdict.change_id.clone(), verdict.offset);
        self.verdicts.push_back(verdict);
        if self.verdicts.len() <= MAX_VERDICTS {
            return;
        }
        let Some(oldest) = self.verdicts.pop_front() else { return };
        self.verdict_offsets.remove(&oldest.change_id);
        self.oldest_base = oldest.offset.max(1);
        let oldest_base = self.oldest_base;
        self.paths.retain(|_, revision| *revision > oldest_base);
    }
}
