//! The trainer detects violations in the samples of a step. The tests of the step path rely on these checks.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use async_std::{net::TcpListener, task};
use async_trait::async_trait;
use futures::FutureExt;
use jm_http::{
    Connection, Handler, Limits, Method, Request, Response, Server, StatusCode, channel_body, error_response,
};
use jm_standins::{
    Acknowledgement, Sample, Segment, StepError, StepRequest, StepResult, Trainer, TrainerOptions, Violation,
    expected_text,
};
use jm_types::{DurationMs, ResultCode, Sequence, ServiceId, SlotIndex, StepId, WeightVersion};

const SEED: u64 = 3;
const TOKENS: u64 = 4;

/// Scripted response of the entry daemon to one read of samples.
enum ReadResponse {
    Complete(Vec<Sample>),
    Cut(Vec<Sample>),
    Unknown,
}

/// An entry daemon with scripted responses.
#[derive(Default)]
struct Entry {
    read_responses: Mutex<VecDeque<ReadResponse>>,
    created: Mutex<Vec<StepRequest>>,
    queries: Mutex<Vec<String>>,
    acknowledged: Mutex<Vec<Sequence>>,
    refuse_creation: bool,
}

impl Entry {
    fn new(read_responses: Vec<ReadResponse>) -> Self {
        Self {
            read_responses: Mutex::new(read_responses.into()),
            ..Self::default()
        }
    }

    fn read(&self) -> Response {
        let response = self.read_responses.lock().unwrap().pop_front();
        let (samples, is_cut) = match response {
            Some(ReadResponse::Complete(samples)) => (samples, false),
            Some(ReadResponse::Cut(samples)) => (samples, true),
            Some(ReadResponse::Unknown) => return error_response(ResultCode::UnknownStep, "unknown"),
            None => (vec![], false),
        };
        let (sender, body) = channel_body();
        task::spawn(async move {
            for sample in samples {
                let line = serde_json::to_string(&sample).unwrap() + "\n";
                sender.send(line.into_bytes()).await.unwrap();
            }
            if !is_cut {
                sender.finish().await.unwrap();
            }
        });
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(body);
        response
    }
}

#[async_trait]
impl Handler for Entry {
    async fn handle(&self, mut request: Request, _: &Connection) -> Response {
        let path = request.url().path().to_owned();
        let query = request.url().query().unwrap_or_default().to_owned();
        if request.method() == Method::Get {
            self.queries.lock().unwrap().push(query);
            return self.read();
        }
        if path.ends_with("/ack") {
            let acknowledgement: Acknowledgement = request.body_json().await.unwrap();
            self.acknowledged.lock().unwrap().push(acknowledgement.through);
            return Response::new(StatusCode::NoContent);
        }
        if self.refuse_creation {
            return error_response(ResultCode::StepConflict, "another step has this id");
        }
        let step = request.body_json().await.unwrap();
        self.created.lock().unwrap().push(step);
        Response::new(StatusCode::Created)
    }
}

async fn serve(entry: &Arc<Entry>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::new(Limits::default(), Arc::clone(entry) as _);
    task::spawn(async move { server.serve(listener, futures::future::pending().shared()).await });
    address
}

fn step(samples: u64) -> StepRequest {
    StepRequest {
        step: StepId::new("step-1").unwrap(),
        service: ServiceId::new("drafts").unwrap(),
        weight_version: WeightVersion::new(9),
        staleness_bound: 2,
        group_size: 2,
        samples,
        prompts: (0..samples.div_ceil(2))
            .map(|group| format!("prompt {group}"))
            .collect(),
        max_tokens: TOKENS,
        held: vec![],
    }
}

/// A sample without a violation.
fn sample(sequence: u64, slot: u64) -> Sample {
    Sample {
        sequence: Sequence::new(sequence),
        slot: SlotIndex::new(slot),
        attempt: None,
        segments: vec![Segment {
            version: WeightVersion::new(8),
            tokens: TOKENS,
        }],
        text: expected_text(SEED, &format!("prompt {}", slot / 2), 0, TOKENS),
    }
}

fn changed(mut sample: Sample, change: impl FnOnce(&mut Sample)) -> Sample {
    change(&mut sample);
    sample
}

async fn run_at(addresses: Vec<SocketAddr>, samples: u64) -> Result<StepResult, StepError> {
    let options = TrainerOptions {
        addresses,
        retry_delay_ms: DurationMs::new(1),
        max_failures: 3,
        acknowledge_every: 2,
        engine_seed: Some(SEED),
        ..TrainerOptions::default()
    };
    Trainer::new(options).run(&step(samples)).await
}

async fn run(entry: &Arc<Entry>, samples: u64) -> Result<StepResult, StepError> {
    run_at(vec![serve(entry).await], samples).await
}

/// Guards against a trainer that reports a violation for a correct step, or that does not acknowledge all its samples.
#[async_std::test]
async fn correct_step() {
    let samples = vec![sample(1, 2), sample(2, 0), sample(3, 1)];
    let entry = Arc::new(Entry::new(vec![ReadResponse::Complete(samples)]));
    let result = run(&entry, 3).await.unwrap();
    assert_eq!((result.violations.len(), result.samples.len()), (0, 3));
    assert_eq!(
        *entry.acknowledged.lock().unwrap(),
        [Sequence::new(2), Sequence::new(3)]
    );
}

