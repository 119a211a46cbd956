//! This entry's configuration, those of other entries, and what is under way between them.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use pimentorock_kernel::{
    time::TimePoint,
    transfer::{
        HolderTable, RecordOutline, RecordShelf, RecordStamp, RecordTransfer, ShelfRecord,
        TransferDesk, WithdrawnKeys,
    },
};
use serde::{Deserialize, Serialize};

use crate::{
    clock, copy_messages::CopyState, fleet_config::FleetConfig, logs::part, peer::PeerRecord,
    route_table::RouteTable, state::GatewayState, store::StoreRecord,
};

/// Size in bytes up to which a configuration travels with other news; a larger one is fetched.
const SMALL_CONFIG_BYTES: usize = 4 << 10;

/// A configuration that the sender has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum HeldConfig {
    /// The configuration itself.
    Record(PeerRecord),
    /// A configuration that is fetched apart.
    Offer(RecordStamp),
}

/// News of configurations that the receiver does not have.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ConfigNews {
    /// Configuration of the sender, if it is newer than the receiver's.
    pub(crate) held: Option<HeldConfig>,
    /// A newer one of which the sender has heard.
    pub(crate) heard: Option<RecordStamp>,
    /// Keys that newer ones withdraw, with their versions.
    pub(crate) withdrawn: Vec<(Box<str>, u64)>,
}

/// The answer to a question for the outline of a configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum TransferAnswer<T> {
    /// What was asked for.
    Part(T),
    /// The entry serves others now; these entries have the record.
    Busy(Vec<SocketAddr>),
    /// The entry does not have the record, or not any more.
    Gone,
}

/// The configuration of an entry, and those of which it has heard.
#[derive(Debug, Default)]
pub(crate) struct ConfigCopy {
    shelf: RecordShelf<StoreRecord>,
    /// Newer configurations than that of the shelf.
    pub(crate) transfer: RecordTransfer,
    desk: TransferDesk,
    holders: HolderTable,
    withdrawn: WithdrawnKeys,
}

impl ConfigCopy {
    /// Returns the version of the configuration, if there is one.
    pub(crate) fn version(&self) -> Option<u64> {
        self.shelf.newest().map(|held| held.stamp.version)
    }

    /// Returns the record of the configuration with its outline.
    pub(crate) fn held(&self) -> Option<&ShelfRecord<StoreRecord>> {
        self.shelf.newest()
    }

    /// Returns what an entry that has the version `known` lacks.
    pub(crate) fn news_for(&self, known: Option<u64>) -> ConfigNews {
        let is_news = |stamp: &RecordStamp| known.is_none_or(|known| stamp.version > known);
        let held = self.shelf.newest().filter(|held| is_news(&held.stamp)).map(|held| {
            match value_of(&held.record).len() <= SMALL_CONFIG_BYTES {
                true => HeldConfig::Record(held.record.clone().into()),
                false => HeldConfig::Offer(held.stamp),
            }
        });
        let heard = self.transfer.wanted().filter(is_news);
        // An entry without a configuration serves nobody.
        let withdrawn = known.map(|known| self.withdrawn.since(known)).unwrap_or_default();
        ConfigNews { held, heard, withdrawn }
    }

    /// Notes what the entry at `from` said of its copy.
    pub(crate) fn note_copy_of(&mut self, now: TimePoint, from: SocketAddr, copy: &CopyState) {
        if let Some(version) = copy.config_version {
            self.holders.note(now, from, version);
            if self.version() <= Some(version) {
                self.desk.release(from);
            }
        }
    }

    /// Notes a configuration that the entry at `source` has, or another one that is not known.
    pub(crate) fn take_offer(
        &mut self,
        now: TimePoint,
        stamp: RecordStamp,
        source: Option<SocketAddr>,
    ) {
        if self.version().is_none_or(|own| stamp.version > own) {
            self.transfer.offer(now, stamp, source);
        }
    }

    /// Notes keys that other entries know to be withdrawn, and returns how many of them are news.
    pub(crate) fn take_withdrawn(&mut self, keys: &[(Box<str>, u64)]) -> usize {
        let own = self.version().unwrap_or(0);
        let is_news = |(key, version): &&(Box<str>, u64)| {
            *version > own && !self.withdrawn.contains(key, *version - 1)
        };
        let news: Vec<_> = keys.iter().filter(is_news).collect();
        news.iter().for_each(|(key, version)| self.withdrawn.note(key, *version));
        news.len()
    }

