//! A heartbeat of a server gets no answer from the store, which executes it seconds later, when the server
//! has left.

use std::{io, thread::sleep, time::Duration};

use super::{DRAIN, model, put_config};
use crate::{
    Stage,
    client::{Ask, Load},
    fleet::{self, Entry},
    server::Server,
    store::Store,
};

/// Time from the start of the machines to that of the traffic.
const LEAD: Duration = Duration::from_secs(10);

/// Time from the call without an answer until the store executes it; `late` allows 1 to 6 s.
const LATE: Duration = Duration::from_millis(5_100);

/// Time from that call until the server leaves. The store has then been without disruption for
/// `stable-window-ms`.
const UNTIL_LEAVES: Duration = Duration::from_millis(3_050);

/// Time for which a server serves after `drain-ms`.
const LONGER: Duration = Duration::from_millis(1_800);

/// Time between two requests at each entry.
const PERIOD: Duration = Duration::from_millis(110);

/// Servers at the start, and those of them that leave one after the other.
const SERVERS: usize = 9;
const LEAVING: usize = 6;

pub fn play(stage: &Stage) -> io::Result<bool> {
    let record = &stage.record;
    let store = Store::start()?;
    put_config(&store);
    let start = |index| Server::start(&format!("i-{index}"), model(), &store, record);
    let servers: Vec<Server> = (0..SERVERS).map(start).collect::<io::Result<_>>()?;
    let entries = fleet::start(&stage.folder, 4, &store)?;
    record.note("all entries are ready");
    sleep(LEAD);
    let ask = Ask { is_model: true, ..Ask::new("POST", "/chat/", 15_000) };
    let load = |entry: &Entry| Load::start(record, &entry.name, entry.callers, ask.clone(), PERIOD);
    let loads: Vec<Load> = entries.iter().map(load).collect();
    sleep(Duration::from_secs(2));
    let mut broken = false;
    for (index, server) in servers[..LEAVING].iter().enumerate() {
        server.await_beat(stage.trouble.then_some(LATE));
        sleep(UNTIL_LEAVES);
        // Every third server reports that it drains, the others do not.
        let left = if index % 3 == 2 { server.drain() } else { server.leave() };
        sleep(DRAIN + LONGER);
        let exited = server.exit();
        sleep(Duration::from_millis(500));
        let late: Vec<_> = server.runs().into_iter().filter(|run| run.at > left + DRAIN).collect();
        let cut = late.iter().filter(|run| !run.whole).count();
        record.say(&format!(
            "{}: {} requests reached it later than drain-ms after the store took its leaving; {cut} of them were \
             cut when it exited, {:.1} s after that",
            server.id(),
            late.len(),
            (exited - left).as_secs_f64()
        ));
        broken |= !late.is_empty();
    }
    let outcomes: Vec<_> = loads.into_iter().flat_map(Load::end).collect();
    let cut = outcomes.iter().filter(|outcome| outcome.status == 200 && !outcome.complete).count();
    let served =
        outcomes.iter().filter(|outcome| outcome.complete && outcome.status == 200).count();
    record.say(&format!("{} requests: {served} served, {cut} streams cut", outcomes.len()));
    Ok(broken)
}
