//! An index of the prefix caches of endpoints.

use std::collections::HashMap;

use slotmap::SecondaryMap;

use crate::{
    ids::EndpointKey,
    route::{CacheChange, CacheEvent},
};

/// Maximum number of blocks in the index, for all endpoints together.
const CAPACITY_BLOCKS: usize = 65_536;

/// Maximum number of endpoints that the index keeps for one block.
const MAX_HOLDERS: usize = 4;

/// The position in the cache event feed of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct CacheFeed {
    engine_run: u64,
    sequence: u64,
    /// Holders that were recorded in an earlier epoch are invalid.
    epoch: u32,
}

/// An endpoint that cached a block in the given epoch of its feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BlockHolder {
    endpoint: EndpointKey,
    epoch: u32,
}

/// The endpoints that cache one block; the oldest holder is replaced first.
#[derive(Clone, Copy, Debug, Default)]
struct HolderList {
    holders: [Option<BlockHolder>; MAX_HOLDERS],
}

/// An approximate index of prefix caches that is updated by cache events.
///
/// A gap in the events of an endpoint invalidates all blocks recorded for that endpoint. Memory is
/// bounded by two generations of blocks: when the young generation is full, it replaces the old
/// generation. A wrong index entry costs time but does not affect correctness.
#[derive(Debug)]
pub struct PrefixIndex {
    capacity: usize,
    young: HashMap<u64, HolderList>,
    old: HashMap<u64, HolderList>,
    feeds: SecondaryMap<EndpointKey, CacheFeed>,
    gaps: u64,
}

impl PrefixIndex {
    /// Returns an empty index with the default capacity.
    pub fn new() -> PrefixIndex {
        PrefixIndex::with_capacity(CAPACITY_BLOCKS)
    }

    /// Returns an empty index with a capacity of `capacity` blocks.
    pub fn with_capacity(capacity: usize) -> PrefixIndex {
        PrefixIndex {
            capacity,
            young: HashMap::new(),
            old: HashMap::new(),
            feeds: SecondaryMap::new(),
            gaps: 0,
        }
    }

    /// Applies a cache event of `endpoint`; late and repeated events are ignored.
    pub fn apply(&mut self, endpoint: EndpointKey, event: &CacheEvent) {
        let mut feed = self.feeds.get(endpoint).copied().unwrap_or_default();
        if event.engine_run < feed.engine_run {
            return;
        }
        if event.engine_run > feed.engine_run {
            feed = CacheFeed { engine_run: event.engine_run, sequence: 0, epoch: feed.epoch + 1 };
        }
        if event.sequence <= feed.sequence {
            return;
        }
        if event.sequence != feed.sequence + 1 {
            feed.epoch += 1;
            self.gaps += 1;
        }
        if event.change == CacheChange::Cleared {
            feed.epoch += 1;
        }
        feed.sequence = event.sequence;
        self.feeds.insert(endpoint, feed);
        let holder = BlockHolder { endpoint, epoch: feed.epoch };
        match &event.change {
            CacheChange::Stored(blocks) => blocks.iter().for_each(|&block| self.add(block, holder)),
            CacheChange::Removed(blocks) => {
                blocks.iter().for_each(|block| self.remove(block, endpoint));
            }
            CacheChange::Cleared => {}
        }
    }

    /// Returns the number of leading blocks of `prefix` that the endpoint probably caches.
    ///
    /// Each hash of `prefix` covers all preceding blocks, so the cached blocks come first.
    pub fn held_blocks(&self, endpoint: EndpointKey, prefix: &[u64]) -> u32 {
        let Some(feed) = self.feeds.get(endpoint) else { return 0 };
        let holder = BlockHolder { endpoint, epoch: feed.epoch };
        prefix.partition_point(|block| self.holds(block, holder)) as u32
    }

    /// Returns the number of blocks in the index; a block in both generations counts twice.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Reports whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of gaps in the received events.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Returns the bytes of heap memory in use.
    pub(crate) fn heap_bytes(&self) -> usize {
        let blocks = self.young.capacity() + self.old.capacity();
        blocks * size_of::<(u64, HolderList)>() + self.feeds.capacity() * size_of::<CacheFeed>()
    }

    fn holds(&self, block: &u64, holder: BlockHolder) -> bool {
        let list = self.young.get(block).or_else(|| self.old.get(block));
        list.is_some_and(|list| list.holders.contains(&Some(holder)))
    }

    fn add(&mut self, block: u64, holder: BlockHolder) {
        let mut list = self.young.get(&block).or_else(|| self.old.get(&block)).copied();
        let list = list.get_or_insert_default();
        list.add(holder);
        self.young.insert(block, *list);
        if self.young.len() > self.capacity / 2 {
            self.old = std::mem::take(&mut self.young);
        }
    }

    fn remove(&mut self, block: &u64, endpoint: EndpointKey) {
        for generation in [&mut self.young, &mut self.old] {
            if let Some(list) = generation.get_mut(block) {
                list.remove(endpoint);
            }
        }
    }
}

impl Default for PrefixIndex {
    fn default() -> PrefixIndex {
        PrefixIndex::new()
    }
}

impl HolderList {
    /// Adds a holder; replaces its earlier entry, an empty entry or the oldest holder.
    fn add(&mut self, holder: BlockHolder) {
        self.remove(holder.endpoint);
        match self.holders.iter_mut().find(|place| place.is_none()) {
            Some(place) => *place = Some(holder),
            None => {
                self.holders.rotate_left(1);
                self.holders[MAX_HOLDERS - 1] = Some(holder);
            }
        }
    }

    fn remove(&mut self, endpoint: EndpointKey) {
        for place in &mut self.holders {
            if place.is_some_and(|holder| holder.endpoint == endpoint) {
                *place = None;
            }
        }
    }
}
