//! Requests to one engine; `docs/engine-api.md` describes them.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use async_std::future::timeout;
use jm_config::Target;
use jm_http::{Client, Method, Request, StatusCode, Url, read_body_to_end};
use jm_lease::{FencingCheck, LeaseGuard, OrderOptions, OrderOutcome, send_guarded_order};
use jm_plan::WeightOrder;
use jm_types::{ByteSize, Clock, DurationMs, FencingNumber, ModelId, WeightVersion};
use serde::{Deserialize, Serialize};

use crate::lease::LONGEST_ORDER_MS;

/// Time after which a load answer is given up.
const LOAD_TIMEOUT_MS: DurationMs = DurationMs::new(1_000);

/// Largest load answer.
const LOAD_BYTES: ByteSize = ByteSize::new(64_000);

/// Longest time for connecting to an engine.
const CONNECT_TIMEOUT_MS: DurationMs = DurationMs::new(1_000);

/// Time by which every order has a result: connecting, the order, and as long again for a busy daemon.
pub(super) const LONGEST_SWAP_MS: DurationMs =
    DurationMs::new(2 * (CONNECT_TIMEOUT_MS.get() + LONGEST_ORDER_MS.get()));

/// What an engine reports of itself.
#[derive(Debug, Deserialize)]
pub(super) struct LoadAnswer {
    versions: HashMap<String, WeightVersion>,
}

impl LoadAnswer {
    /// The loaded version of a model; zero when it is not loaded.
    pub(super) fn version_of(&self, model: &ModelId) -> WeightVersion {
        self.versions.get(model.as_str()).copied().unwrap_or_default()
    }
}

/// Outcome of one order.
#[derive(Debug)]
pub(super) enum Swap {
    /// The engine carried the order out and has this version now.
    Applied(WeightVersion),
    /// The engine has seen a newer fencing number.
    Fenced,
    /// The order failed, or whether it took effect is not known. Loading the same version again is harmless.
    Failed(String),
}

/// Asks an engine what it has loaded.
pub(super) async fn read_load(client: &Client, address: SocketAddr) -> Option<LoadAnswer> {
    let url = Url::parse(&format!("http://{address}/v1/load")).ok()?;
    let exchange = async {
        let mut response = client.send(Request::new(Method::Get, url)).await.ok()?;
        let body = read_body_to_end(response.take_body(), LOAD_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    timeout(LOAD_TIMEOUT_MS.as_std(), exchange).await.ok()?
}

#[derive(Serialize)]
struct OrderBody<'a> {
    order: &'static str,
    model: &'a ModelId,
    version: WeightVersion,
    fencing: FencingNumber,
}

#[derive(Deserialize)]
struct AppliedBody {
    version: Option<WeightVersion>,
}

/// Orders an engine to load a version, in one write under the lease.
pub(super) async fn order_version(
    target: &Target,
    model: &ModelId,
    order: &WeightOrder,
    guard: &LeaseGuard,
    clock: Arc<dyn Clock>,
) -> Swap {
    let request = match order_request(target.address, model, order) {
        Ok(request) => request,
        Err(reason) => return Swap::Failed(reason),
    };
    let options = OrderOptions {
        fencing: match target.checks_orders {
            true => FencingCheck::Checked,
            false => FencingCheck::Ignored,
        },
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
        longest_order_ms: LONGEST_ORDER_MS,
    };
    let address = target.address.to_string();
    match send_guarded_order(&address, request, guard, clock, options).await {
        OrderOutcome::Written { status, body } => read_answer(status, &body),
        OrderOutcome::NotWritten(refusal) => Swap::Failed(refusal.to_string()),
        OrderOutcome::Unknown { reason } => Swap::Failed(reason),
    }
}

fn order_request(address: SocketAddr, model: &ModelId, order: &WeightOrder) -> Result<Request, String> {
    let url = Url::parse(&format!("http://{address}/v1/orders")).map_err(|error| error.to_string())?;
    let body = OrderBody {
        order: "load_version",
        model,
        version: order.version,
        fencing: order.fencing,
    };
    let mut request = Request::new(Method::Post, url);
    request.set_body(serde_json::to_vec(&body).map_err(|error| error.to_string())?);
    request.insert_header("content-type", "application/json");
    Ok(request)
}

fn read_answer(status: StatusCode, body: &[u8]) -> Swap {
    match status {
        StatusCode::Ok => match serde_json::from_slice(body) {
            Ok(AppliedBody {
                version: Some(version),
            }) => Swap::Applied(version),
            Ok(AppliedBody { version: None }) => Swap::Failed("the engine names no version".to_owned()),
            Err(error) => Swap::Failed(error.to_string()),
        },
        StatusCode::Conflict => Swap::Fenced,
        status => Swap::Failed(format!("the engine answered {status}")),
    }
}
