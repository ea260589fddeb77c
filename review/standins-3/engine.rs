//! Stand-in of a model engine. It makes one event for each [`EVENT_TOKENS`] output tokens that a request names, and keeps
//! a record of what it runs.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Request, respond, serve},
    json::Json,
    store::Store,
    wire::wire,
};

/// Output tokens of one event, as at the engines of the small deployments.
pub const EVENT_TOKENS: u64 = 72;
/// Interval at which an engine writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What an engine generates, and how fast.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    pub slots: usize,
    /// Requests that an engine takes beside those of its slots.
    pub queued: usize,
    pub event_ms: u64,
    pub event_bytes: usize,
    /// Text that the data of an event repeats after the event's name.
    pub text: &'static str,
}

/// A request that an engine began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub software: String,
    pub after_event: u64,
    pub resumes: Option<String>,
}

struct State {
    software: String,
    born_unix_ms: u64,
    weights: u64,
    orders: u64,
    heartbeats: u64,
    active: usize,
    /// Increases when the process ends, so that its answers stop.
    process: u64,
    is_down: bool,
    runs: Vec<Run>,
}

pub struct Engine {
    pub id: String,
    service: String,
    zone: String,
    pace: Pace,
    address: SocketAddr,
    store: Arc<Store>,
    state: Mutex<State>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Engine {
    pub fn start(store: &Arc<Store>, id: &str, zone: &str, software: &str, pace: Pace) -> io::Result<Arc<Self>> {
        let state = State {
            software: software.to_owned(),
            born_unix_ms: unix_ms(),
            weights: 1,
            orders: 0,
            heartbeats: 0,
            active: 0,
            process: 0,
            is_down: false,
            runs: Vec::new(),
        };
        let slot: Arc<Mutex<Option<Arc<Self>>>> = Arc::default();
        let served = Arc::clone(&slot);
        let address = serve(Arc::new(move |request, stream| {
            let engine = served.lock().unwrap().clone();
            engine.map_or(Ok(false), |engine| engine.handle(request, stream))
        }))?;
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: "engines".to_owned(),
            zone: zone.to_owned(),
            pace,
            address,
            store: Arc::clone(store),
            state: Mutex::new(state),
        });
        *slot.lock().unwrap() = Some(Arc::clone(&engine));
        engine.register();
        let beating = Arc::clone(&engine);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.register();
            }
        });
        Ok(engine)
    }

    /// Writes the entry, unless the engine is down.
    fn register(&self) {
        let mut state = self.state.lock().unwrap();
        if state.is_down {
            return;
        }
        state.heartbeats += 1;
        let entry = Json::map([
            ("service", Json::text(&self.service)),
            ("address", Json::text(self.address.to_string())),
            ("zone", Json::text(&self.zone)),
            ("version", Json::text(&state.software)),
            ("slots", Json::number(self.pace.slots as u64)),
            ("state", Json::text("ready")),
            ("cold_left_ms", Json::number(0)),
            ("stage", Json::text("both")),
            ("models", models(&state)),
            ("seq", Json::number(state.heartbeats)),
            ("born", Json::number(state.born_unix_ms)),
        ]);
        // Written under the lock, so that no older entry follows a newer one.
        self.store.write("servers", &self.id, entry);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Ends the process: all its connections close, and new ones are closed without an answer.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        state.process += 1;
        state.is_down = true;
    }

    /// Starts the process again under the id that it had, and writes the entry at once.
    pub fn restart(&self, software: &str) {
        let mut state = self.state.lock().unwrap();
        state.software = software.to_owned();
        state.born_unix_ms = unix_ms();
        state.orders = 0;
        state.is_down = false;
        drop(state);
        self.register();
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        if self.state.lock().unwrap().is_down {
            return Ok(false);
        }
        if request.path == wire("report_path") {
            return respond(stream, 200, &[("Content-Type", "application/json")], self.report().as_bytes());
        }
        if request.path == wire("order_path") {
            return respond(stream, self.order(&request.text()), &[], b"");
        }
        let id = request.header(wire("request_id")).unwrap_or_default().to_owned();
        let not_run = [(wire("request_id"), id.as_str()), (wire("not_executed"), "1")];
        let named = request.header(wire("expect_instance"));
        if named.is_some_and(|named| named != self.id) {
            return respond(stream, 421, &not_run, b"");
        }
        let Some((process, software, weights)) = self.begin(request, &id) else {
            return respond(stream, 503, &not_run, b"");
        };
        let ended = self.generate(request, stream, &id, (process, &software, weights));
        self.state.lock().unwrap().active -= 1;
        ended
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let report = Json::map([
            ("stage", Json::text("both")),
            ("models", models(&state)),
            ("busy", Json::Bool(false)),
            ("seq", Json::number(state.orders)),
            ("queued", Json::number(0)),
            ("active", Json::number(state.active as u64)),
            ("kv_used", Json::number(0)),
            ("kv_total", Json::number(90_000)),
            ("handles", Json::number(0)),
            ("born", Json::number(state.born_unix_ms)),
        ]);
        report.to_string()
    }

    fn order(&self, body: &str) -> u16 {
        let Some(order) = Json::parse(body) else { return 400 };
        let mut state = self.state.lock().unwrap();
        if *order.get("precondition") != Json::Null && order.get("precondition").as_u64() != state.orders {
            return 409;
        }
        state.orders += 1;
        state.weights = order.get("version").as_u64();
        202
    }

    /// Takes a slot. `None` if the engine is full.
    fn begin(&self, request: &Request, id: &str) -> Option<(u64, String, u64)> {
        let mut state = self.state.lock().unwrap();
        if state.active >= self.pace.slots + self.pace.queued {
            return None;
        }
        state.active += 1;
        let run = Run {
            at: Instant::now(),
            id: id.to_owned(),
            software: state.software.clone(),
            after_event: last_event(request),
            resumes: request.header("Resumes").map(str::to_owned),
        };
        state.runs.push(run);
        Some((state.process, state.software.clone(), state.weights))
    }

    fn generate(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        id: &str,
        (process, software, weights): (u64, &str, u64),
    ) -> io::Result<bool> {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: s1\r\n{}: {weights}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            wire("request_id"),
            wire("server_stamp"),
            wire("weight_versions"),
        );
        stream.write_all(head.as_bytes())?;
        for event in last_event(request) + 1..=event_count(request) {
            thread::sleep(Duration::from_millis(self.pace.event_ms));
            if self.state.lock().unwrap().process != process {
                return Ok(false);
            }
            let name = format!("{software} {id} {event} ");
            let data: String = name.chars().chain(self.pace.text.chars().cycle()).take(self.pace.event_bytes).collect();
            let event = format!("id: {event}\ndata: {data}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

fn models(state: &State) -> Json {
    let model = Json::map([
        ("name", Json::text("m0")),
        ("version", Json::number(state.weights)),
        ("adapters", Json::List(Vec::new())),
    ]);
    Json::List(vec![model])
}

fn last_event(request: &Request) -> u64 {
    request.header("Last-Event-Id").and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn event_count(request: &Request) -> u64 {
    let tokens = request.header("Token-Count").and_then(|text| text.split(',').nth(1));
    tokens.and_then(|tokens| tokens.trim().parse::<u64>().ok()).unwrap_or(EVENT_TOKENS) / EVENT_TOKENS
}
