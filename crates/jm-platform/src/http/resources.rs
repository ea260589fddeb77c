//! Hosts, target orders, usage reports and weights over HTTP.

use async_trait::async_trait;
use jm_http::{Method, StatusCode};
use jm_types::{DurationMs, FencingNumber, ModelId, TargetId, WeightVersion};
use serde::de::DeserializeOwned;
use snafu::ensure;

use super::{ApiResponse, Failure, HttpPlatform};
use crate::{
    FetchError, Host, HostList, MAX_VALUE_BYTES, OrderError, OrderedTarget, ReadError, ReportError,
    TargetOrder, TargetOrders, UsageReporter, WeightInfo, WeightStore, is_valid_key,
    usage::{ConflictingReportSnafu, InvalidWindowSnafu, ReportTooLargeSnafu},
    weight::{RateLimitedSnafu, UnknownVersionSnafu},
    wire::{FENCING_NUMBER, HOSTS_PATH, MODELS_PATH, RETRY_AFTER_MS, TARGETS_PATH, USAGE_PATH},
};

impl From<Failure> for OrderError {
    fn from(failure: Failure) -> Self {
        let reason = failure.reason;
        if failure.may_be_applied {
            Self::OrderAnswerLost { reason }
        } else {
            Self::OrderUnavailable { reason }
        }
    }
}

impl From<Failure> for ReportError {
    fn from(failure: Failure) -> Self {
        let reason = failure.reason;
        if failure.may_be_applied {
            Self::ReportAnswerLost { reason }
        } else {
            Self::ReportUnavailable { reason }
        }
    }
}

impl From<Failure> for FetchError {
    fn from(failure: Failure) -> Self {
        ReadError::from(failure).into()
    }
}

impl ApiResponse {
    fn json<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_slice(&self.body).map_err(|_| self.unexpected())
    }

    fn order_error(&self) -> OrderError {
        match (self.status(), self.json()) {
            (StatusCode::Conflict, Ok(error)) => error,
            _ => self.unexpected().into(),
        }
    }
}

impl HttpPlatform {
    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, ReadError> {
        let response = self.send(self.request(Method::Get, path)?).await?;
        match response.status() {
            StatusCode::Ok => Ok(response.json()?),
            _ => Err(response.unexpected().into()),
        }
    }
}

#[async_trait]
impl HostList for HttpPlatform {
    async fn hosts(&self) -> Result<Vec<Host>, ReadError> {
        self.read(HOSTS_PATH).await
    }
}

#[async_trait]
impl TargetOrders for HttpPlatform {
    async fn order(&self, order: &TargetOrder) -> Result<OrderedTarget, OrderError> {
        let mut request = self.request(Method::Post, TARGETS_PATH)?;
        let body = serde_json::to_vec(order).map_err(|error| OrderError::OrderUnavailable {
            reason: error.to_string(),
        })?;
        request.set_body(body);
        request.insert_header("content-type", "application/json");
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::Ok => Ok(response.json()?),
            _ => Err(response.order_error()),
        }
    }

    async fn release(&self, target: &TargetId, fencing: FencingNumber) -> Result<(), OrderError> {
        let mut request = self.request(Method::Delete, &format!("{TARGETS_PATH}/{target}"))?;
        request.insert_header(FENCING_NUMBER, fencing.to_string());
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::NoContent => Ok(()),
            _ => Err(response.order_error()),
        }
    }

    async fn targets(&self) -> Result<Vec<OrderedTarget>, ReadError> {
        self.read(TARGETS_PATH).await
    }
}

#[async_trait]
impl UsageReporter for HttpPlatform {
    async fn report(&self, window: &str, body: &[u8]) -> Result<(), ReportError> {
        ensure!(is_valid_key(window), InvalidWindowSnafu { window });
        let bytes = body.len();
        ensure!(bytes <= MAX_VALUE_BYTES, ReportTooLargeSnafu { bytes });
        let mut request = self.request(Method::Put, &format!("{USAGE_PATH}{window}"))?;
        request.set_body(body);
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::NoContent => Ok(()),
            StatusCode::Conflict => ConflictingReportSnafu { window }.fail(),
            _ => Err(response.unexpected().into()),
        }
    }
}

#[async_trait]
impl WeightStore for HttpPlatform {
    async fn versions(&self, model: &ModelId) -> Result<Vec<WeightInfo>, ReadError> {
        self.read(&format!("{MODELS_PATH}{model}/versions")).await
    }

    async fn fetch(&self, model: &ModelId, version: WeightVersion) -> Result<Vec<u8>, FetchError> {
        let path = format!("{MODELS_PATH}{model}/versions/{version}");
        let response = self.send(self.request(Method::Get, &path)?).await?;
        match (response.status(), response.header(RETRY_AFTER_MS)) {
            (StatusCode::Ok, _) => Ok(response.body),
            (StatusCode::NotFound, _) => UnknownVersionSnafu.fail(),
            (StatusCode::TooManyRequests, Some(wait_ms)) => RateLimitedSnafu {
                retry_after_ms: DurationMs::new(wait_ms),
            }
            .fail(),
            _ => Err(response.unexpected().into()),
        }
    }
}
