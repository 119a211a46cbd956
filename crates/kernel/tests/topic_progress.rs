//! The progress of a topic against a naive record of all that was read and claimed.

use pimentorock_kernel::{
    hub::{PositionClaim, TopicProgress},
    log_position::{LogPosition, MAX_OFFSET},
};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// What happens to an entry.
#[derive(Clone, Copy, Debug)]
enum ProgressStep {
    Read(LogPosition),
    ReadNewest(LogPosition),
    Claim(PositionClaim),
    /// The entry gets a version.
    Reach(u64),
}

impl Arbitrary for ProgressStep {
    fn arbitrary(source: &mut Gen) -> ProgressStep {
        let (era, offset) = (u64::from(u8::arbitrary(source) % 3), u8::arbitrary(source).into());
        let position = LogPosition { era, offset };
        let version = u64::from(u8::arbitrary(source) % 12);
        match u8::arbitrary(source) % 4 {
            0 => ProgressStep::Read(position),
            1 => ProgressStep::ReadNewest(position),
            2 => ProgressStep::Claim(PositionClaim::new(version, position)),
            _ => ProgressStep::Reach(version),
        }
    }
}

quickcheck! {
    fn what_is_known_is_the_highest_position_read_or_claimed_for_a_version_that_is_there(
        steps: Vec<ProgressStep>
    ) -> bool {
        let mut progress = TopicProgress::new();
        let mut version = None;
        let (mut read, mut claims): (Option<LogPosition>, Vec<PositionClaim>) = (None, Vec::new());
        steps.into_iter().all(|step| {
            match step {
                ProgressStep::Read(next) => {
                    progress.advance(next);
                    read = read.max(Some(next));
                }
                ProgressStep::ReadNewest(end) => {
                    progress.restart(end);
                    (read, claims) = (Some(end), Vec::new());
                }
                ProgressStep::Claim(claim) => {
                    progress.note_claim(version, claim);
                    claims.push(claim);
                }
                ProgressStep::Reach(reached) => version = version.max(Some(reached)),
            }
            let held = claims.iter().filter(|claim| Some(claim.version()) <= version);
            progress.next(version) == read.max(held.map(PositionClaim::next).max())
        })
    }
}

#[test]
fn claims_of_versions_that_never_come_are_bounded_and_hide_no_others() {
    let at = |offset| LogPosition { era: 0, offset };
    let mut progress = TopicProgress::new();
    (0..1_000).for_each(|index| {
        progress.note_claim(Some(1), PositionClaim::new(u64::MAX - index, at(900)));
    });
    progress.note_claim(Some(1), PositionClaim::new(2, at(7)));
    assert_eq!(progress.next(Some(1)), None);
    assert_eq!(progress.next(Some(2)), Some(at(7)));
}

#[test]
fn a_position_that_no_log_has_is_left_out() {
    let mut progress = TopicProgress::new();
    let beyond = LogPosition { era: 0, offset: MAX_OFFSET + 1 };
    progress.note_claim(Some(3), PositionClaim::new(1, beyond));
    assert_eq!(progress.next(Some(3)), None);
}
