//! The trainer's calls.

use std::net::SocketAddr;

use async_std::{future::timeout, io};
use futures::{AsyncBufReadExt, StreamExt, io::Lines};
use jm_http::{Body, Method, Request, Response, Url};
use jm_types::WeightVersion;
use serde::Serialize;

use super::{
    Acknowledgement, NamedVersion, ReadEnd, Sample, StepRequest, StepRun, Trainer, check::StepCheck,
};

/// Statuses below which a refusal is final; from it on, another address may help.
const FIRST_SERVER_ERROR: u16 = 500;

const TOO_MANY_REQUESTS: u16 = 429;

pub(super) enum CallError {
    /// The request was refused for good.
    Refused { status: u16, body: String },
    /// The call failed; another address may help.
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
        if status >= FIRST_SERVER_ERROR || status == TOO_MANY_REQUESTS {
            return Err(CallError::failed(format!("status {status}: {body}")));
        }
        Err(CallError::Refused { status, body })
    }

    async fn post(&self, path: &str, body: &(impl Serialize + Sync)) -> Result<(), CallError> {
        let body = Body::from_json(body).map_err(CallError::failed)?;
        let mut response = self.call(Method::Post, path, Some(body)).await?;
        // A body that is not whole says nothing about the call: its status has come.
        drop(response.body_bytes().await);
        Ok(())
    }

    pub(super) async fn create(&self, step: &StepRequest) -> Result<(), CallError> {
        self.post("/v1/steps", step).await
    }

    /// Names a version; samples of reads that were sent before are not taken any more.
    pub(super) async fn name_version(
        &self,
        run: &mut StepRun,
        version: WeightVersion,
    ) -> Result<(), CallError> {
        let path = format!("/v1/steps/{}/version", run.name);
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
        let path = format!("/v1/steps/{}/ack", run.name);
        self.post(&path, &Acknowledgement { through }).await?;
        run.check.set_acknowledged(through);
        Ok(())
    }

    /// Reads from the last acknowledged sample on, so that repeated samples are compared with their first delivery.
    pub(super) async fn read_samples(&self, run: &mut StepRun) -> Result<ReadEnd, CallError> {
        let response = self.call(Method::Get, &read_path(run), None).await?;
        if let Some(term) = response.header("jm-step-term") {
            run.term = Some(term.last().as_str().to_owned());
        }
        let mut lines = response.lines();
        let before = run.check.result.samples.len() as u64;
        let mut pending = 0;
        while run.check.missing() > 0 {
            let Some(line) = lines.next().await else { break };
            receive(line, &mut run.check)?;
            pending += 1;
            let taken = run.check.result.samples.len() as u64 - before;
            if run.due_version().is_some() {
                return Ok(ReadEnd::VersionDue);
            }
            if self
                .options
                .switch_address_every
                .is_some_and(|most| taken >= most)
            {
                return Ok(ReadEnd::Moved);
            }
            if pending >= self.options.acknowledge_every {
                pending = 0;
                self.acknowledge(run).await?;
            }
        }
        self.read_surplus(&mut lines, &mut run.check).await;
        self.acknowledge(run).await?;
        Ok(ReadEnd::Ended)
    }

    /// Reads on after the last sample for a while, to notice samples that should not come.
    async fn read_surplus(&self, lines: &mut Lines<Response>, check: &mut StepCheck) {
        let linger = self.options.surplus_wait_ms.as_std();
        while check.missing() == 0 {
            let received = match timeout(linger, lines.next()).await {
                Ok(Some(line)) => receive(line, check),
                Ok(None) | Err(_) => return,
            };
            // The step is complete, so a stream that fails now takes nothing away.
            if received.is_err() {
                return;
            }
        }
    }
}

fn read_path(run: &StepRun) -> String {
    let (name, after, version) = (&run.name, run.check.acknowledged(), run.check.version());
    let path = format!("/v1/steps/{name}/samples?after={after}&version={version}");
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
