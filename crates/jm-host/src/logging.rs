//! Logging to standard output: one JSON object per line, rate-limited and written by a dedicated thread.
//!
//! Neither a blocked reader of standard output nor a flood of one event may delay a request or hide other events.
//! Lines pass through a bounded queue, each event has a limit of lines per second, and a separate line reports how
//! many were suppressed.

use std::{
    borrow::Cow,
    collections::HashMap,
    io::Write,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use jm_types::LogEvent;
use log::{
    LevelFilter, Log, Metadata, Record,
    kv::{Error, Key, Value, VisitSource},
};
use log4rs::config::{Appender, Config, Root};
use serde_json::{Map, json};
use snafu::{ResultExt, Snafu};

/// Maximum number of lines that wait for the writer thread.
const LOG_QUEUE_CAPACITY: usize = 2_000;

/// Maximum length of a text in a line. Messages quote ids and entries of other systems, which may be as large as the store
/// accepts, and all lines of the queue are in memory.
const MAX_TEXT_BYTES: usize = 2_048;

/// The logger cannot be installed.
#[derive(Debug, Snafu)]
#[snafu(display("cannot install the logger: {source}"))]
pub struct InitLoggingError {
    source: log::SetLoggerError,
}

/// Limits the log lines per second of each event.
#[derive(Debug)]
pub struct LogRateLimiter {
    lines_per_s: u64,
    routine_lines_per_s: u64,
    second: u64,
    written: HashMap<String, u64>,
    suppressed: HashMap<String, u64>,
}

/// Whether a line is written.
#[derive(Debug, PartialEq, Eq)]
pub enum LogDecision {
    /// Write the line. Each suppressed event is reported in a line before it.
    Write {
        /// Events whose lines were suppressed, with the number of lines.
        suppressed: Vec<(String, u64)>,
    },
    /// Suppress the line and count it.
    Suppress,
}

impl LogRateLimiter {
    /// Creates a limiter with a limit per event. `routine_lines_per_s` limits lines about successful requests, so
    /// that they do not displace others.
    pub fn new(lines_per_s: u64, routine_lines_per_s: u64) -> Self {
        Self {
            lines_per_s,
            routine_lines_per_s,
            second: 0,
            written: HashMap::new(),
            suppressed: HashMap::new(),
        }
    }

    /// Counts a line of `event` and decides whether to write it. `second` is the current Unix time in seconds.
    pub fn check(&mut self, event: &str, second: u64) -> LogDecision {
        let mut suppressed = Vec::new();
        if second != self.second {
            self.second = second;
            self.written.clear();
            suppressed = self.suppressed.drain().collect();
        }
        let limit = match event == LogEvent::RequestServed.to_string() {
            true => self.routine_lines_per_s,
            false => self.lines_per_s,
        };
        let written = self.written.entry(event.to_owned()).or_default();
        if *written >= limit {
            *self.suppressed.entry(event.to_owned()).or_default() += 1;
            return LogDecision::Suppress;
        }
        *written += 1;
        LogDecision::Write { suppressed }
    }
}

/// Installs a logger that writes to standard output. Call it once per process.
///
/// # Errors
///
/// Fails when a logger is already installed in the process.
pub fn init_logging(host: &str, level: LevelFilter) -> Result<(), InitLoggingError> {
    let (sender, receiver) = sync_channel(LOG_QUEUE_CAPACITY);
    thread::spawn(move || write_lines(&receiver));
    let appender = JsonLineAppender {
        host: host.to_owned(),
        rate_limiter: Mutex::new(LogRateLimiter::new(100, 25)),
        queue: sender,
        dropped: AtomicU64::new(0),
    };
    let root = Root::builder().appender("lines").build(level);
    let config = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(appender)))
        .build(root)
        .expect("the root names the only appender");
    log4rs::init_config(config).map(drop).context(InitLoggingSnafu)
}

