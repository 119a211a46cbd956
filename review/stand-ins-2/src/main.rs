//! Stand-ins and checks of the review's cases 7 to 10.

mod base64;
mod cut_entry;
mod cut_proxy;
mod fleet;
mod frozen_entry;
mod http;
mod older_copy;
mod plain_server;
mod process;
mod record;
mod store;
mod stream_client;
mod stream_server;
mod two_hubs;
mod unread_marker;

use std::{process::exit, time::Duration};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["plain-server", address, id, work_ms] => {
            let work = Duration::from_millis(work_ms.parse().expect("a number"));
            plain_server::run(address.parse().expect("an address"), id, work);
        }
        ["frozen-entry", repository, folder] => {
            exit(frozen_entry::run(&fleet::Case::new(repository, folder)));
        }
        ["unread-marker", repository, folder] => {
            exit(unread_marker::run(&fleet::Case::new(repository, folder)));
        }
        ["older-copy", repository, folder] => {
            exit(older_copy::run(&fleet::Case::new(repository, folder)));
        }
        ["two-hubs", repository, folder] => {
            exit(two_hubs::run(&fleet::Case::new(repository, folder)));
        }
        ["cut-entry", repository, folder] => {
            exit(cut_entry::run(&fleet::Case::new(repository, folder)));
        }
        _ => {
            eprintln!("usage: stand-ins-2 CASE REPOSITORY FOLDER");
            exit(2);
        }
    }
}
