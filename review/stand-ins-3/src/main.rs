//! Plays one case of the review: `stand-ins-3 CASE FOLDER`.
//!
//! The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod client;
mod fleet;
mod http;
mod record;
mod server;
mod store;

use std::{
    path::{Path, PathBuf},
    process::exit,
    thread,
    time::{Duration, SystemTime},
};

use record::Record;

/// Longest time that a case takes.
const MAX_TIME: Duration = Duration::from_secs(115);

/// What a case is played with.
pub struct Stage {
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// Returns the milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: stand-ins-3 CASE FOLDER");
        exit(2);
    };
    let is_calm = std::env::var("TROUBLE").is_ok_and(|trouble| trouble == "0");
    let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("no temporary folder: {error}");
        exit(2);
    }
    let stage = Stage { folder: temporary.clone(), record: Record::new(), trouble: !is_calm };
    let record = stage.record.clone();
    let path = Path::new(folder).join("record.txt");
    let (late_record, late_path) = (record.clone(), path.clone());
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        late_record.say("the case takes too long");
        fleet::end_all();
        let _ = late_record.write(&late_path);
        exit(2);
    });
    let played = std::panic::catch_unwind(|| cases::play(case, &stage));
    fleet::end_all();
    let status = match played {
        Ok(Ok(broken)) => {
            record.say(if broken { "the rule was broken" } else { "the rule held" });
            i32::from(broken)
        }
        Ok(Err(error)) => {
            record.say(&format!("the case could not run: {error}"));
            2
        }
        Err(_) => 2,
    };
    let _ = record.write(&path);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("{}", temporary.display());
    }
    exit(status);
}
