//! The store comes back from a copy that shows a server which has left since, and at first turns the entry away that
//! reads it for the others.

use std::{io, thread::sleep, time::Duration};

use super::{DRAIN, model, put_config};
use crate::{
    Stage,
    client::{Ask, Load, Outcome},
    fleet::{self, Entry},
    server::Server,
    store::Store,
};

/// Age of the copy when the store goes away.
const COPY_AGE: Duration = Duration::from_millis(6_000);

/// Time from the copy until the server leaves.
const UNTIL_LEAVES: Duration = Duration::from_millis(2_000);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(2_000);

/// Time for which the server serves after the store is back, and the store turns the first entry away.
const LONGER: Duration = Duration::from_millis(1_800);

/// Time between two requests at each entry.
const PERIOD: Duration = Duration::from_millis(200);

/// Servers at the start, and those of them that leave, each before a drill.
const SERVERS: usize = 8;
const LEAVING: usize = 3;

pub fn play(stage: &Stage) -> io::Result<bool> {
    let record = &stage.record;
    let store = Store::start()?;
    put_config(&store);
    let start = |index| Server::start(&format!("i-{index}"), model(), &store, record);
    let servers: Vec<Server> = (0..SERVERS).map(start).collect::<io::Result<_>>()?;
    let first = store.at_another_address()?;
    let stores = [first.address, store.address, store.address, store.address];
    let entries = fleet::start_at(&stage.folder, &stores)?;
    record.note("all entries are ready");
    let ask = Ask { is_model: true, ..Ask::new("POST", "/chat/", 15_000) };
    let load = |entry: &Entry| Load::start(record, &entry.name, entry.callers, ask.clone(), PERIOD);
    // Requests of the first entry do not count.
    let first_load = load(&entries[0]);
    let loads: Vec<Load> = entries[1..].iter().map(load).collect();
    let mut leavings = Vec::new();
    for server in &servers[..LEAVING] {
        sleep(Duration::from_secs(8));
        let copy = store.copy();
        record.note("the store makes a copy");
        sleep(UNTIL_LEAVES);
        let left = server.leave();
        sleep(COPY_AGE - UNTIL_LEAVES);
        if stage.trouble {
            store.go_down();
            record.note("the store is away");
            sleep(AWAY);
            first.set_refusing(true);
            store.come_back(&copy);
            record.note("the store is back from the copy");
        } else {
            sleep(AWAY);
        }
        sleep(LONGER);
        first.set_refusing(false);
        leavings.push((server, left, server.exit()));
    }
    sleep(Duration::from_secs(2));
    first_load.end();
    let outcomes: Vec<Outcome> = loads.into_iter().flat_map(Load::end).collect();
    let mut broken = false;
    for (server, left, exited) in leavings {
        let counts = |attempt: &str| outcomes.iter().any(|outcome| outcome.attempt == attempt);
        let runs = server.runs().into_iter();
        let late: Vec<_> =
            runs.filter(|run| run.at > left + DRAIN && counts(&run.attempt)).collect();
        record.say(&format!(
            "{}: {} requests reached it, from the entries that the store served, later than drain-ms after its entry was \
             removed; {} of them were cut when it exited, {:.1} s after that",
            server.id(),
            late.len(),
            late.iter().filter(|run| !run.whole).count(),
            (exited - left).as_secs_f64()
        ));
        broken |= !late.is_empty();
    }
    Ok(broken)
}
