//! Orders that load weight versions or adapters or change the role.

use std::sync::Arc;

use async_std::task;
use jm_http::{Response, StatusCode};
use jm_types::{FencingNumber, ModelId, WeightVersion};
use serde::{Deserialize, Serialize};

use super::{EngineInner, EngineState, Role};
use crate::server::json_response;

/// Kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a version of a model; running streams continue with the new version.
    LoadVersion,
    /// Load an adapter for a model.
    LoadAdapter,
    /// Change the engine's role.
    SetRole,
}

/// Body of `POST /v1/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Kind of the order.
    pub order: OrderKind,
    /// The model whose weights or adapter to load.
    pub model: ModelId,
    /// The version to load; used by [`OrderKind::LoadVersion`] only.
    #[serde(default)]
    pub version: WeightVersion,
    /// The new role; used by [`OrderKind::SetRole`] only.
    #[serde(default)]
    pub role: Role,
    /// Fencing number of the lease that the sender holds.
    pub fencing: FencingNumber,
}

/// Body of the response to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum OrderAnswer {
    /// The order was carried out; HTTP status 200.
    Applied {
        /// The loaded version of the order's model; `None` when the model is not loaded.
        version: Option<WeightVersion>,
    },
    /// The engine has accepted a newer fencing number and rejected the order; HTTP status 409.
    StaleFencing {
        /// The newest fencing number that the engine has accepted.
        newest: FencingNumber,
    },
    /// The order failed and the engine's state is unchanged; HTTP status 500.
    Failed,
}

/// A received order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedOrder {
    /// The order as sent.
    pub order: Order,
    /// Whether its fencing number was accepted.
    pub accepted: bool,
}

impl EngineInner {
    fn accept(&mut self, order: &Order) -> Result<(), OrderAnswer> {
        let newest = self.newest_fencing;
        let accepted = !self.settings.check_fencing || order.fencing >= newest;
        self.orders.push(ReceivedOrder {
            order: order.clone(),
            accepted,
        });
        if !accepted {
            return Err(OrderAnswer::StaleFencing { newest });
        }
        self.newest_fencing = newest.max(order.fencing);
        Ok(())
    }

    fn apply(&mut self, order: Order) -> OrderAnswer {
        if self.settings.failing_orders > 0 {
            self.settings.failing_orders -= 1;
            return OrderAnswer::Failed;
        }
        match order.order {
            OrderKind::LoadVersion => {
                self.models.insert(order.model.clone(), order.version);
            }
            OrderKind::SetRole => self.role = order.role,
            // Adapters do not change what the stand-in generates.
            OrderKind::LoadAdapter => {}
        }
        self.record_load();
        OrderAnswer::Applied {
            version: self.models.get(&order.model).copied(),
        }
    }
}

/// Carries out an order in a separate task, so that an accepted order completes even when its caller disconnects.
pub(super) async fn run(state: &Arc<EngineState>, order: Order) -> Response {
    let accepted = state.inner().accept(&order);
    if let Err(refused) = accepted {
        return json_response(StatusCode::Conflict, &refused);
    }
    let state = Arc::clone(state);
    let answer = task::spawn(async move {
        let time = state.inner().settings.order_time_ms.as_std();
        task::sleep(time).await;
        state.inner().apply(order)
    });
    let answer = answer.await;
    let status = match answer {
        OrderAnswer::Failed => StatusCode::InternalServerError,
        _ => StatusCode::Ok,
    };
    json_response(status, &answer)
}
