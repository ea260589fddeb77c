//! Calls between two daemons: order of replies, reporting of unwritten requests, authentication and flow control.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use async_std::{channel::Sender, net::TcpListener, task};
use async_trait::async_trait;
use futures::FutureExt;
use jm_link::{
    FleetSecret, LinkError, LinkHandler, LinkOptions, LinkPool, LinkServer, PeerReply, PeerRequest,
    ReplySender,
};
use jm_types::{DurationMs, Revision};

/// Replies to `ReadConfig {after: n}` with n chunks. Accepts `Status` and never ends that call.
struct ChunkHandler {
    sent_chunks: AtomicUsize,
    dropped: Sender<()>,
}

const CHUNK_BYTES: usize = 10_000;

struct NotifyOnDrop(Sender<()>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        let _ = self.0.try_send(());
    }
}

#[async_trait]
impl LinkHandler for ChunkHandler {
    async fn call(&self, request: PeerRequest, replies: ReplySender) {
        let _notify = NotifyOnDrop(self.dropped.clone());
        match request {
            PeerRequest::ReadConfig { after } => {
                for index in 0..after.get() {
                    let chunk = vec![u8::try_from(index % 251).unwrap(); CHUNK_BYTES];
                    if replies.send(PeerReply::Chunk(chunk.into())).await.is_err() {
                        return;
                    }
                    self.sent_chunks.fetch_add(1, Ordering::SeqCst);
                }
                let _ = replies.send(PeerReply::Done).await;
            }
            _ => {
                let _ = replies
                    .send(PeerReply::Accepted {
                        revision: Revision::new(1),
                    })
                    .await;
                futures::future::pending::<()>().await;
            }
        }
    }
}

struct Fixture {
    address: String,
    handler: Arc<ChunkHandler>,
    dropped: async_std::channel::Receiver<()>,
}

async fn start(secret: &str) -> Fixture {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (sender, dropped) = async_std::channel::unbounded();
    let handler = Arc::new(ChunkHandler {
        sent_chunks: AtomicUsize::new(0),
        dropped: sender,
    });
    let server = LinkServer::new(
        FleetSecret::new(secret),
        LinkOptions::default(),
        Arc::clone(&handler) as _,
    );
    let never = futures::future::pending::<()>().shared();
    task::spawn(Arc::new(server).serve(listener, never));
    Fixture {
        address,
        handler,
        dropped,
    }
}

fn pool(secret: &str) -> LinkPool {
    LinkPool::new(FleetSecret::new(secret), LinkOptions::default())
}

#[async_std::test]
async fn replies_arrive_completely_and_in_order() {
    let fixture = start("secret").await;
    let pool = pool("secret");
    let mut replies = pool
        .call(
            &fixture.address,
            PeerRequest::ReadConfig {
                after: Revision::new(100),
            },
        )
        .await
        .unwrap();
    for index in 0..100_u64 {
        let Some(PeerReply::Chunk(bytes)) = replies.next().await.unwrap() else {
            panic!("expected a chunk")
        };
        assert_eq!(bytes.len(), CHUNK_BYTES);
        assert_eq!(u64::from(bytes[0]), index % 251);
    }
    assert_eq!(replies.next().await.unwrap(), Some(PeerReply::Done));
    assert_eq!(replies.next().await.unwrap(), None);
}

/// Guards against unbounded buffering in the replying daemon when a caller stops reading.
#[async_std::test]
async fn slow_reader_pauses_the_sender() {
    let fixture = start("secret").await;
    let pool = pool("secret");
    let mut replies = pool
        .call(
            &fixture.address,
            PeerRequest::ReadConfig {
                after: Revision::new(1_000),
            },
        )
        .await
        .unwrap();
    replies.next().await.unwrap();
    // A second call on the same connection completes although the replies of the first call are not read.
    let mut other = pool
        .call(
            &fixture.address,
            PeerRequest::ReadConfig {
                after: Revision::new(1),
            },
        )
        .await
        .unwrap();
    while other.next().await.unwrap().is_some() {}
    let window_chunks = 256_000 / CHUNK_BYTES + 2;
    assert!(fixture.handler.sent_chunks.load(Ordering::SeqCst) <= window_chunks + 1);
    let mut chunks = 1;
    while let Some(PeerReply::Chunk(_)) = replies.next().await.unwrap() {
        chunks += 1;
    }
    assert_eq!(chunks, 1_000);
}

/// Guards against work that continues after its caller has dropped the call.
#[async_std::test]
async fn dropped_call_is_cancelled() {
    let fixture = start("secret").await;
    let pool = pool("secret");
    let mut replies = pool.call(&fixture.address, PeerRequest::Status).await.unwrap();
    // Waits for the first reply, because a call that is cancelled before its task starts never creates the notifier.
    replies.next().await.unwrap();
    drop(replies);
    fixture.dropped.recv().await.unwrap();
}

/// Guards against a connection from a daemon of another fleet or from an unknown client.
#[async_std::test]
async fn wrong_secret_is_refused() {
    let fixture = start("secret").await;
    let pool = pool("other secret");
    let mut replies = match pool.call(&fixture.address, PeerRequest::Status).await {
        Ok(replies) => replies,
        Err(error) => {
            assert!(!error.request_written());
            return;
        }
    };
    assert!(matches!(replies.next().await, Err(LinkError::Closed { .. })));
}

/// Guards against reporting a request as written although no connection could be opened.
#[async_std::test]
async fn unreachable_daemon_means_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let error = pool("secret")
        .call(&address, PeerRequest::Status)
        .await
        .unwrap_err();
    assert!(!error.request_written());
}

/// Guards against reporting a request as not run after a timeout, although it has been sent.
#[async_std::test]
async fn timeout_counts_as_written() {
    let fixture = start("secret").await;
    let mut replies = pool("secret")
        .call(&fixture.address, PeerRequest::Status)
        .await
        .unwrap();
    replies.next().await.unwrap();
    let error = replies.next_within(DurationMs::new(10)).await.unwrap_err();
    assert!(error.request_written());
}
