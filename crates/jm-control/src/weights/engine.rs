//! Requests to an engine, as described in `docs/engine-api.md`.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use async_std::future::timeout;
use jm_config::Target;
use jm_http::{Client, Method, Request, StatusCode, Url, read_body_to_end};
use jm_lease::{FencingCheck, LeaseGuard, OrderOptions, OrderOutcome, send_guarded_order};
use jm_plan::WeightOrder;
use jm_types::{ByteSize, Clock, DurationMs, FencingNumber, ModelId, WeightVersion};
use serde::{Deserialize, Serialize};

use crate::lease::MAX_ORDER_DURATION_MS;

/// Timeout of a load request.
const LOAD_TIMEOUT_MS: DurationMs = DurationMs::new(1_000);

/// Maximum size of a load response.
const MAX_LOAD_BYTES: ByteSize = ByteSize::new(64_000);

/// Timeout for connecting to an engine.
const CONNECT_TIMEOUT_MS: DurationMs = DurationMs::new(1_000);

/// Time within which every order has a result. It covers connecting and the order, and is doubled to allow for a busy
/// daemon.
pub(super) const SWAP_TIMEOUT_MS: DurationMs =
    DurationMs::new(2 * (CONNECT_TIMEOUT_MS.get() + MAX_ORDER_DURATION_MS.get()));

/// Load response of an engine.
#[derive(Debug, Deserialize)]
pub(super) struct LoadAnswer {
    versions: HashMap<String, WeightVersion>,
}

impl LoadAnswer {
    /// Returns the loaded version of a model, or 0 if the model is not loaded.
    pub(super) fn version_of(&self, model: &ModelId) -> WeightVersion {
        self.versions.get(model.as_str()).copied().unwrap_or_default()
    }
}

/// Outcome of an order.
#[derive(Debug)]
pub(super) enum SwapOutcome {
    /// The engine carried out the order and has now loaded this version.
    Applied(WeightVersion),
    /// The engine rejected the order because it has received a newer fencing number.
    Fenced,
    /// The order failed or its effect is unknown. Loading the same version again is harmless.
    Failed(String),
}

/// Requests the loaded versions of an engine. Returns `None` on any error or timeout.
pub(super) async fn read_load(client: &Client, address: SocketAddr) -> Option<LoadAnswer> {
    let url = Url::parse(&format!("http://{address}/v1/load")).ok()?;
    let exchange = async {
        let mut response = client.send(Request::new(Method::Get, url)).await.ok()?;
        let body = read_body_to_end(response.take_body(), MAX_LOAD_BYTES)
            .await
            .ok()?;
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

/// Orders an engine to load a version. The order is sent in one write that is guarded by the lease.
pub(super) async fn order_version(
    target: &Target,
    model: &ModelId,
    order: &WeightOrder,
    guard: &LeaseGuard,
    clock: Arc<dyn Clock>,
) -> SwapOutcome {
    let request = match order_request(target.address, model, order) {
        Ok(request) => request,
        Err(reason) => return SwapOutcome::Failed(reason),
    };
    let options = OrderOptions {
        fencing: match target.checks_orders {
            true => FencingCheck::Checked,
            false => FencingCheck::Ignored,
        },
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
        longest_order_ms: MAX_ORDER_DURATION_MS,
    };
    let address = target.address.to_string();
    match send_guarded_order(&address, request, guard, clock, options).await {
        OrderOutcome::Written { status, body } => parse_answer(status, &body),
        OrderOutcome::NotWritten(refusal) => SwapOutcome::Failed(refusal.to_string()),
        OrderOutcome::Unknown { reason } => SwapOutcome::Failed(reason),
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

fn parse_answer(status: StatusCode, body: &[u8]) -> SwapOutcome {
    match status {
        StatusCode::Ok => match serde_json::from_slice(body) {
            Ok(AppliedBody {
                version: Some(version),
            }) => SwapOutcome::Applied(version),
            Ok(AppliedBody { version: None }) => {
                SwapOutcome::Failed("the answer of the engine contains no version".to_owned())
            }
            Err(error) => SwapOutcome::Failed(error.to_string()),
        },
        StatusCode::Conflict => SwapOutcome::Fenced,
        status => SwapOutcome::Failed(format!("the engine answered with status {status}")),
    }
}
