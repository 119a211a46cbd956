//! Servers fail a part of their requests with 503 after they have run them, without `X-Not-Executed`.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::Duration,
};

use super::{application, put_config};
use crate::{
    Stage,
    client::{self, Ask, Outcome},
    fleet,
    server::{Manner, Server},
    store::Store,
};

const SERVERS: usize = 3;
const ORDERS: usize = 200;

pub fn play(stage: &Stage) -> io::Result<bool> {
    let record = &stage.record;
    let store = Store::start()?;
    put_config(&store);
    let start = |index| Server::start(&format!("i-{index}"), application(), &store, record);
    let servers: Vec<Server> = (0..SERVERS).map(start).collect::<io::Result<_>>()?;
    let entries = fleet::start(&stage.folder, 2, &store)?;
    record.note("all entries are ready");
    sleep(Duration::from_secs(4));
    if stage.trouble {
        // 0.33 of the requests, below the 0.45 of `srv_grey`.
        servers.iter().for_each(|server| server.set_manner(Manner::Fails(3)));
    }
    let tries: Arc<Mutex<Vec<(usize, Outcome)>>> = Arc::default();
    let mut clients = Vec::new();
    for order in 0..ORDERS {
        let (record, tries) = (record.clone(), Arc::clone(&tries));
        let entries: Vec<_> =
            entries.iter().map(|entry| (entry.name.clone(), entry.callers)).collect();
        clients.push(thread::spawn(move || {
            // A client repeats an unsafe request once, after a promise that it has not run.
            for attempt in 0..2 {
                let (name, callers) = &entries[(order + attempt) % entries.len()];
                let ask = Ask::new("POST", &format!("/order/{order}"), 1_500);
                let outcome = client::call(&record, name, *callers, &ask);
                let promises = matches!(outcome.status, 429 | 503 | 408 | 421);
                tries.lock().unwrap().push((order, outcome));
                if !promises {
                    return;
                }
                sleep(Duration::from_millis(200));
            }
        }));
        sleep(Duration::from_millis(100));
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let runs: Vec<String> = servers.iter().flat_map(Server::runs).map(|run| run.attempt).collect();
    let has_run = |outcome: &Outcome| runs.contains(&outcome.attempt);
    let tries = tries.lock().unwrap();
    let refused =
        tries.iter().filter(|(_, outcome)| matches!(outcome.status, 429 | 503 | 408 | 421));
    let broken: Vec<_> = refused.clone().filter(|(_, outcome)| has_run(outcome)).collect();
    let mut orders: BTreeMap<usize, usize> = BTreeMap::new();
    for (order, _) in tries.iter().filter(|(_, outcome)| has_run(outcome)) {
        *orders.entry(*order).or_default() += 1;
    }
    let twice = orders.values().filter(|runs| **runs > 1).count();
    record.say(&format!(
        "{ORDERS} orders: {} attempts were answered 429 or 503, {} of them had run; {twice} orders ran twice",
        refused.count(),
        broken.len()
    ));
    Ok(!broken.is_empty())
}