    /// Reports whether a newer configuration than this entry's withdraws `key`.
    pub(crate) fn withdraws(&self, key: &str) -> bool {
        self.withdrawn.contains(key, self.version().unwrap_or(0))
    }

    /// Forgets what is known of newer configurations, as the store has lost them.
    pub(crate) fn forget_newer(&mut self) {
        self.transfer.forget();
        self.withdrawn.forget_after(self.version().unwrap_or(0));
    }

    /// Notes that this entry has put a configuration in force, which takes the place of that of `before`.
    fn put(
        &mut self,
        now: TimePoint,
        held: ShelfRecord<StoreRecord>,
        before: Option<&RouteTable>,
        routes: &RouteTable,
    ) {
        let version = held.stamp.version;
        self.withdrawn.settle(version, |key| routes.account(key).is_some());
        for key in before.into_iter().flat_map(RouteTable::keys) {
            if routes.needs_key() && routes.account(key).is_none() {
                self.withdrawn.note(key, version);
            }
        }
        self.transfer.note_reached(now, held.stamp.version);
        self.shelf.put(now, held);
    }

    /// Answers `asker` with what `part` takes from the record with this stamp.
    fn serve<T>(
        &mut self,
        now: TimePoint,
        asker: SocketAddr,
        stamp: &RecordStamp,
        part: impl FnOnce(&ShelfRecord<StoreRecord>) -> T,
    ) -> TransferAnswer<T> {
        let Some(held) = self.shelf.find(now, stamp) else { return TransferAnswer::Gone };
        if self.desk.admit(now, asker) {
            TransferAnswer::Part(part(held))
        } else {
            TransferAnswer::Busy(self.holders.named(now, asker, stamp.version))
        }
    }
}

/// Returns the bytes of a record.
fn value_of(record: &StoreRecord) -> &[u8] {
    record.value.as_deref().unwrap_or(&[])
}

impl GatewayState {
    /// Applies a configuration if it is newer than the current one.
    ///
    /// `source` is the origin of the record for the log, `store` or `peer`.
    pub(crate) fn apply_config(&self, record: &StoreRecord, config: FleetConfig, source: &str) {
        let _applying = self.applying();
        let newer = self.routes.load().as_ref().is_none_or(|now| config.version > now.version());
        if !newer {
            return;
        }
        log::info!(
            target: part::FOLLOW,
            version = config.version, offset = record.offset, source = source,
            routes = config.routes.len(), bytes = value_of(record).len();
            "configuration applied"
        );
        let version = config.version;
        self.metrics.note_config(version);
        let memories = config.services.iter();
        let memories =
            memories.filter_map(|service| Some((service.name.clone(), service.memory_tokens?)));
        self.table().set_memories(memories.collect());
        self.table().set_warmups(config.warmup_limits(self.settings.warmup_allowance));
        let routes = RouteTable::new(config);
        self.table().partition_services(routes.partitioned_services());
        let routes = Arc::new(routes);
        let before = self.routes.swap(Some(Arc::clone(&routes)));
        let outline = RecordOutline::new(value_of(record));
        let stamp = outline.stamp(version, record.offset);
        let now = clock::now();
        let mut view = self.view();
        let held = ShelfRecord { stamp, outline, record: record.clone() };
        view.configs.put(now, held, before.as_deref(), &routes);
        view.configured_at.get_or_insert(now);
    }

    /// Returns the outline of a configuration to the entry at `asker`.
    pub(crate) fn answer_outline(
        &self,
        asker: SocketAddr,
        stamp: &RecordStamp,
    ) -> TransferAnswer<RecordOutline> {
        self.view().configs.serve(clock::now(), asker, stamp, |held| held.outline.clone())
    }

    /// Returns chunks of a configuration to the entry at `asker`; those that it does not have are empty.
    pub(crate) fn answer_chunks(
        &self,
        asker: SocketAddr,
        stamp: &RecordStamp,
        chunks: &[u32],
    ) -> TransferAnswer<Vec<Bytes>> {
        let answer = self.view().configs.serve(clock::now(), asker, stamp, |held| {
            let places: Vec<_> = held.outline.places().map(|(_, place)| place).collect();
            let value = held.record.value.clone().unwrap_or_default();
            // The outline was made of the value, so its places are within it.
            let chunk = |index: &u32| Some(value.slice(places.get(*index as usize)?.clone()));
            chunks.iter().map(|index| chunk(index).unwrap_or_default()).collect::<Vec<Bytes>>()
        });
        if let TransferAnswer::Part(values) = &answer {
            self.metrics.note_transfer_sent(values.iter().map(Bytes::len).sum());
        }
        answer
    }
}
