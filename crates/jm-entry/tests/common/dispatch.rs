//! Fake dispatch daemons that answer from a script. Connections to them pass through a relay, which can cut them.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use async_std::{net::TcpListener, task};
use async_trait::async_trait;
use futures::FutureExt;
use jm_link::{
    ExecuteRequest, FleetSecret, HeaderLine, LinkHandler, LinkOptions, LinkServer, PeerReply, PeerRequest,
    ReplySender, StepOperation,
};
use jm_node::{MemberRecord, Node, OwnedLoad};
use jm_order::{Ticket, TicketSecret};
use jm_route::ServiceSummary;
use jm_standins::Relay;
use jm_types::{
    Incarnation, MemberId, OrganisationId, Rate, ResultCode, Revision, ServiceId, StepId, TokenCount,
};

const INCARNATION: u64 = 7;

/// Answers to calls that execute requests, used in the order of the calls, and a record of these calls. An answer is a
/// list of actions separated by ` | `: `head STATUS TARGET`, `piece TOKEN VERSION`, `chunk TEXT`, `done`,
/// `refuse CODE`, `hold`.
#[derive(Clone, Default)]
pub(crate) struct Script {
    answers: Arc<Mutex<VecDeque<String>>>,
    executed: Arc<Mutex<Vec<(MemberId, ExecuteRequest)>>>,
}

impl Script {
    pub(crate) fn add_answer(&self, answer: &str) {
        self.answers.lock().unwrap().push_back(answer.to_owned());
    }

    pub(crate) fn executed(&self) -> Vec<(MemberId, ExecuteRequest)> {
        self.executed.lock().unwrap().clone()
    }
}

type StepCall = (OrganisationId, StepId, StepOperation);

pub(crate) struct FakeDispatcher {
    pub(crate) member: MemberId,
    pub(crate) relay: Relay,
    pub(crate) handler: Arc<FakeHandler>,
}

pub(crate) struct FakeHandler {
    member: MemberId,
    script: Script,
    secret: TicketSecret,
    serial: AtomicU64,
    /// The member that tickets name as their issuer instead of this daemon.
    pub(crate) ticket_issuer: Mutex<Option<MemberId>>,
    /// The number of calls that are held open. Cancelled calls are not counted.
    pub(crate) open_calls: Arc<AtomicU64>,
    pub(crate) steps: Mutex<Vec<StepCall>>,
    /// Answers to step operations of this daemon. When it is empty, the daemon answers `UnknownStep`.
    pub(crate) step_answers: Mutex<VecDeque<String>>,
}

struct OpenCall(Arc<AtomicU64>);

impl OpenCall {
    fn new(open_calls: &Arc<AtomicU64>) -> Self {
        open_calls.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(open_calls))
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl FakeDispatcher {
    pub(crate) async fn start(id: &str, script: &Script, node: &Node) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let relay = Relay::start("127.0.0.1:0".parse().unwrap(), address, 0)
            .await
            .unwrap();
        let secret = node.settings.link.secret.expose().to_vec();
        let handler = Arc::new(FakeHandler {
            member: MemberId::new(id).unwrap(),
            script: script.clone(),
            secret: TicketSecret::new(secret.clone()),
            serial: AtomicU64::new(1),
            ticket_issuer: Mutex::default(),
            open_calls: Arc::default(),
            steps: Mutex::default(),
            step_answers: Mutex::default(),
        });
        let secret = FleetSecret::new(secret);
        let server = LinkServer::new(secret, LinkOptions::default(), Arc::clone(&handler) as _);
        let never = futures::future::pending::<()>().shared();
        task::spawn(Arc::new(server).serve(listener, never));
        Self {
            member: handler.member.clone(),
            relay,
            handler,
        }
    }

    pub(crate) fn record(&self) -> MemberRecord {
        MemberRecord {
            id: self.member.clone(),
            incarnation: Incarnation::new(INCARNATION),
            roles: vec!["dispatch".to_owned()],
            zone: "zone-a".parse().unwrap(),
            region: "region".parse().unwrap(),
            link_address: Some(self.relay.address().to_string()),
            entry_address: None,
            leaving: false,
        }
    }
}

