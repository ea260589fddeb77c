//! `POST /v1/tickets`: tickets for orders.

use std::sync::Arc;

use jm_config::{ServiceAccess, ServiceKind};
use jm_http::{Request, Response, StatusCode};
use jm_link::{PeerReply, PeerRequest};
use jm_order::SignedTicket;
use jm_route::Class;
use jm_types::{DurationMs, MemberId, OrganisationId, ResultCode, ServiceId};
use serde::{Deserialize, Serialize};

use crate::{
    Entry,
    access::{authenticate, find_service},
    call::Failure,
    input::{body_bytes, json_response, parse_json},
    refusal::Refusal,
};

/// Maximum number of dispatch daemons that are asked for a ticket before the order is refused. The retry budget does
/// not apply, because issuing a ticket causes no load on a target.
const MAX_ATTEMPTS: usize = 3;

/// Timeout for a ticket from a dispatch daemon, which issues it without calls to other daemons.
const ISSUE_TIMEOUT_MS: DurationMs = DurationMs::new(2_000);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TicketRequest {
    service: ServiceId,
}

#[derive(Serialize)]
struct TicketAnswer {
    ticket: String,
}

/// Handles `POST /v1/tickets`.
pub(crate) async fn issue(entry: &Arc<Entry>, mut request: Request) -> Result<Response, Refusal> {
    let node = &entry.node;
    let body = body_bytes(node, &mut request).await?;
    let ticket_request: TicketRequest = parse_json(&body)?;
    let service = find_service(node, &ticket_request.service, ServiceKind::Plain)?;
    let organisation = match service.access {
        ServiceAccess::Open => None,
        ServiceAccess::Keyed => Some(authenticate(node, &request)?.organisation),
    };
    let ticket = obtain_ticket(entry, organisation, &service.id).await?;
    let content = TicketAnswer {
        ticket: ticket.to_string(),
    };
    json_response(StatusCode::Ok, &content)
}

/// Obtains a ticket from a dispatch daemon. A refusal always says "not run", because no order was sent.
pub(crate) async fn obtain_ticket(
    entry: &Entry,
    organisation: Option<OrganisationId>,
    service: &ServiceId,
) -> Result<SignedTicket, Refusal> {
    let mut avoid = Vec::new();
    let mut refusal = Refusal::new(ResultCode::NoTarget, "no live target serves the service");
    for _ in 0..MAX_ATTEMPTS {
        let chosen = entry.node.choose_dispatcher(service, Class::Live, None, &avoid);
        let Some(member) = chosen else { break };
        match request_ticket(entry, &member, organisation.clone(), service).await {
            Ok(ticket) => return Ok(ticket),
            Err(failure) => {
                let is_repeatable = failure.is_repeatable() || matches!(failure, Failure::Timeout);
                refusal = failure
                    .into_refusal()
                    .with_not_run_code(ResultCode::DispatchUnreachable);
                if !is_repeatable {
                    break;
                }
            }
        }
        avoid.push(member);
    }
    Err(refusal)
}

async fn request_ticket(
    entry: &Entry,
    member: &MemberId,
    organisation: Option<OrganisationId>,
    service: &ServiceId,
) -> Result<SignedTicket, Failure> {
    let request = PeerRequest::IssueTicket {
        organisation,
        service: service.clone(),
    };
    let mut replies = entry.node.call_member(member, request).await?;
    match replies.next_within(ISSUE_TIMEOUT_MS).await? {
        Some(PeerReply::Ticket(text)) => read_ticket(entry, &text),
        Some(PeerReply::Refused { code, message }) => Err(Failure::refused(code, message)),
        _ => Err(Failure::refused(
            ResultCode::DispatchUnreachable,
            "the dispatch daemon did not issue a ticket",
        )),
    }
}

fn read_ticket(entry: &Entry, text: &str) -> Result<SignedTicket, Failure> {
    let ticket: Result<SignedTicket, _> = text.parse();
    let ticket = ticket
        .ok()
        .filter(|ticket| ticket.verify(&entry.node.ticket_secret).is_ok());
    ticket.ok_or_else(|| {
        let message = "the dispatch daemon issued an invalid ticket";
        Failure::refused(ResultCode::DispatchUnreachable, message)
    })
}
