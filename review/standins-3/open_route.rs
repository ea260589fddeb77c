//! A new version of the configuration opens the batch route to everyone. A batch that is accepted afterwards has to be readable
//! with a key of its submitter, and its items run for the submitter's organisation.

use std::{io, path::Path, sync::Arc, thread, time::Duration};

use crate::{
    Verdict,
    engine::Pace,
    fleet::{Fleet, Record, SETTLE, batch, configuration},
};

const BATCH: &str = "5b2907c14da6f380";
const ITEMS: usize = 24;
const GROUP: usize = 4;
const EVENTS: u64 = 10;
const PACE: Pace = Pace { slots: 16, event_ms: 40, event_bytes: 360, text: "y" };
/// `config_apply_ms` of the sheet, with a margin.
const APPLIED: Duration = Duration::from_millis(2_500);

pub fn play(folder: &Path, record: Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let fleet = Fleet::start(folder, record, 3, 9, PACE)?;
    let record = &fleet.record;
    fleet.store.write("config", "main", configuration(4, PACE.slots, has_trouble));
    record.line(format!("version 4 of the configuration is written; it opens the batch route: {has_trouble}"));
    thread::sleep(APPLIED);
    let status = fleet.hosts[0].submit(BATCH, &batch(BATCH, ITEMS, GROUP, |_| EVENTS));
    record.line(format!("batch {BATCH} is sent with a key of kaje80: {status:?}"));
    if status != Some(202) {
        return Ok(Verdict::NotRun("the batch was not accepted".to_owned()));
    }
    thread::sleep(SETTLE + Duration::from_secs(2));
    let mut is_broken = false;
    for host in &fleet.hosts {
        let answer = host.read(BATCH, 0, 1_000);
        let (status, results) = answer.map_or((None, 0), |(status, results)| (Some(status), results.len()));
        let is_denied = matches!(status, Some(404 | 410));
        let mark = if is_denied { "BROKEN: " } else { "" };
        record.line(format!("{mark}{} answers the read with the same key: {status:?}, {results} results", host.id));
        is_broken |= is_denied;
    }
    let runs: Vec<_> = fleet.engines.iter().flat_map(|engine| engine.runs()).collect();
    let own = runs.iter().filter(|run| run.tenant.as_deref() == Some("kaje80")).count();
    record.line(format!("engines ran {} items, {own} of them for kaje80", runs.len()));
    record.line(format!("the end is asked: {:?}", fleet.hosts[1].end(BATCH)));
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
