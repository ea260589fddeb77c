//! Plays one case of the review: `cases NAME FOLDER`, from the root of the repository. Exits with 1 if the rule was broken,
//! 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the environment it does the same without the disruption.

mod engine;
mod fleet;
mod http;
mod json;
mod paused_runner;
mod release_after_kill;
mod restarted_engine;
mod stale_runner;
mod store;
mod store_outage;
mod wire;

use std::{path::PathBuf, process::exit, thread, time::Duration};

use crate::fleet::Record;

/// A case ends within this time.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// What a case observed.
pub enum Verdict {
    Held,
    Broken,
    /// The case did not bring about what it needs.
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        exit(2);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let work = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let record = std::fs::create_dir_all(&work).and_then(|()| Record::create(&folder.join("record.txt")));
    let Ok(record) = record else {
        eprintln!("the folders cannot be written");
        exit(2);
    };
    record.line(format!("case {name}, trouble: {has_trouble}"));
    let (name, played, log) = (name.clone(), work.clone(), record.clone());
    let case = thread::spawn(move || match name.as_str() {
        "paused-runner" => paused_runner::play(&played, log, has_trouble),
        "stale-runner" => stale_runner::play(&played, log, has_trouble),
        "release-after-kill" => release_after_kill::play(&played, log, has_trouble),
        "store-outage" => store_outage::play(&played, log, has_trouble),
        "restarted-engine" => restarted_engine::play(&played, log, has_trouble),
        other => Ok(Verdict::NotRun(format!("no case {other}"))),
    });
    let begun = std::time::Instant::now();
    while !case.is_finished() && begun.elapsed() < TIME_LIMIT {
        thread::sleep(Duration::from_millis(50));
    }
    let status = match case.is_finished().then(|| case.join()) {
        Some(Ok(Ok(Verdict::Held))) => 0,
        Some(Ok(Ok(Verdict::Broken))) => 1,
        Some(Ok(Ok(Verdict::NotRun(reason)))) => not_run(&record, &reason),
        Some(Ok(Err(error))) => not_run(&record, &error.to_string()),
        Some(Err(_)) => not_run(&record, "the case panicked"),
        None => {
            fleet::end_all_hosts();
            not_run(&record, "the case took too long")
        }
    };
    record.line(format!("exit {status}"));
    let _ = std::fs::remove_dir_all(&work);
    exit(status);
}

fn not_run(record: &Record, reason: &str) -> i32 {
    record.line(format!("could not run: {reason}"));
    2
}
