//! Fetches the status of a host for operators.

use std::{net::SocketAddr, time::Duration};

use async_std::future::timeout;
use jm_http::{Client, Limits, Method, Request, Reuse, StatusCode, Url};
use jm_node::{decode, encode};
use snafu::Snafu;

use super::{PEER_PATH, PeerReply, PeerRequest};
use crate::status::HostStatus;

/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// The status of a host could not be fetched.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "cannot fetch the status of the host at {address}: {reason}; use the address of its peers' port"
))]
pub struct StatusError {
    address: SocketAddr,
    reason: String,
}

/// Fetches the status of a host. `address` is the one on which the host serves its peers.
///
/// # Errors
///
/// Fails when the host does not answer within 3 s or the reply is not a status.
pub async fn fetch_status(address: SocketAddr) -> Result<HostStatus, StatusError> {
    let failed = |reason: String| StatusError { address, reason };
    let url =
        Url::parse(&format!("http://{address}{PEER_PATH}")).map_err(|error| failed(error.to_string()))?;
    let mut call = Request::new(Method::Post, url);
    call.set_body(encode(&PeerRequest::Status));
    let client = Client::new(Limits::default());
    let exchange = async {
        let mut response = client
            .send_to(address.to_string(), call, Reuse::Fresh)
            .await
            .map_err(|error| error.to_string())?;
        if response.status() != StatusCode::Ok {
            return Err(format!("status {}", response.status()));
        }
        let body = client.read_body(&mut response).await;
        let body = body.map_err(|error| error.to_string())?;
        decode::<PeerReply>(&body).map_err(|error| error.to_string())
    };
    match timeout(STATUS_TIMEOUT, exchange).await {
        Ok(Ok(PeerReply::Status(status))) => Ok(status),
        Ok(Ok(_)) => Err(failed("unexpected reply".to_owned())),
        Ok(Err(reason)) => Err(failed(reason)),
        Err(_) => Err(failed("no answer in time".to_owned())),
    }
}
