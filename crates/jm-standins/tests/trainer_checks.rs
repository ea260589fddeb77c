//! The trainer finds what is wrong with the samples of a step. Tests of the step path rely on it.

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

/// What the entry stand-in answers to one read.
enum Reading {
    Whole(Vec<Sample>),
    Cut(Vec<Sample>),
    Unknown,
}

/// A scripted entry daemon.
#[derive(Default)]
struct Entry {
    readings: Mutex<VecDeque<Reading>>,
    created: Mutex<Vec<StepRequest>>,
    paths: Mutex<Vec<String>>,
    acknowledged: Mutex<Vec<Sequence>>,
    refuse_creation: bool,
}

impl Entry {
    fn new(readings: Vec<Reading>) -> Self {
        Self {
            readings: Mutex::new(readings.into()),
            ..Self::default()
        }
    }

    fn read(&self) -> Response {
        let reading = self.readings.lock().unwrap().pop_front();
        let (samples, is_cut) = match reading {
            Some(Reading::Whole(samples)) => (samples, false),
            Some(Reading::Cut(samples)) => (samples, true),
            Some(Reading::Unknown) => return error_response(ResultCode::UnknownStep, "unknown"),
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
        let after = request.url().query().unwrap_or_default().to_owned();
        if request.method() == Method::Get {
            self.paths.lock().unwrap().push(after);
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

/// A correct sample.
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

/// Guards against a trainer that finds fault with a correct step, or that does not acknowledge all of it.
#[async_std::test]
async fn correct_step() {
    let samples = vec![sample(1, 2), sample(2, 0), sample(3, 1)];
    let entry = Arc::new(Entry::new(vec![Reading::Whole(samples)]));
    let result = run(&entry, 3).await.unwrap();
    assert_eq!((result.violations.len(), result.samples.len()), (0, 3));
    assert_eq!(
        *entry.acknowledged.lock().unwrap(),
        [Sequence::new(2), Sequence::new(3)]
    );
}

/// Guards against a trainer that loses or doubles samples when it goes on at another address.
#[async_std::test]
async fn reconnects() {
    let cut = Reading::Cut(vec![sample(1, 0), sample(2, 1), sample(3, 2)]);
    let first = Arc::new(Entry::new(vec![cut]));
    let second = Arc::new(Entry::new(vec![Reading::Whole(vec![sample(3, 2), sample(4, 3)])]));
    let addresses = vec![serve(&first).await, serve(&second).await];
    let result = run_at(addresses, 4).await.unwrap();
    assert_eq!(result.violations, []);
    assert_eq!((result.lines, result.reconnects), (5, 1));
    assert_eq!(*second.paths.lock().unwrap(), ["after=2&version=9"]);
}

/// Guards against a trainer that stays at an address that refuses connections.
#[async_std::test]
async fn dead_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dead = listener.local_addr().unwrap();
    drop(listener);
    let entry = Arc::new(Entry::new(vec![Reading::Whole(vec![sample(1, 0)])]));
    let result = run_at(vec![dead, serve(&entry).await], 1).await.unwrap();
    assert_eq!((result.samples.len(), result.reconnects), (1, 1));
}

async fn violations(samples: Vec<Sample>, count: u64) -> Vec<Violation> {
    let entry = Arc::new(Entry::new(vec![Reading::Whole(samples)]));
    match run(&entry, count).await {
        Ok(result) => result.violations,
        Err(StepError::TooManyFailures { result, .. }) => result.violations,
        Err(refused) => panic!("{refused}"),
    }
}

/// Guards against each fault of a sample that the trainer could overlook.
#[async_std::test]
async fn finds_faults() {
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

/// Guards against a sample that comes after the step is complete and goes unnoticed.
#[async_std::test]
async fn surplus_sample() {
    let slot = SlotIndex::new(0);
    let found = violations(vec![sample(1, 0), sample(2, 0)], 1).await;
    assert_eq!(found, [Violation::SlotRepeated { slot }]);
}

/// Guards against a repeated delivery that differs from the first one.
#[async_std::test]
async fn changed_repetition() {
    let sequence = Sequence::new(1);
    let cut = Reading::Cut(vec![sample(1, 0)]);
    let other = Reading::Whole(vec![sample(1, 1), sample(2, 1)]);
    let entry = Arc::new(Entry::new(vec![cut, other]));
    let result = run(&entry, 2).await.unwrap();
    assert_eq!(result.violations, [Violation::SequenceChanged { sequence }]);
}

/// Guards against a trainer that waits for ever, or that reports an incomplete step as complete.
#[async_std::test]
async fn missing_sample() {
    let entry = Arc::new(Entry::new(vec![Reading::Whole(vec![sample(1, 0)])]));
    let gave_up = run(&entry, 2).await.unwrap_err();
    assert!(matches!(gave_up, StepError::TooManyFailures { missing: 1, .. }));
}

/// Guards against slots that are generated again although the trainer holds them.
#[async_std::test]
async fn forgotten_step() {
    let cut = Reading::Cut(vec![sample(1, 1)]);
    let again = Reading::Whole(vec![sample(1, 0)]);
    let entry = Arc::new(Entry::new(vec![cut, Reading::Unknown, again]));
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

/// Guards against a refusal that is tried again.
#[async_std::test]
async fn refused_step() {
    let entry = Arc::new(Entry {
        refuse_creation: true,
        ..Entry::default()
    });
    let refused = run(&entry, 1).await.unwrap_err();
    assert!(matches!(refused, StepError::Refused { status: 409, .. }));
}
