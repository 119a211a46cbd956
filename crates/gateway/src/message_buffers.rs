//! The memory of requests and responses that are held in this process.

use std::{
    collections::HashMap,
    sync::{Arc, MutexGuard},
};

use bytes::Bytes;
use pimentorock_kernel::answer::{BufferKey, BufferLedger};
use tokio_util::sync::CancellationToken;

use crate::state_lock::StateLock;

/// Share of the process's memory that messages may occupy. The rest is for connections, the state
/// of the fleet, and messages that are on their way to a caller.
const MESSAGE_SHARE: f64 = 0.25;

/// Memory of messages in bytes if the settings state no memory of the process.
const DEFAULT_MESSAGE_BYTES: u64 = 64 << 20;

/// Size in bytes below which an incomplete message is not counted.
const SMALL_MESSAGE_BYTES: usize = 16 << 10;

#[derive(Debug)]
struct BufferState {
    ledger: BufferLedger,
    /// Tokens that are cancelled when their buffer has to be dropped.
    evictions: HashMap<BufferKey, CancellationToken>,
}

/// Bounds the memory of all messages together.
#[derive(Debug)]
pub(crate) struct MessageBuffers {
    state: StateLock<BufferState>,
}

impl MessageBuffers {
    /// Returns buffers for a process with this many bytes of memory.
    pub(crate) fn new(memory: Option<u64>) -> MessageBuffers {
        let share = |memory: u64| (memory as f64 * MESSAGE_SHARE) as u64;
        let ledger = BufferLedger::new(memory.map_or(DEFAULT_MESSAGE_BYTES, share));
        MessageBuffers { state: StateLock::new(BufferState { ledger, evictions: HashMap::new() }) }
    }

    /// Returns a buffer without any bytes.
    pub(crate) fn buffer(self: &Arc<Self>) -> MessageBuffer {
        MessageBuffer { buffers: Arc::clone(self), open: None, bytes: 0 }
    }

    /// Returns the number of bytes in all buffers that are counted.
    pub(crate) fn used(&self) -> u64 {
        self.lock().ledger.used()
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock()
    }

    fn open(&self) -> OpenBuffer {
        let evicted = CancellationToken::new();
        let mut state = self.lock();
        let key = state.ledger.open();
        state.evictions.insert(key, evicted.clone());
        OpenBuffer { key, evicted }
    }
}

/// A buffer in the ledger.
#[derive(Clone, Debug)]
struct OpenBuffer {
    key: BufferKey,
    /// Cancelled when the buffer has to be dropped.
    evicted: CancellationToken,
}

/// The count of one message; dropping it releases the message's bytes.
#[derive(Debug)]
pub(crate) struct MessageBuffer {
    buffers: Arc<MessageBuffers>,
    /// `None` as long as the message is small.
    open: Option<OpenBuffer>,
    bytes: usize,
}

impl MessageBuffer {
    /// Sets the size of an incomplete message. Messages that have to be dropped, perhaps this one,
    /// learn of it by [`evicted`](MessageBuffer::evicted).
    pub(crate) fn resize(&mut self, bytes: usize) {
        if self.bytes == bytes || (self.open.is_none() && bytes < SMALL_MESSAGE_BYTES) {
            return;
        }
        self.bytes = bytes;
        let key = self.open.get_or_insert_with(|| self.buffers.open()).key;
        let mut state = self.buffers.lock();
        for key in state.ledger.resize(key, bytes as u64) {
            if let Some(evicted) = state.evictions.remove(&key) {
                evicted.cancel();
            }
        }
    }

    /// Notes that the message is complete, so that it is no longer dropped.
    pub(crate) fn settle(&self) {
        if let Some(open) = &self.open {
            self.buffers.lock().ledger.settle(open.key);
        }
    }

    /// Reports whether the message has to be dropped because messages need too much memory.
    pub(crate) fn is_evicted(&self) -> bool {
        self.open.as_ref().is_some_and(|open| open.evicted.is_cancelled())
    }

    /// Waits until the message has to be dropped.
    pub(crate) async fn evicted(&self) {
        match &self.open {
            Some(open) => open.evicted.cancelled().await,
            None => std::future::pending().await,
        }
    }
}

impl Drop for MessageBuffer {
    fn drop(&mut self) {
        if let Some(open) = &self.open {
            let mut state = self.buffers.lock();
            state.ledger.close(open.key);
            state.evictions.remove(&open.key);
        }
    }
}

/// A complete message with the count of its bytes.
#[derive(Debug)]
pub(crate) struct HeldMessage {
    pub(crate) bytes: Bytes,
    _buffer: MessageBuffer,
}

impl HeldMessage {
    /// Returns the message that was received in `buffer`.
    pub(crate) fn new(bytes: Bytes, buffer: MessageBuffer) -> HeldMessage {
        buffer.settle();
        HeldMessage { bytes, _buffer: buffer }
    }

    /// Takes the next part of the message, which has at most this many bytes; `None` if nothing is
    /// left.
    pub(crate) fn take_part(&mut self, most: usize) -> Option<Bytes> {
        let part = self.bytes.split_to(self.bytes.len().min(most));
        (!part.is_empty()).then_some(part)
    }
}
