//! Stores the ticket of each idempotency key in the object store.

use async_std::{future::timeout, task};
use jm_node::Node;
use jm_order::{
    CreateOutcome, OrderDecision, OrderKey, OrderRecord, ReadOutcome, RequestDigest, SignedTicket,
};
use jm_platform::{Condition, ObjectError};
use jm_types::{DurationMs, LogEvent, OrganisationId, ResultCode};

use crate::refusal::Refusal;

/// Maximum number of store operations for one order.
const MAX_STORE_CALLS: usize = 8;

/// Number of failed reads after which the store is treated as unavailable.
const MAX_READ_ATTEMPTS: usize = 3;

/// Timeout of one call to the store.
const STORE_TIMEOUT_MS: DurationMs = DurationMs::new(2_000);

/// Delay before a read is retried.
const READ_RETRY_DELAY_MS: DurationMs = DurationMs::new(50);

/// Determines the ticket for an order with the idempotency key `key`: the ticket that an earlier request stored, or
/// else `new_ticket`, which is stored.
pub(crate) async fn resolve_ticket(
    node: &Node,
    organisation: &OrganisationId,
    key: &str,
    digest: RequestDigest,
    new_ticket: SignedTicket,
) -> Result<SignedTicket, Refusal> {
    let store = OrderObject {
        node,
        key: OrderKey::new(organisation.clone(), key).object_key(),
        record: OrderRecord {
            digest,
            ticket: new_ticket,
        },
    };
    let mut decision = OrderDecision::RetryCreate;
    for _ in 0..MAX_STORE_CALLS {
        decision = match decision {
            OrderDecision::Begin(ticket) => return Ok(ticket),
            OrderDecision::Refuse(code) => return Err(refuse(code)),
            OrderDecision::RetryCreate => store.create().await,
            OrderDecision::ReadBack => store.read().await,
        };
    }
    match decision {
        OrderDecision::Begin(ticket) => Ok(ticket),
        OrderDecision::Refuse(code) => Err(refuse(code)),
        _ => Err(refuse(ResultCode::StoreUnavailable)),
    }
}

fn refuse(code: ResultCode) -> Refusal {
    let message = match code {
        ResultCode::RequestMismatch => "the idempotency key was used before with another request",
        ResultCode::StoreUnavailable => {
            "the object API does not respond; this request was not run, but an earlier request with the same key may \
             have run: retry the order later with the same key, and use a ticket of /v1/tickets only for a new order"
        }
        _ => "the stored ticket of the idempotency key cannot be read",
    };
    if code == ResultCode::StoreUnavailable {
        LogEvent::StoreUnavailable.write("refused an order with an idempotency key");
    }
    Refusal::new(code, message)
}

struct OrderObject<'a> {
    node: &'a Node,
    key: String,
    record: OrderRecord,
}

impl OrderObject<'_> {
    async fn create(&self) -> OrderDecision {
        let objects = &self.node.platform.objects;
        let put = objects.put(&self.key, self.record.encode(), Condition::Absent);
        match timeout(STORE_TIMEOUT_MS.as_std(), put).await {
            Ok(Ok(_)) => self.record.decide_create(CreateOutcome::Created),
            Ok(Err(ObjectError::Conflict { .. })) => OrderDecision::ReadBack,
            Ok(Err(ObjectError::AnswerLost { .. })) | Err(_) => {
                self.record.decide_create(CreateOutcome::Unknown)
            }
            Ok(Err(_)) => self.record.decide_create(CreateOutcome::Unavailable),
        }
    }

    async fn read(&self) -> OrderDecision {
        for _ in 0..MAX_READ_ATTEMPTS {
            let get = self.node.platform.objects.get(&self.key);
            match timeout(STORE_TIMEOUT_MS.as_std(), get).await {
                Ok(Ok(Some(object))) => return self.record.decide_read(ReadOutcome::Found(&object.value)),
                Ok(Ok(None)) => return self.record.decide_read(ReadOutcome::Absent),
                Ok(Err(_)) | Err(_) => task::sleep(READ_RETRY_DELAY_MS.as_std()).await,
            }
        }
        self.record.decide_read(ReadOutcome::Unavailable)
    }
}