/// Writes queued lines to standard output. When the output blocks, only this thread blocks: the queue fills up, and
/// further lines are dropped and counted.
fn write_lines(lines: &Receiver<String>) {
    while let Ok(line) = lines.recv() {
        let mut out = std::io::stdout().lock();
        if writeln!(out, "{line}").and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

#[derive(Debug)]
struct JsonLineAppender {
    host: String,
    rate_limiter: Mutex<LogRateLimiter>,
    queue: SyncSender<String>,
    dropped: AtomicU64,
}

struct FieldVisitor(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_borrowed_str()) {
            (Some(number), _) => json!(number),
            (None, Some(text)) => json!(shortened(text)),
            (None, None) => json!(shortened(&value.to_string())),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

impl JsonLineAppender {
    fn send(&self, fields: Map<String, serde_json::Value>) {
        let line = serde_json::Value::Object(fields).to_string();
        if self.queue.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn base_fields(&self, unix_ms: u64, level: &str) -> Map<String, serde_json::Value> {
        let mut fields = Map::new();
        fields.insert("unix_ms".to_owned(), json!(unix_ms));
        fields.insert("level".to_owned(), json!(level));
        fields.insert("host".to_owned(), json!(self.host));
        fields
    }

    fn report_suppressed(&self, unix_ms: u64, suppressed: Vec<(String, u64)>) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let queue = (dropped > 0).then(|| ("queue".to_owned(), dropped));
        for (event, lines) in suppressed.into_iter().chain(queue) {
            let mut fields = self.base_fields(unix_ms, "WARN");
            let number = LogEvent::LogLinesLeftOut.to_string();
            fields.insert("event".to_owned(), json!(number));
            fields.insert("name".to_owned(), json!(LogEvent::LogLinesLeftOut.name()));
            fields.insert("of".to_owned(), json!(event));
            fields.insert("lines".to_owned(), json!(lines));
            self.send(fields);
        }
    }
}

impl Log for JsonLineAppender {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let unix_ms = unix_ms();
        let mut visitor = FieldVisitor(self.base_fields(unix_ms, record.level().as_str()));
        // Visiting cannot fail, because the visitor accepts every value.
        let _ = record.key_values().visit(&mut visitor);
        let mut fields = visitor.0;
        let message = record.args().to_string();
        let (event, message) = match fields.get("event") {
            Some(event) => (event.as_str().unwrap_or_default().to_owned(), message),
            None => split_event(&mut fields, message),
        };
        fields.insert("message".to_owned(), json!(shortened(&message)));
        let decision = {
            let mut rate_limiter = self.rate_limiter.lock().unwrap_or_else(PoisonError::into_inner);
            rate_limiter.check(&event, unix_ms / 1_000)
        };
        if let LogDecision::Write { suppressed } = decision {
            self.report_suppressed(unix_ms, suppressed);
            self.send(fields);
        }
    }

    fn flush(&self) {}
}

/// The beginning of a text that exceeds [`MAX_TEXT_BYTES`], with the length of the whole.
fn shortened(text: &str) -> Cow<'_, str> {
    if text.len() <= MAX_TEXT_BYTES {
        return Cow::Borrowed(text);
    }
    let end = text.floor_char_boundary(MAX_TEXT_BYTES);
    Cow::Owned(format!("{}... ({} bytes)", &text[..end], text.len()))
}

/// Splits the event number and name off a message that was logged without fields.
fn split_event(fields: &mut Map<String, serde_json::Value>, message: String) -> (String, String) {
    let Some((head, rest)) = message.split_once(": ") else {
        return (String::new(), message);
    };
    let Some((number, name)) = head.split_once(' ').filter(|(number, _)| number.starts_with('E')) else {
        return (String::new(), message);
    };
    fields.insert("event".to_owned(), json!(number));
    fields.insert("name".to_owned(), json!(name));
    (number.to_owned(), rest.to_owned())
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
