//! Tests of the bounds on incomplete messages.

use std::time::Duration;

use pimentorock_kernel::{
    answer::{AnswerFault, AnswerLimits, AnswerProgress, BufferKey, BufferLedger},
    time::TimePoint,
};
use quickcheck::{Arbitrary, Gen};

const LIMITS: AnswerLimits = AnswerLimits { bytes: 1_000, patience: Duration::from_secs(2) };

/// Notes pieces of these sizes with pauses in milliseconds before them, and returns the first fault
/// with the number of the piece.
fn first_fault(pieces: impl IntoIterator<Item = (u64, usize)>) -> Option<(usize, AnswerFault)> {
    let mut progress = AnswerProgress::new(LIMITS);
    let mut now = TimePoint::from_millis(5_000);
    for (number, (pause_ms, bytes)) in pieces.into_iter().enumerate() {
        now = now + Duration::from_millis(pause_ms);
        if let Err(fault) = progress.note(now, bytes) {
            return Some((number, fault));
        }
    }
    None
}

#[test]
fn bytes_without_end_are_recognised_by_their_number() {
    let fault = first_fault((0..100).map(|_| (0, 300)));
    assert_eq!(fault, Some((3, AnswerFault::Oversized { bytes: 1_200 })));
}

/// Neither ten bytes a second nor one every four seconds become a message.
#[test]
fn a_trickle_is_recognised_within_a_few_pieces() {
    for pause_ms in [100, 1_000, 4_000] {
        let (number, fault) = first_fault((0..100).map(|_| (pause_ms, 1))).unwrap();
        assert!(matches!(fault, AnswerFault::Trickle { .. }), "{fault:?}");
        assert!(number as u64 * pause_ms.min(1_000) <= 2_000, "{pause_ms}: {number}");
    }
}

/// Each frame costs the receiver time, so that a small limit on bytes is no limit on work.
#[test]
fn frames_of_a_few_bytes_are_recognised_by_their_number() {
    let limits = AnswerLimits { bytes: u64::MAX, ..LIMITS };
    for (size, count, passes) in [(6, 1_000, true), (6, 10_000, false), (1_500, 1_000_000, true)] {
        let mut progress = AnswerProgress::new(limits);
        let now = TimePoint::ZERO;
        let noted = (0..count).try_for_each(|_| {
            progress.note(now, size)?;
            progress.note_frame()
        });
        assert_eq!(noted.is_ok(), passes, "{count} frames of {size} bytes");
    }
}

/// Guards against honest answers that are taken for trickles: silence between the parts, few parts,
/// and pieces at an ordinary pace for a long time.
#[test]
fn slow_answers_of_sound_endpoints_pass() {
    let silent = [(0, 100), (30_000, 300), (30_000, 300), (30_000, 200)];
    assert_eq!(first_fault(silent), None);
    assert_eq!(first_fault([(0, 1), (60_000, 1)]), None);
    let comments_that_keep_a_connection = (0..60).map(|_| (5_000, 15));
    assert_eq!(first_fault(comments_that_keep_a_connection), None);
    let mut progress = AnswerProgress::new(LIMITS);
    let mut now = TimePoint::ZERO;
    for _ in 0..10_000 {
        now = now + Duration::from_millis(300);
        assert_eq!(progress.note(now, 13), Ok(()));
        progress.complete();
    }
}

/// A buffer as the naive version keeps it.
#[derive(Clone, Copy)]
struct NaiveBuffer {
    key: BufferKey,
    bytes: u64,
    settled: bool,
}

/// Guards against bytes that are counted twice or not at all, and against dropping a complete
/// message, a small one before a large one, or more than needed.
#[test]
fn dropped_buffers_match_a_naive_list() {
    const LIMIT: u64 = 500;
    for seed in 0..300 {
        let mut generator = Gen::from_size_and_seed(20, seed);
        let mut below = |bound: u64| u64::arbitrary(&mut generator) % bound;
        let (mut ledger, mut buffers) = (BufferLedger::new(LIMIT), Vec::<NaiveBuffer>::new());
        for _ in 0..200 {
            let index = below(buffers.len().max(1) as u64) as usize;
            match below(6) {
                0 => buffers.push(NaiveBuffer { key: ledger.open(), bytes: 0, settled: false }),
                1 if index < buffers.len() => ledger.close(buffers.swap_remove(index).key),
                2 if index < buffers.len() => {
                    ledger.settle(buffers[index].key);
                    buffers[index].settled = true;
                }
                _ if index < buffers.len() && !buffers[index].settled => {
                    // Distinct sizes, so that the largest buffer is unique.
                    let bytes = buffers[index].bytes + 1 + below(90);
                    let bytes = (bytes..).find(|size| buffers.iter().all(|b| b.bytes != *size));
                    buffers[index].bytes = bytes.unwrap();
                    let key = buffers[index].key;
                    let dropped = ledger.resize(key, buffers[index].bytes);
                    let mut expected = Vec::new();
                    while buffers.iter().map(|buffer| buffer.bytes).sum::<u64>() > LIMIT {
                        let open = buffers.iter().filter(|buffer| !buffer.settled);
                        let Some(largest) = open.max_by_key(|buffer| buffer.bytes).copied() else {
                            break;
                        };
                        expected.push(largest.key);
                        buffers.retain(|buffer| buffer.key != largest.key);
                    }
                    assert_eq!(dropped, expected, "seed {seed}");
                }
                _ => {}
            }
            let used: u64 = buffers.iter().map(|buffer| buffer.bytes).sum();
            assert_eq!(ledger.used(), used, "seed {seed}");
        }
    }
}
