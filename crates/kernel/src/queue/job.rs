//! State of one request that waits in the queue or runs at the endpoint.

use crate::{request::RequestSpec, time::TimePoint};

slotmap::new_key_type! {
    /// Key of a request that an endpoint's queue holds.
    pub(crate) struct JobKey;
}

/// Work units of one output token; a prompt token counts as one unit.
///
/// Prefill processes the tokens of a prompt in parallel, so a prompt token is charged a quarter
/// of an output token.
pub(crate) const OUTPUT_TOKEN_WORK: u64 = 4;

/// Rank of a waiting request within its account; lower ranks start first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WaitRank {
    /// The request was preempted; its completed work would be lost if it did not resume.
    Preempted,
    /// The request is still expected to meet the class's first-token target.
    OnTime,
    /// The request is expected to miss the target for its first token.
    Late,
}

/// Sort key of a waiting request within its account: rank, deadline, order of arrival.
pub(crate) type QueuePosition = (WaitRank, TimePoint, u64);

/// State of a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobState {
    /// The request waits and has never started.
    Queued,
    /// The request runs at the endpoint.
    Running,
    /// The request waits after a preemption.
    Preempted,
}

/// A request that waits or runs.
#[derive(Clone, Debug)]
pub(crate) struct QueuedJob {
    /// Description of the request, without the hashes of its prompt prefix.
    pub(crate) spec: RequestSpec,
    /// Sequence number of the arrival at this queue.
    pub(crate) sequence: u64,
    /// Current state.
    pub(crate) state: JobState,
    /// Rank among the waiting requests of the account.
    pub(crate) rank: WaitRank,
    /// Number of preemptions so far.
    pub(crate) preemptions: u8,
    /// Output tokens produced so far.
    pub(crate) generated: u32,
    /// Expected total of output tokens, including those already produced.
    pub(crate) expected_tokens: u32,
    /// Remaining output tokens that the deadline check assumes. This is a cautious estimate, unlike
    /// the mean in `expected_tokens`; see
    /// [`TieredQueue::deadline_tokens_left`](crate::queue::TieredQueue::deadline_tokens_left).
    pub(crate) deadline_tokens_left: u32,
    /// Whether the request may be preempted and resumed during the current run.
    pub(crate) preemptible: bool,
    /// Work units charged to the account for the current run.
    pub(crate) charged_work: u64,
    /// Output tokens already produced when the current run started.
    pub(crate) generated_at_start: u32,
    /// Tokens reserved in the KV cache during the current run.
    pub(crate) kv_reserved: u64,
    /// Time of the last start or of the last reported output tokens.
    pub(crate) last_event: TimePoint,
    /// Time of the last start.
    pub(crate) started: TimePoint,
    /// Time of the next deadline check:
    ///
    /// * waiting: the latest start that meets the deadline;
    /// * waiting with the rank [`WaitRank::OnTime`]: the latest start that meets both the deadline
    ///   and the first-token target;
    /// * running: the deadline;
    /// * running after the deadline, which only a request that is not idempotent may do:
    ///   [`TimePoint::FAR`].
    pub(crate) next_check: TimePoint,
}

impl QueuedJob {
    /// Returns the state of a newly arrived request with `expected_tokens` output tokens
    /// expected.
    pub(crate) fn new(mut spec: RequestSpec, sequence: u64, expected_tokens: u32) -> QueuedJob {
        spec.prefix = Box::default();
        QueuedJob {
            spec,
            sequence,
            state: JobState::Queued,
            rank: WaitRank::OnTime,
            preemptions: 0,
            generated: 0,
            expected_tokens,
            deadline_tokens_left: expected_tokens,
            preemptible: false,
            charged_work: 0,
            generated_at_start: 0,
            kv_reserved: 0,
            last_event: TimePoint::ZERO,
            started: TimePoint::ZERO,
            next_check: TimePoint::ZERO,
        }
    }

    /// Returns the position in the account's queue: by rank, then earliest deadline first.
    pub(crate) fn position(&self) -> QueuePosition {
        (self.rank, self.spec.deadline, self.sequence)
    }

    /// Returns the number of output tokens still expected.
    pub(crate) fn tokens_left(&self) -> u32 {
        self.expected_tokens.saturating_sub(self.generated)
    }

    /// Returns the prompt tokens to prefill in the next run; 0 once an output token was
    /// produced.
    pub(crate) fn prompt_left(&self) -> u32 {
        if self.generated == 0 { self.spec.prompt_tokens } else { 0 }
    }

    /// Returns the work units still expected, at least 1.
    pub(crate) fn work_left(&self) -> u64 {
        let output = OUTPUT_TOKEN_WORK * u64::from(self.tokens_left());
        (u64::from(self.prompt_left()) + output).max(1)
    }

    /// Returns the work units done in the current run, at least 1.
    pub(crate) fn work_done(&self) -> u64 {
        let prompt =
            if self.generated_at_start == 0 { u64::from(self.spec.prompt_tokens) } else { 0 };
        (prompt + OUTPUT_TOKEN_WORK * u64::from(self.generated - self.generated_at_start)).max(1)
    }

    /// Returns the prompt tokens plus the expected output tokens, which count against the limit
    /// on waiting tokens.
    pub(crate) fn waiting_tokens(&self) -> u64 {
        u64::from(self.spec.prompt_tokens) + u64::from(self.expected_tokens)
    }
}
