//! Guards against a call that is reported as not written and later reaches the other daemon, for example when that
//! daemon resumes after a freeze.

use std::sync::{Arc, Mutex, PoisonError};

use async_std::{
    channel::{Receiver, Sender, unbounded},
    net::TcpListener,
    task,
};
use async_trait::async_trait;
use futures::FutureExt;
use jm_link::{
    FleetSecret, LinkError, LinkHandler, LinkOptions, LinkPool, LinkServer, PeerReply, PeerRequest,
    ReplySender, ReplyStream,
};
use jm_standins::{Direction, Flow, Relay};
use jm_types::{DurationMs, Revision};

/// Calls and bytes per call that exceed the capacity of all socket buffers between the two sides.
const FILLING_CALLS: usize = 3;
const FILLING_BYTES: usize = 15_000_000;

/// Number of calls that are queued behind the calls that fill the buffers.
const WAITING_CALLS: u64 = 20;

/// Records `ReadConfig` calls without replying, so that a call ends only with its connection.
struct Recorder {
    calls: Mutex<Vec<u64>>,
    ended: Sender<()>,
}

struct NotifyOnDrop(Sender<()>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        let _ = self.0.try_send(());
    }
}

#[async_trait]
impl LinkHandler for Recorder {
    async fn call(&self, request: PeerRequest, replies: ReplySender) {
        let _notify = NotifyOnDrop(self.ended.clone());
        match request {
            PeerRequest::ReadConfig { after } => {
                let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
                calls.push(after.get());
            }
            PeerRequest::Status => {
                let revision = Revision::new(1);
                let _ = replies.send(PeerReply::Accepted { revision }).await;
            }
            _ => {}
        }
        futures::future::pending::<()>().await;
    }
}

fn options(heartbeat_timeout_ms: u64) -> LinkOptions {
    LinkOptions {
        heartbeat_timeout_ms: DurationMs::new(heartbeat_timeout_ms),
        ..LinkOptions::default()
    }
}

async fn start() -> (Arc<Recorder>, Receiver<()>, Relay) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (ended, ends) = unbounded();
    let recorder = Arc::new(Recorder {
        calls: Mutex::default(),
        ended,
    });
    let handler = Arc::clone(&recorder) as _;
    let server = LinkServer::new(FleetSecret::new("secret"), options(60_000), handler);
    let never = futures::future::pending::<()>().shared();
    task::spawn(Arc::new(server).serve(listener, never));
    let relay = Relay::start("127.0.0.1:0".parse().unwrap(), address, 0)
        .await
        .unwrap();
    (recorder, ends, relay)
}

fn filling_call() -> PeerRequest {
    PeerRequest::StoreStepCopy {
        organisation: "acme".parse().unwrap(),
        step: "step".parse().unwrap(),
        message: vec![0; FILLING_BYTES].into(),
    }
}

#[async_std::test]
async fn not_written_is_never_written() {
    let (recorder, ends, relay) = start().await;
    let pool = LinkPool::new(FleetSecret::new("secret"), options(500));
    let address = relay.address().to_string();
    let mut open = pool.call(&address, PeerRequest::Status).await.unwrap();
    open.next().await.unwrap();
    relay.set_flow(Direction::ToTarget, Flow::Hold);
    relay.set_flow(Direction::ToCaller, Flow::Hold);
    let mut filling: Vec<ReplyStream> = Vec::new();
    for _ in 0..FILLING_CALLS {
        filling.push(pool.call(&address, filling_call()).await.unwrap());
    }
    let mut waiting = Vec::new();
    for number in 0..WAITING_CALLS {
        let after = Revision::new(number);
        waiting.push(
            pool.call(&address, PeerRequest::ReadConfig { after })
                .await
                .unwrap(),
        );
    }
    for call in &mut waiting {
        let error = call.next().await.unwrap_err();
        assert!(
            matches!(error, LinkError::Closed { written: false, .. }),
            "{error:?}"
        );
    }
    relay.set_flow(Direction::ToTarget, Flow::Open);
    relay.set_flow(Direction::ToCaller, Flow::Open);
    // The other side ends the first call after it has read everything up to the end of the connection.
    ends.recv().await.unwrap();
    let calls = recorder.calls.lock().unwrap_or_else(PoisonError::into_inner);
    assert!(calls.is_empty(), "reported as not written and ran: {calls:?}");
}