/// Guards against a trainer that loses or duplicates samples when it continues at another address.
#[async_std::test]
async fn reconnects() {
    let cut = ReadResponse::Cut(vec![sample(1, 0), sample(2, 1), sample(3, 2)]);
    let first = Arc::new(Entry::new(vec![cut]));
    let second = Arc::new(Entry::new(vec![ReadResponse::Complete(vec![
        sample(3, 2),
        sample(4, 3),
    ])]));
    let addresses = vec![serve(&first).await, serve(&second).await];
    let result = run_at(addresses, 4).await.unwrap();
    assert_eq!(result.violations, []);
    assert_eq!((result.lines, result.reconnects), (5, 1));
    assert_eq!(*second.queries.lock().unwrap(), ["after=2&version=9"]);
}

/// Guards against a trainer that keeps using an address that refuses connections.
#[async_std::test]
async fn dead_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dead = listener.local_addr().unwrap();
    drop(listener);
    let entry = Arc::new(Entry::new(vec![ReadResponse::Complete(vec![sample(1, 0)])]));
    let result = run_at(vec![dead, serve(&entry).await], 1).await.unwrap();
    assert_eq!((result.samples.len(), result.reconnects), (1, 1));
}

async fn violations(samples: Vec<Sample>, count: u64) -> Vec<Violation> {
    let entry = Arc::new(Entry::new(vec![ReadResponse::Complete(samples)]));
    match run(&entry, count).await {
        Ok(result) => result.violations,
        Err(StepError::TooManyFailures { result, .. }) => result.violations,
        Err(refused) => panic!("{refused}"),
    }
}

/// Guards against a violation that the trainer does not detect.
#[async_std::test]
async fn detects_violations() {
    let slot = SlotIndex::new(0);
    let other_text = changed(sample(2, 0), |sample| sample.text.push('x'));
    let found = violations(vec![sample(1, 0), other_text, sample(3, 1)], 2).await;
    assert_eq!(found, [Violation::SlotChanged { slot }]);
    let found = violations(vec![sample(1, 0), sample(2, 0), sample(3, 1)], 2).await;
    assert_eq!(found, [Violation::SlotRepeated { slot }]);
    let sequence = Sequence::new(3);
    let found = violations(vec![sample(1, 0), sample(3, 1)], 2).await;
    assert_eq!(found, [Violation::SequenceGap { sequence }]);
    let unexpected = SlotIndex::new(7);
    let found = violations(vec![sample(1, 7), sample(2, 0)], 1).await;
    assert_eq!(found, [Violation::UnexpectedSlot { slot: unexpected }]);
    let found = violations(vec![changed(sample(1, 0), |sample| sample.segments.clear())], 1).await;
    assert_eq!(found, [Violation::NoVersion { slot }]);
    let version = WeightVersion::new(6);
    let old = changed(sample(1, 0), |sample| sample.segments[0].version = version);
    assert_eq!(
        violations(vec![old], 1).await,
        [Violation::TooOld { slot, version }]
    );
    let short = changed(sample(1, 0), |sample| sample.segments[0].tokens -= 1);
    assert_eq!(
        violations(vec![short], 1).await,
        [Violation::WrongLength { slot }]
    );
    let wrong = changed(sample(1, 0), |sample| sample.text.clear());
    assert_eq!(violations(vec![wrong], 1).await, [Violation::WrongText { slot }]);
}

/// Guards against a surplus sample after the end of the step that the trainer does not detect.
#[async_std::test]
async fn surplus_sample() {
    let slot = SlotIndex::new(0);
    let found = violations(vec![sample(1, 0), sample(2, 0)], 1).await;
    assert_eq!(found, [Violation::SlotRepeated { slot }]);
}

/// Guards against a redelivered sample that differs from its first delivery without a reported violation.
#[async_std::test]
async fn changed_redelivery() {
    let sequence = Sequence::new(1);
    let cut = ReadResponse::Cut(vec![sample(1, 0)]);
    let other = ReadResponse::Complete(vec![sample(1, 1), sample(2, 1)]);
    let entry = Arc::new(Entry::new(vec![cut, other]));
    let result = run(&entry, 2).await.unwrap();
    assert_eq!(result.violations, [Violation::SequenceChanged { sequence }]);
}

/// Guards against a trainer that waits forever, or that reports an incomplete step as complete.
#[async_std::test]
async fn missing_sample() {
    let entry = Arc::new(Entry::new(vec![ReadResponse::Complete(vec![sample(1, 0)])]));
    let error = run(&entry, 2).await.unwrap_err();
    assert!(matches!(error, StepError::TooManyFailures { missing: 1, .. }));
}

/// Guards against slots that are generated again although the trainer holds them, after the entry daemon has lost the
/// step.
#[async_std::test]
async fn unknown_step_is_recreated() {
    let cut = ReadResponse::Cut(vec![sample(1, 1)]);
    let again = ReadResponse::Complete(vec![sample(1, 0)]);
    let entry = Arc::new(Entry::new(vec![cut, ReadResponse::Unknown, again]));
    let result = run(&entry, 2).await.unwrap();
    assert_eq!((result.violations.len(), result.recreations), (0, 1));
    let held: Vec<_> = entry
        .created
        .lock()
        .unwrap()
        .iter()
        .map(|step| step.held.clone())
        .collect();
    assert_eq!(held, [vec![], vec![SlotIndex::new(1)]]);
}

/// Guards against a retry of a step that was rejected for good.
#[async_std::test]
async fn refused_step() {
    let entry = Arc::new(Entry {
        refuse_creation: true,
        ..Entry::default()
    });
    let refused = run(&entry, 1).await.unwrap_err();
    assert!(matches!(refused, StepError::Refused { status: 409, .. }));
}
