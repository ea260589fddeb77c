//! The trainer's HTTP calls to an entry daemon.

use std::net::SocketAddr;

use async_std::{future::timeout, io};
use futures::{AsyncBufReadExt, StreamExt, io::Lines};
use jm_http::{Body, Method, Request, Response, Url};
use jm_types::WeightVersion;
use serde::Serialize;

use super::{
    Acknowledgement, NamedVersion, ReadOutcome, Sample, StepRequest, StepRun, Trainer, step_check::StepCheck,
};

/// Lowest status of a server error. The trainer retries server errors and [`TOO_MANY_REQUESTS`] at another address.
/// Every other error status is final.
const MIN_SERVER_ERROR: u16 = 500;

const TOO_MANY_REQUESTS: u16 = 429;

pub(super) enum CallError {
    /// The request was rejected; a retry would get the same result.
    Refused { status: u16, body: String },
    /// The call failed, and a retry at another address may succeed.
    Failed { reason: String },
}

impl CallError {
    pub(super) fn failed(reason: impl ToString) -> Self {
        Self::Failed {
            reason: reason.to_string(),
        }
    }
}

impl Trainer {
    fn address(&self) -> Result<SocketAddr, CallError> {
        let addresses = &self.options.addresses;
        let index = self.current.checked_rem(addresses.len());
        let address = index.and_then(|index| addresses.get(index));
        address
            .copied()
            .ok_or_else(|| CallError::failed("the trainer has no address"))
    }

    async fn call(&self, method: Method, path: &str, body: Option<Body>) -> Result<Response, CallError> {
        let url = Url::parse(&format!("http://{}{path}", self.address()?)).map_err(CallError::failed)?;
        let mut request = Request::new(method, url);
        if let Some(key) = &self.options.key {
            request.insert_header("authorization", format!("Bearer {key}"));
        }
        if let Some(body) = body {
            request.set_body(body);
        }
        let mut response = self.client.send(request).await.map_err(CallError::failed)?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = u16::from(response.status());
        let body = response.body_string().await.unwrap_or_default();
        if status >= MIN_SERVER_ERROR || status == TOO_MANY_REQUESTS {
            return Err(CallError::failed(format!("status {status}: {body}")));
        }
        Err(CallError::Refused { status, body })
    }

    async fn post(&self, path: &str, body: &(impl Serialize + Sync)) -> Result<(), CallError> {
        let body = Body::from_json(body).map_err(CallError::failed)?;
        let mut response = self.call(Method::Post, path, Some(body)).await?;
        // The status already decides the result, so an incomplete body is not an error.
        drop(response.body_bytes().await);
        Ok(())
    }

    pub(super) async fn create(&self, step: &StepRequest) -> Result<(), CallError> {
        self.post("/v1/steps", step).await
    }

    /// Announces a new version. The caller discards the samples of reads that were sent before.
    pub(super) async fn announce_version(
        &self,
        run: &mut StepRun,
        version: WeightVersion,
    ) -> Result<(), CallError> {
        let path = format!("/v1/steps/{}/version", run.step_id);
        let named = NamedVersion {
            weight_version: version,
            received: run.check.last_sequence(),
        };
        self.post(&path, &named).await?;
        run.check.set_version(version);
        run.planned.pop_front();
        Ok(())
    }

    async fn acknowledge(&self, run: &mut StepRun) -> Result<(), CallError> {
        let through = run.check.last_sequence();
        if through == run.check.acknowledged() {
            return Ok(());
        }
        let path = format!("/v1/steps/{}/ack", run.step_id);
        self.post(&path, &Acknowledgement { through }).await?;
        run.check.set_acknowledged(through);
        Ok(())
    }

    /// Reads the samples after the last acknowledged one. Samples that were received but not acknowledged are delivered
    /// again and compared with their first delivery.
    pub(super) async fn read_samples(&self, run: &mut StepRun) -> Result<ReadOutcome, CallError> {
        let response = self.call(Method::Get, &read_path(run), None).await?;
        if let Some(term) = response.header("jm-step-term") {
            run.term = Some(term.last().as_str().to_owned());
        }
        let mut lines = response.lines();
        let before = run.check.result.samples.len() as u64;
        let mut unacknowledged = 0;
        while run.check.missing() > 0 {
            let Some(line) = lines.next().await else { break };
            receive(line, &mut run.check)?;
            unacknowledged += 1;
            let received = run.check.result.samples.len() as u64 - before;
            if run.due_version().is_some() {
                return Ok(ReadOutcome::VersionDue);
            }
            if self
                .options
                .switch_address_every
                .is_some_and(|limit| received >= limit)
            {
                return Ok(ReadOutcome::Moved);
            }
            if unacknowledged >= self.options.acknowledge_every {
                unacknowledged = 0;
                self.acknowledge(run).await?;
            }
        }
        self.read_surplus(&mut lines, &mut run.check).await;
        self.acknowledge(run).await?;
        Ok(ReadOutcome::Ended)
    }

    /// Keeps reading for [`TrainerOptions::surplus_wait_ms`](super::TrainerOptions::surplus_wait_ms) after the last
    /// expected sample, to detect surplus samples.
    async fn read_surplus(&self, lines: &mut Lines<Response>, check: &mut StepCheck) {
        let wait = self.options.surplus_wait_ms.as_std();
        while check.missing() == 0 {
            let received = match timeout(wait, lines.next()).await {
                Ok(Some(line)) => receive(line, check),
                Ok(None) | Err(_) => return,
            };
            // The step is complete, so an error of the stream has no effect on the result.
            if received.is_err() {
                return;
            }
        }
    }
}

fn read_path(run: &StepRun) -> String {
    let (step_id, after, version) = (&run.step_id, run.check.acknowledged(), run.check.version());
    let path = format!("/v1/steps/{step_id}/samples?after={after}&version={version}");
    match &run.term {
        Some(term) => format!("{path}&term={term}"),
        None => path,
    }
}

fn receive(line: io::Result<String>, check: &mut StepCheck) -> Result<(), CallError> {
    let line = line.map_err(CallError::failed)?;
    let sample: Sample = serde_json::from_str(&line).map_err(CallError::failed)?;
    check.receive(sample);
    Ok(())
}
