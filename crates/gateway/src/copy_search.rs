//! Asks other entries for a newer copy of the store while this entry's is old.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use pimentorock_kernel::{hub::CopySearch, time::TimePoint};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{clock, copy_messages::CopyAnswer, logs::part, state::GatewayState};

/// Searches for newer copies until `stop` is cancelled.
pub(crate) async fn search_copies(state: Arc<GatewayState>, stop: CancellationToken) {
    let mut search = CopySearch::new();
    let mut round = 0;
    while !stop.is_cancelled() {
        let now = clock::now();
        let old_since = state.view().old_since(now);
        let pause = search.until_step(now, old_since);
        if pause.is_zero() {
            let (known, budget) = {
                let roster = state.roster();
                (roster.search_order(now, round), roster.budget())
            };
            let asked = search.step(now, old_since, &known, budget);
            if !asked.is_empty() {
                log::debug!(
                    target: part::FOLLOW, asked = asked.len(), known = known.len();
                    "asking for a newer copy of the store"
                );
            }
            for address in asked {
                tokio::spawn(ask(Arc::clone(&state), address));
            }
            if search.has_ended() {
                round += 1;
            }
            continue;
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(pause) => {}
        }
    }
}

/// Asks the entry at `address` for a newer copy, and applies it.
async fn ask(state: Arc<GatewayState>, address: SocketAddr) {
    let Some((current_at, has_list)) = fetch(&state, address, false).await else { return };
    if !has_list {
        return;
    }
    let _turn = state.copy_calls.whole_turn().await;
    // Another entry may have sent the list in the meantime.
    if state.view().follower.current_at() < current_at {
        fetch(&state, address, true).await;
    }
}

/// Asks the entry at `address` once, and applies its answer. Returns the time at which its copy matched
/// the store, and whether it has a list of endpoints that it did not send; `None` if it does not answer.
async fn fetch(
    state: &GatewayState,
    address: SocketAddr,
    takes_list: bool,
) -> Option<(TimePoint, bool)> {
    let sent_at = clock::now();
    let question = state.copy_question(takes_list);
    let answer = state.copy_calls.pool.fetch_copy(address, question).await;
    let answer = answer.ok().filter(CopyAnswer::is_readable);
    state.metrics.note_copy_question(answer.is_some());
    let answer = answer?;
    state.roster().note_answer(clock::now(), address);
    let current_at = sent_at - Duration::from_millis(answer.store_age_ms);
    let has_list = answer.has_list;
    state.apply_copy(address, sent_at, answer, "search");
    Some((current_at, has_list))
}
