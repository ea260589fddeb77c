//! Orders: requests that run at most once; section 4.4 of `docs/design.md`.

use jm_http::Request;
use jm_order::{RequestDigest, SignedTicket, Ticket};
use jm_types::{MemberId, OrganisationId, ResultCode};

use crate::{
    Entry,
    access::Admission,
    call::Failure,
    execution::{Answer, Execution},
    order_store::settle_key,
    refusal::Refusal,
    tickets::obtain,
};

/// Header with a ticket from `/v1/tickets`.
const ORDER_TICKET_HEADER: &str = "order-ticket";
/// Header with the caller's own key of an order.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// By what a caller names an order, so that it can ask for it again.
pub(crate) struct OrderNames {
    ticket: Option<String>,
    idempotency_key: Option<String>,
    digest: RequestDigest,
}

impl OrderNames {
    /// Reads the names from the request's headers.
    pub(crate) fn of(request: &Request, body: &[u8]) -> Self {
        let header = |name: &str| request.header(name).map(|values| values.as_str().to_owned());
        let url = request.url();
        let path = match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_owned(),
        };
        Self {
            ticket: header(ORDER_TICKET_HEADER),
            idempotency_key: header(IDEMPOTENCY_KEY_HEADER),
            digest: RequestDigest::of(request.method().as_ref(), &path, body),
        }
    }
}

/// The ticket of one order.
struct OrderTicket {
    signed: SignedTicket,
    /// Whether another request may use the ticket as well. A failure of this request then says nothing about the order.
    shared: bool,
}

/// Runs an order at the dispatch daemon that its ticket names, and gives the ticket with the answer.
pub(crate) async fn run_order(
    execution: &mut Execution,
    admission: &Admission,
    names: OrderNames,
) -> Result<(Answer, String), Refusal> {
    let ticket = find_ticket(execution, admission, names).await?;
    let text = ticket.signed.to_string();
    let sent = send(execution, &ticket).await;
    match sent {
        Ok(answer) => Ok((answer, text)),
        Err(refusal) => Err(refusal.with_ticket(&text)),
    }
}

async fn find_ticket(
    execution: &Execution,
    admission: &Admission,
    names: OrderNames,
) -> Result<OrderTicket, Refusal> {
    let entry = &execution.entry;
    let service = &admission.service.id;
    let organisation = admission.caller.as_ref().map(|caller| &caller.organisation);
    match (names.ticket, names.idempotency_key) {
        (Some(_), Some(_)) => {
            let message = "send either order-ticket or idempotency-key";
            Err(Refusal::new(ResultCode::MalformedRequest, message))
        }
        (Some(text), None) => {
            let signed: SignedTicket = text.parse()?;
            check_owner(signed.verify(&entry.node.ticket_secret)?, organisation, admission)?;
            Ok(OrderTicket { signed, shared: true })
        }
        (None, Some(key)) => {
            let Some(organisation) = organisation else {
                let message = "an idempotency-key needs a service with keys; use order-ticket";
                return Err(Refusal::new(ResultCode::MalformedRequest, message));
            };
            let own = obtain(entry, Some(organisation.clone()), service).await?;
            let settled = settle_key(&entry.node, organisation, &key, names.digest, own);
            let watch = execution.watch();
            let signed = watch.unless_cut(settled).await.map_err(not_begun)??;
            signed
                .verify(&entry.node.ticket_secret)
                .map_err(|error| Refusal::new(ResultCode::Internal, error.to_string()))?;
            Ok(OrderTicket { signed, shared: true })
        }
        (None, None) => {
            let signed = obtain(entry, organisation.cloned(), service).await?;
            Ok(OrderTicket {
                signed,
                shared: false,
            })
        }
    }
}

/// The refusal of an order whose key was withdrawn before the order was sent.
fn not_begun(refusal: Refusal) -> Refusal {
    match refusal.code {
        ResultCode::CutByWithdrawal => refusal.not_run(ResultCode::WithdrawnKey),
        _ => refusal.not_run(ResultCode::NotFresh),
    }
}

fn check_owner(
    ticket: &Ticket,
    organisation: Option<&OrganisationId>,
    admission: &Admission,
) -> Result<(), Refusal> {
    // The dispatch daemon that issued a ticket for an open service knows whom it named there.
    let is_own = organisation.is_none_or(|organisation| *organisation == ticket.organisation);
    if is_own && ticket.service == admission.service.id {
        return Ok(());
    }
    let message = "the ticket was issued for another service or organisation";
    Err(Refusal::new(ResultCode::TicketMismatch, message))
}

async fn send(execution: &mut Execution, ticket: &OrderTicket) -> Result<Answer, Refusal> {
    let member = issuer(&execution.entry, &ticket.signed).await?;
    execution.request.ticket = Some(ticket.signed.to_string());
    let attempt = match execution.start_at(&member).await {
        Ok(call) => execution.first_part(call).await,
        Err(failure) => Err(failure),
    };
    attempt.map_err(|failure| {
        let is_link = matches!(failure, Failure::Link { .. });
        let refusal = failure.into_refusal();
        match ticket.shared && is_link {
            true => refusal.after_possible_run(ResultCode::OutcomeUnknown),
            false => refusal,
        }
    })
}

/// The dispatch daemon that issued the ticket. When its run has ended, nobody knows the outcome.
async fn issuer(entry: &Entry, signed: &SignedTicket) -> Result<MemberId, Refusal> {
    let node = &entry.node;
    let ticket = signed.verify(&node.ticket_secret)?;
    // The issuer may have registered after this daemon last read the list.
    if node.peers.get(&ticket.member, node.now()).is_none() {
        node.wait_for_registrations().await;
    }
    let peer = node.peers.get(&ticket.member, node.now());
    // A registration that is older than the ticket is about to be replaced; the daemon itself checks its run.
    let is_there = peer.is_some_and(|peer| peer.record.incarnation <= ticket.incarnation);
    if is_there {
        return Ok(ticket.member.clone());
    }
    let message = "the daemon that issued the ticket is gone, and the outcome of the order with it";
    Err(Refusal::new(ResultCode::OutcomeUnknown, message))
}
