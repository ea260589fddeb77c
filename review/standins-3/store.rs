//! Stand-in of the platform's store: objects by kind and name, revisions, conditional changes, listings and watches.
//! It also answers the calls of the shared duties.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    http::{Request, respond, serve},
    json::Json,
    wire::wire,
};

const PAGE_OBJECTS: usize = 500;
/// `value_bytes` of the small deployments.
const VALUE_BYTES: usize = 1_048_576;

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Json>,
    /// Changes as revision, kind, object and whether it was deleted.
    history: Vec<(u64, String, Json, bool)>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Whether every call is answered with 503.
    pub is_busy: AtomicBool,
    /// Number of changes that were refused because the object would be larger than [`VALUE_BYTES`].
    pub too_large: AtomicU64,
}

impl State {
    fn get(&self, kind: &str, name: &str) -> Option<&Json> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    fn put(&mut self, kind: &str, name: &str, spec: Json) -> Json {
        self.revision += 1;
        let metadata = Json::map([
            ("name", Json::text(name)),
            ("revision", Json::number(self.revision)),
            ("created", Json::number(1)),
            ("finalizers", Json::List(Vec::new())),
            ("deleting", Json::Bool(false)),
        ]);
        let status = self.get(kind, name).map_or(Json::Null, |object| object.get("status").clone());
        let object = Json::map([("metadata", metadata), ("spec", spec), ("status", status)]);
        self.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        self.history.push((self.revision, kind.to_owned(), object.clone(), false));
        object
    }
}

fn revision_of(object: &Json) -> u64 {
    object.get("metadata").get("revision").as_u64()
}

impl Store {
    /// Starts the store on a free port. Returns its address and that of the duties.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr, SocketAddr)> {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 10;
        let served = Arc::clone(&store);
        let address = serve(Arc::new(move |request, stream| served.handle(request, stream)))?;
        let duties = serve(Arc::new(|_, stream| respond(stream, 200, &[], b"")))?;
        Ok((store, address, duties))
    }

    /// Writes an object as an operator, a trainer or an engine.
    pub fn write(&self, kind: &str, name: &str, spec: Json) {
        self.state.lock().unwrap().put(kind, name, spec);
        self.changed.notify_all();
    }

    /// The value of an object as its writer stored it.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Json> {
        let state = self.state.lock().unwrap();
        state.get(kind, name).map(|object| object.get("spec").clone())
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        if self.is_busy.load(Ordering::SeqCst) {
            return respond(stream, 503, &[], b"");
        }
        if request.body.len() > VALUE_BYTES {
            self.too_large.fetch_add(1, Ordering::SeqCst);
            return respond(stream, 413, &[], b"");
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let query: BTreeMap<&str, &str> = query.split('&').filter_map(|part| part.split_once('=')).collect();
        let path = path.strip_prefix(wire("objects_path")).unwrap_or_default();
        let parts: Vec<String> = path.split('/').map(decoded).collect();
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        let (status, body) = match (request.method.as_str(), parts.as_slice()) {
            ("GET", [kind]) if query.contains_key("watch") => self.watch(kind, &query),
            ("GET", [kind]) => self.list(kind, &query),
            ("GET", [kind, name]) => self.read(kind, name),
            ("POST", [kind]) => self.create(kind, &request.text()),
            ("PUT", [kind, name]) => self.replace(kind, name, &request.text()),
            ("PUT", [kind, name, "status"]) => self.set_status(kind, name, &request.text()),
            ("DELETE", [kind, name]) => self.remove(kind, name, query.get("revision").copied()),
            _ => (404, Json::Null),
        };
        let body = body.to_string();
        respond(stream, status, &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn read(&self, kind: &str, name: &str) -> (u16, Json) {
        let state = self.state.lock().unwrap();
        state.get(kind, name).map_or((404, Json::Null), |object| (200, object.clone()))
    }

    fn list(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (u16, Json) {
        let after = query.get("after").map(|name| decoded(name)).unwrap_or_default();
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((of, name), _)| of == kind && *name > after);
        let rest: Vec<Json> = of_kind.map(|(_, object)| object.clone()).collect();
        let has_more = rest.len() > PAGE_OBJECTS;
        let page = Json::map([
            ("items", Json::List(rest.into_iter().take(PAGE_OBJECTS).collect())),
            ("has_more", Json::Bool(has_more)),
            ("current_rev", Json::number(state.revision)),
        ]);
        (200, page)
    }

    fn watch(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (u16, Json) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, deadline) = (number("watch"), Instant::now() + Duration::from_millis(number("wait_ms")));
        let mut state = self.state.lock().unwrap();
        loop {
            let newer = state.history.iter().filter(|(revision, of, ..)| *revision > after && of == kind);
            let event = |(_, _, object, deleted): &(u64, String, Json, bool)| {
                Json::map([("object", object.clone()), ("deleted", Json::Bool(*deleted))])
            };
            let events: Vec<Json> = newer.map(event).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let current = Json::number(state.revision);
                return (200, Json::map([("events", Json::List(events)), ("current_rev", current)]));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn create(&self, kind: &str, body: &str) -> (u16, Json) {
        let Some(body) = Json::parse(body) else { return (400, Json::Null) };
        let name = body.get("metadata").get("name").as_text().to_owned();
        let mut state = self.state.lock().unwrap();
        if let Some(object) = state.get(kind, &name) {
            return (409, object.clone());
        }
        let object = state.put(kind, &name, body.get("spec").clone());
        self.changed.notify_all();
        (200, object)
    }

    fn replace(&self, kind: &str, name: &str, body: &str) -> (u16, Json) {
        let Some(body) = Json::parse(body) else { return (400, Json::Null) };
        let mut state = self.state.lock().unwrap();
        let Some(object) = state.get(kind, name).cloned() else { return (404, Json::Null) };
        let expected = body.get("metadata").get("revision");
        if *expected != Json::Null && expected.as_u64() != revision_of(&object) {
            return (409, object);
        }
        // A replacement that changes nothing keeps the revision.
        if object.get("spec") == body.get("spec") {
            return (200, object);
        }
        let object = state.put(kind, name, body.get("spec").clone());
        self.changed.notify_all();
        (200, object)
    }

    fn set_status(&self, kind: &str, name: &str, body: &str) -> (u16, Json) {
        let Some(body) = Json::parse(body) else { return (400, Json::Null) };
        let mut state = self.state.lock().unwrap();
        let Some(mut object) = state.get(kind, name).cloned() else { return (404, Json::Null) };
        object.set("status", body.get("status").clone());
        state.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        (200, object)
    }

    fn remove(&self, kind: &str, name: &str, expected: Option<&str>) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        let Some(object) = state.get(kind, name).cloned() else { return (404, Json::Null) };
        if expected.is_some_and(|expected| expected.parse() != Ok(revision_of(&object))) {
            return (409, object);
        }
        state.objects.remove(&(kind.to_owned(), name.to_owned()));
        state.revision += 1;
        let revision = state.revision;
        state.history.push((revision, kind.to_owned(), object, true));
        self.changed.notify_all();
        (200, Json::Null)
    }
}

/// Decodes a percent-encoded part of a path.
fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut plain, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let digits = bytes.get(at + 1..at + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()).filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                plain.push(byte);
                at += 3;
            }
            None => {
                plain.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}
