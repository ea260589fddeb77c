//! Stand-in for the admin API of an entry daemon, and helpers that run commands against it.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_std::{net::TcpListener, task};
use async_trait::async_trait;
use bpaf::Parser;
use futures::FutureExt;
use jacinthmoor::cli::{CliError, OperatorCommand, operator_command};
use jm_config::{Change, ChangeAccepted, ChangeLog, HistoryEntry, Team};
use jm_http::{Connection, Handler, Limits, Method, Request, Response, Server, error_response};
use jm_types::ResultCode;

const TOKEN: &str = "test-token";

/// State of the stand-in, which tests set and inspect.
#[derive(Default)]
pub(crate) struct State {
    /// The log of accepted changes, from which the document follows.
    pub(crate) log: ChangeLog,
    /// Entries that `config history` lists.
    pub(crate) history: Vec<HistoryEntry>,
    /// The bodies of all received changes, including refused ones.
    pub(crate) bodies: Vec<String>,
    /// Number of changes to store and then answer as unknown.
    pub(crate) lost_answers: usize,
    /// Number of changes to answer as unknown without storing them.
    pub(crate) lost_changes: usize,
    /// Result code with which every request is refused.
    pub(crate) refuse: Option<ResultCode>,
    /// The team that the stand-in assigns to authors, as an entry daemon does from the token.
    pub(crate) team: Option<Team>,
    /// Value of `in_force` in the answers to accepted changes.
    pub(crate) in_force: bool,
}

impl State {
    fn answer(&mut self, method: Method, path: &str, body: String) -> Response {
        if let Some(code) = self.refuse {
            return error_response(code, "refused by the test");
        }
        match (method, path) {
            (Method::Get, "/admin/v1/config") => json(&self.log.view()),
            (Method::Post, "/admin/v1/config") => self.change(body),
            (Method::Get, "/admin/v1/config/history") => json(&self.history),
            (Method::Get, "/admin/v1/status") => json(&["one member"]),
            (Method::Get, "/admin/v1/report/burn") => json(&["no burn"]),
            _ => error_response(ResultCode::UnknownEndpoint, path),
        }
    }

    fn change(&mut self, body: String) -> Response {
        let change: Result<Change, _> = serde_json::from_str(&body);
        self.bodies.push(body);
        let mut change = match change {
            Ok(change) => change,
            Err(error) => return error_response(ResultCode::MalformedRequest, &error.to_string()),
        };
        change.author.team = self.team;
        if self.lost_changes > 0 {
            self.lost_changes -= 1;
            return error_response(ResultCode::ChangeUnknown, "not stored");
        }
        match self.store(&change) {
            Ok(_) if self.lost_answers > 0 => {
                self.lost_answers -= 1;
                error_response(ResultCode::ChangeUnknown, "stored")
            }
            Ok(accepted) => json(&accepted),
            Err(refused) => error_response(refused.code(), &refused.to_string()),
        }
    }

    /// Checks and stores a change as an entry daemon does.
    pub(crate) fn store(&mut self, change: &Change) -> Result<ChangeAccepted, jm_config::ChangeRefused> {
        let in_force = self.in_force;
        if let Some(revision) = self.log.repeat_of(change)? {
            return Ok(ChangeAccepted { revision, in_force });
        }
        self.log.check(change)?;
        let revision = self.log.revision().next();
        self.log.apply(revision, change).expect("the next revision");
        self.history.push(HistoryEntry {
            revision,
            change_id: change.change_id.clone(),
            author: change.author.clone(),
            sections: change.edits.iter().map(|edit| edit.section.clone()).collect(),
        });
        Ok(ChangeAccepted { revision, in_force })
    }
}

fn json(value: &impl serde::Serialize) -> Response {
    let mut response = Response::new(200);
    response.set_body(serde_json::to_string(value).expect("JSON"));
    response.insert_header("content-type", "application/json");
    response
}

struct AdminHandler(Arc<Mutex<State>>);

#[async_trait]
impl Handler for AdminHandler {
    async fn handle(&self, mut request: Request, _connection: &Connection) -> Response {
        let token = request
            .header("authorization")
            .map(|values| values.as_str().to_owned());
        if token != Some(format!("Bearer {TOKEN}")) {
            return error_response(ResultCode::MissingKey, "no admin token");
        }
        let body = request.body_string().await.expect("a complete body");
        let (method, path) = (request.method(), request.url().path().to_owned());
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.answer(method, &path, body)
    }
}

/// A running stand-in and a folder for the files of one test.
pub(crate) struct Fixture {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
    folder: PathBuf,
}

impl Fixture {
    /// Starts a stand-in on a free loopback port. `name` must be unique among the tests of one file.
    pub(crate) fn start(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        fs::write(folder.join("token"), format!("{TOKEN}\n")).expect("a file");
        let state = Arc::new(Mutex::new(State {
            in_force: true,
            ..State::default()
        }));
        let server = Server::new(Limits::default(), Arc::new(AdminHandler(Arc::clone(&state))));
        let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let stop = futures::future::pending::<()>().boxed().shared();
        task::spawn(async move { server.serve(listener, stop).await });
        Self {
            state,
            address,
            folder,
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the path of a file in the folder of the test.
    pub(crate) fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    /// Writes a file in the folder of the test and returns its path.
    pub(crate) fn write(&self, name: &str, text: &str) -> String {
        fs::write(self.folder.join(name), text).expect("a file");
        self.path(name)
    }

    /// Reads a file in the folder of the test.
    pub(crate) fn read(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(name)).expect("a file")
    }

    /// Runs a command against the stand-in and returns its output.
    pub(crate) fn run(&self, args: &[&str]) -> Result<String, CliError> {
        let (entry, token) = (self.address.to_string(), self.path("token"));
        let mut args = args.to_vec();
        args.extend(["--entry", &entry, "--token-file", &token]);
        task::block_on(parse(&args).expect("a valid command").output())
    }
}

/// Parses the arguments of an operator command.
pub(crate) fn parse(args: &[&str]) -> Result<OperatorCommand, bpaf::ParseFailure> {
    operator_command().to_options().run_inner(args)
}