/// Registers the daemons at `node`, with free capacity for every service. They report that they applied every revision,
/// so that a proposal is confirmed at once.
pub(crate) fn register(node: &Node, fakes: &[FakeDispatcher]) {
    let now = node.now();
    node.peers
        .set_registered(fakes.iter().map(FakeDispatcher::record).collect(), now, now);
    for fake in fakes {
        let services = ["gen", "desk", "hasty", "catalogue"];
        let owned = OwnedLoad {
            summaries: services.into_iter().map(summary).collect(),
            versions: Vec::new(),
        };
        node.router.update(&fake.member, owned, now);
        node.peers
            .record_contact(&fake.member, Revision::new(1_000), false, now);
    }
}

fn summary(service: &str) -> ServiceSummary {
    let room = TokenCount::new(1_000);
    ServiceSummary {
        zone: "zone-a".parse().unwrap(),
        service: ServiceId::new(service).unwrap(),
        targets: 1,
        queued_live: TokenCount::default(),
        queued_training: TokenCount::default(),
        free_window: room,
        free_training_window: room,
        window: room,
        served_rate: Rate::default(),
        live_fair_rate: Rate::default(),
        training_fair_rate: Rate::default(),
    }
}

impl FakeHandler {
    fn ticket(&self, organisation: Option<OrganisationId>, service: ServiceId) -> String {
        let ticket_issuer = self.ticket_issuer.lock().unwrap().clone();
        let ticket = Ticket {
            member: ticket_issuer.unwrap_or_else(|| self.member.clone()),
            incarnation: Incarnation::new(INCARNATION),
            organisation: organisation.unwrap_or_else(|| "everyone".parse().unwrap()),
            service,
            serial: self.serial.fetch_add(1, Ordering::SeqCst),
            issued: Default::default(),
        };
        self.secret.sign(ticket).to_string()
    }

    fn next_step_answer(&self) -> String {
        let answer = self.step_answers.lock().unwrap().pop_front();
        answer.unwrap_or("refuse UnknownStep".to_owned())
    }
}

#[async_trait]
impl LinkHandler for FakeHandler {
    async fn call(&self, request: PeerRequest, replies: ReplySender) {
        let actions = match request {
            PeerRequest::Execute(request) => {
                self.script
                    .executed
                    .lock()
                    .unwrap()
                    .push((self.member.clone(), *request));
                let answer = self.script.answers.lock().unwrap().pop_front();
                answer.unwrap_or("refuse Internal".to_owned())
            }
            PeerRequest::Step {
                organisation,
                step,
                operation,
            } => {
                self.steps.lock().unwrap().push((organisation, step, operation));
                self.next_step_answer()
            }
            PeerRequest::IssueTicket {
                organisation,
                service,
            } => {
                let ticket = PeerReply::Ticket(self.ticket(organisation, service));
                let _ = replies.send(ticket).await;
                return;
            }
            PeerRequest::Status => {
                let _ = replies
                    .send(PeerReply::Message(br#"{"queued":3}"#.to_vec().into()))
                    .await;
                return;
            }
            _ => return,
        };
        for action in actions.split(" | ") {
            let Some(reply) = reply(action) else {
                let _open = OpenCall::new(&self.open_calls);
                return futures::future::pending().await;
            };
            let _ = replies.send(reply).await;
        }
    }
}

/// Parses one action of a script. Returns `None` for `hold`, which keeps the call open without further replies.
fn reply(action: &str) -> Option<PeerReply> {
    let mut words = action.splitn(3, ' ');
    let (verb, first, second) = (
        words.next()?,
        words.next().unwrap_or(""),
        words.next().unwrap_or(""),
    );
    let text = action.split_once(' ').map_or("", |(_, text)| text);
    Some(match verb {
        "head" => PeerReply::Head {
            status: first.parse().unwrap(),
            headers: vec![HeaderLine {
                name: "jm-target".to_owned(),
                value: second.to_owned(),
            }],
        },
        "piece" => {
            let line = format!("{{\"token\":\"{first}\",\"version\":{second}}}\n");
            PeerReply::Chunk(line.into_bytes().into())
        }
        "chunk" => PeerReply::Chunk(text.as_bytes().to_vec().into()),
        "done" => PeerReply::Done,
        "refuse" => {
            let code = ResultCode::ALL.iter().find(|code| code.name() == text).unwrap();
            PeerReply::refused(*code, "scripted")
        }
        "hold" => return None,
        _ => panic!("{action:?} is not a valid action"),
    })
}
