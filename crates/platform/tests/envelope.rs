//! A damaged line is never decoded as a different record.

use pimentorock_platform::envelope::RecordEnvelope;
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};

// Guards against damage that the checksum misses: one byte of an encoded record changes, and the
// line must be rejected or decode to the same record.
#[test]
fn a_changed_byte_is_detected() {
    let mut refused = 0;
    for seed in 0..3000 {
        let mut gen_ = Gen::from_size_and_seed(20, seed);
        let body = json!({
            "kind": String::arbitrary(&mut gen_),
            "count": u64::arbitrary(&mut gen_),
            "list": Vec::<i32>::arbitrary(&mut gen_),
        });
        let envelope = RecordEnvelope::new(&format!("e-{seed}"), &body);
        let mut line = envelope.encode().into_string().into_bytes();
        let at = usize::arbitrary(&mut gen_) % line.len();
        line[at] = line[at].wrapping_add(1 + u8::arbitrary(&mut gen_) % 255);
        let line = String::from_utf8_lossy(&line);
        match RecordEnvelope::decode(&line) {
            Ok(read) => {
                assert_eq!(read.body::<Value>().unwrap(), body, "seed {seed}");
                assert_eq!(read.id(), envelope.id(), "seed {seed}");
            }
            Err(error) => {
                assert!(!error.may_have_taken_effect(), "seed {seed}");
                refused += 1;
            }
        }
    }
    assert!(refused > 2900, "only {refused} of 3000 changed lines were rejected");
}

// Guards against a decoder that panics on, or accepts, a line that is not an envelope.
#[test]
fn random_lines_are_rejected_without_a_panic() {
    for seed in 0..3000 {
        let text = String::arbitrary(&mut Gen::from_size_and_seed(80, seed));
        assert!(RecordEnvelope::decode(&text).is_err(), "{text}");
    }
}
