//! Orders: requests that are executed at most once; see section 4.4 of `docs/design.md`.

use jm_http::Request;
use jm_order::{RequestDigest, SignedTicket, Ticket};
use jm_types::{MemberId, OrganisationId, ResultCode};

use crate::{
    Entry,
    access::Admission,
    call::Failure,
    execution::{Answer, Execution},
    order_store::resolve_ticket,
    refusal::Refusal,
    tickets::obtain_ticket,
};

/// Header with a ticket from `/v1/tickets`.
const ORDER_TICKET_HEADER: &str = "order-ticket";
/// Header with an idempotency key that the caller chooses.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Identifies an order by its request headers, so that the caller can retry the order, and by a digest of the request.
pub(crate) struct OrderIdentifiers {
    ticket: Option<String>,
    idempotency_key: Option<String>,
    digest: RequestDigest,
}

impl OrderIdentifiers {
    /// Reads the headers of the request and computes its digest.
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
    /// Whether other requests may use the same ticket. A failure of this request then does not determine the outcome of
    /// the order.
    shared: bool,
}

/// Runs an order on the dispatch daemon that issued its ticket. Returns the answer and the ticket.
pub(crate) async fn run_order(
    execution: &mut Execution,
    admission: &Admission,
    identifiers: OrderIdentifiers,
) -> Result<(Answer, String), Refusal> {
    let ticket = find_ticket(execution, admission, identifiers).await?;
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
    identifiers: OrderIdentifiers,
) -> Result<OrderTicket, Refusal> {
    let entry = &execution.entry;
    let service = &admission.service.id;
    let organisation = admission.caller.as_ref().map(|caller| &caller.organisation);
    match (identifiers.ticket, identifiers.idempotency_key) {
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
                let message = "an idempotency-key requires a keyed service; use order-ticket";
                return Err(Refusal::new(ResultCode::MalformedRequest, message));
            };
            let new_ticket = obtain_ticket(entry, Some(organisation.clone()), service).await?;
            let resolved = resolve_ticket(&entry.node, organisation, &key, identifiers.digest, new_ticket);
            let watch = execution.watch();
            let signed = watch.unless_aborted(resolved).await.map_err(into_not_run)??;
            signed
                .verify(&entry.node.ticket_secret)
                .map_err(|error| Refusal::new(ResultCode::Internal, error.to_string()))?;
            Ok(OrderTicket { signed, shared: true })
        }
        (None, None) => {
            let signed = obtain_ticket(entry, organisation.cloned(), service).await?;
            Ok(OrderTicket {
                signed,
                shared: false,
            })
        }
    }
}

/// Converts the refusal of a request that was aborted before its order was sent into a refusal that says "not run".
fn into_not_run(refusal: Refusal) -> Refusal {
    match refusal.code {
        ResultCode::CutByWithdrawal => refusal.with_not_run_code(ResultCode::WithdrawnKey),
        _ => refusal.with_not_run_code(ResultCode::NotFresh),
    }
}

fn check_owner(
    ticket: &Ticket,
    organisation: Option<&OrganisationId>,
    admission: &Admission,
) -> Result<(), Refusal> {
    // For an open service there is no authenticated organisation to compare. The dispatch daemon that issued the ticket
    // checks the organisation.
    let is_same_organisation = organisation.is_none_or(|organisation| *organisation == ticket.organisation);
    if is_same_organisation && ticket.service == admission.service.id {
        return Ok(());
    }
    let message = "the ticket was issued for another service or organisation";
    Err(Refusal::new(ResultCode::TicketMismatch, message))
}

async fn send(execution: &mut Execution, ticket: &OrderTicket) -> Result<Answer, Refusal> {
    let member = find_issuer(&execution.entry, &ticket.signed).await?;
    execution.request.ticket = Some(ticket.signed.to_string());
    let attempt = match execution.start_at(&member).await {
        Ok(call) => execution.wait_for_first_chunk(call).await,
        Err(failure) => Err(failure),
    };
    attempt.map_err(|failure| {
        let is_link = matches!(failure, Failure::Link { .. });
        let refusal = failure.into_refusal();
        match ticket.shared && is_link {
            true => refusal.with_code_if_not_run(ResultCode::OutcomeUnknown),
            false => refusal,
        }
    })
}

/// The dispatch daemon that issued the ticket. Fails when its run has ended, because the outcome of the order is lost
/// with it.
async fn find_issuer(entry: &Entry, signed: &SignedTicket) -> Result<MemberId, Refusal> {
    let node = &entry.node;
    let ticket = signed.verify(&node.ticket_secret)?;
    // The issuer may have registered after this daemon last read the registrations.
    if node.peers.get(&ticket.member, node.now()).is_none() {
        node.wait_for_registrations().await;
    }
    let peer = node.peers.get(&ticket.member, node.now());
    // A registration that is older than the ticket will be replaced soon. The issuer itself compares its incarnation
    // with that of the ticket.
    let may_be_running = peer.is_some_and(|peer| peer.record.incarnation <= ticket.incarnation);
    if may_be_running {
        return Ok(ticket.member.clone());
    }
    let message =
        "the daemon that issued the ticket has stopped or restarted, so the outcome of the order is unknown";
    Err(Refusal::new(ResultCode::OutcomeUnknown, message))
}
