//! Golden tests: scripted sessions of two deployments on a small endpoint, with the actions
//! that follow each event.

mod endpoint_simulation;

use std::{fmt::Write, time::Duration};

use endpoint_simulation::{ClassRow, DISIPADORES, SWACHH, catalog, request};
use pimentorock_kernel::{
    catalog::ServiceCatalog,
    ids::RequestId,
    queue::{QueueAction, QueueEvent, QueueLimits, TieredQueue},
    request::RunOutcome,
    time::TimePoint,
};

/// One event of a script with its time in milliseconds.
type ScriptLine = (u64, ScriptEvent);

/// Scripted event; requests are numbered from 1 in the order of their arrival.
enum ScriptEvent {
    /// Arrival of a request of the class and the account with these indexes.
    Arrive(usize, usize),
    Progress(u128, u32),
    Finish(u128),
    Cancel(u128),
    Resize(u32),
    Drain,
    Tick,
}

fn session(rows: &'static [ClassRow], script: &[ScriptLine]) -> String {
    let catalog = catalog(rows);
    let limits = QueueLimits { max_waiting: 3, max_tokens: 20_000, class_reserve: 1 };
    let mut queue = TieredQueue::new(2, 8_000, 80.0).with_limits(limits);
    let (mut text, mut next) = (String::new(), 0);
    for (millis, event) in script {
        let now = TimePoint::from_millis(*millis);
        let (line, event) = line_and_event(&catalog, rows, event, now, &mut next);
        writeln!(text, "{:>6.1} s  {line}", *millis as f64 / 1000.0).unwrap();
        let mut actions = Vec::new();
        queue.step(now, event, &catalog, &mut actions);
        actions
            .iter()
            .for_each(|action| writeln!(text, "{:13}{}", "", action_text(action)).unwrap());
    }
    let digest = queue.digest(TimePoint::from_millis(60_000));
    writeln!(text, "end: {} running, waiting by tier {:?}", digest.running, digest.waiting)
        .unwrap();
    text
}

fn line_and_event(
    catalog: &ServiceCatalog,
    rows: &[ClassRow],
    event: &ScriptEvent,
    now: TimePoint,
    next: &mut u128,
) -> (String, QueueEvent) {
    match *event {
        ScriptEvent::Arrive(class, account) => {
            *next += 1;
            let spec = request(catalog, &rows[class], *next, account, now);
            let line = format!("arrive {next}: {} of a{account}", rows[class].name);
            (line, QueueEvent::Arrive(spec))
        }
        ScriptEvent::Progress(id, tokens) => {
            let request = RequestId(id);
            (format!("progress {id}: {tokens} tokens"), QueueEvent::Progress { request, tokens })
        }
        ScriptEvent::Finish(id) => {
            let outcome = RunOutcome::Completed;
            (format!("finish {id}"), QueueEvent::Finish { request: RequestId(id), outcome })
        }
        ScriptEvent::Cancel(id) => {
            (format!("cancel {id}"), QueueEvent::Cancel { request: RequestId(id) })
        }
        ScriptEvent::Resize(slots) => {
            (format!("resize to {slots} slots"), QueueEvent::Resize { slots, kv_tokens: 8_000 })
        }
        ScriptEvent::Drain => ("drain".to_owned(), QueueEvent::Drain),
        ScriptEvent::Tick => ("tick".to_owned(), QueueEvent::Tick),
    }
}

fn action_text(action: &QueueAction) -> String {
    let seconds = |span: &Duration| span.as_millis() as f64 / 1000.0;
    match action {
        QueueAction::Start { request, resume: true, reason } => {
            format!("resume {}: {reason}", request.0)
        }
        QueueAction::Start { request, reason, .. } => format!("start {}: {reason}", request.0),
        QueueAction::Refuse { request, reason, retry_after } => {
            format!("refuse {}: {reason}; back in {:.3} s", request.0, seconds(retry_after))
        }
        QueueAction::Preempt { request, reason } => format!("preempt {}: {reason}", request.0),
        QueueAction::Abort { request, reason } => format!("abort {}: {reason}", request.0),
    }
}

/// Guards against unintended changes of the queue's decisions: displacement from a full queue,
/// cancellation, draining and the loss of all slots.
#[test]
fn swachh_ghar_session() {
    use ScriptEvent::{Arrive, Cancel, Drain, Finish, Progress, Resize, Tick};
    let script = [
        (0, Arrive(3, 0)),
        (100, Arrive(2, 1)),
        (200, Arrive(2, 0)),
        (300, Arrive(2, 0)),
        (400, Arrive(2, 0)),
        (500, Arrive(0, 2)),
        (600, Progress(1, 8)),
        (700, Progress(2, 8)),
        (900, Tick),
        (1000, Arrive(2, 3)),
        (1100, Arrive(1, 4)),
        (1200, Arrive(1, 4)),
        (1500, Finish(6)),
        (2000, Progress(2, 60)),
        (2500, Finish(2)),
        (3000, Cancel(3)),
        (3500, Finish(8)),
        (5000, Tick),
        (9000, Drain),
        (9100, Arrive(0, 1)),
        (9500, Resize(0)),
    ];
    insta::assert_snapshot!(session(SWACHH, &script));
}

/// Guards against unintended changes of the queue's decisions: preemption for a higher tier,
/// later resumption and deadlines of long requests.
#[test]
fn disipadores_session() {
    use ScriptEvent::{Arrive, Finish, Progress, Resize, Tick};
    let script = [
        (0, Arrive(3, 0)),
        (100, Arrive(3, 1)),
        (400, Progress(1, 4)),
        (500, Progress(2, 4)),
        (600, Arrive(1, 2)),
        (1100, Tick),
        (1300, Arrive(0, 3)),
        (1400, Arrive(1, 2)),
        (1700, Tick),
        (2300, Finish(4)),
        (3000, Progress(2, 80)),
        (4000, Finish(3)),
        (6000, Tick),
        (8000, Finish(5)),
        (9000, Resize(3)),
        (118_000, Tick),
        (121_000, Tick),
    ];
    insta::assert_snapshot!(session(DISIPADORES, &script));
}
