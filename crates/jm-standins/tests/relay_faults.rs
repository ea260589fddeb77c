//! The relay's faults: held bytes, cut connections and refused connections.

use std::time::Duration;

use async_std::{
    io,
    net::{TcpListener, TcpStream},
};
use futures::{AsyncReadExt, AsyncWriteExt};
use jm_standins::{Direction, Flow, Relay};

/// Wait for a byte that the relay holds. The byte never arrives, so a slow machine does not change the result.
const HELD_BYTE_WAIT: Duration = Duration::from_millis(50);

struct Setup {
    relay: Relay,
    caller: TcpStream,
    target: TcpStream,
}

async fn setup() -> Setup {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    let relay = Relay::start("127.0.0.1:0".parse().unwrap(), target, 1_000)
        .await
        .unwrap();
    let caller = TcpStream::connect(relay.address()).await.unwrap();
    let (target, _) = listener.accept().await.unwrap();
    Setup {
        relay,
        caller,
        target,
    }
}

async fn read(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut buffer = [0; 16];
    let length = stream.read(&mut buffer).await?;
    Ok(buffer[..length].to_vec())
}

/// Guards against a hold that loses bytes or that also blocks the other direction.
#[async_std::test]
async fn hold_one_direction() {
    let mut setup = setup().await;
    setup.relay.set_flow(Direction::ToTarget, Flow::Hold);
    setup.caller.write_all(b"ping").await.unwrap();
    assert!(
        io::timeout(HELD_BYTE_WAIT, read(&mut setup.target))
            .await
            .is_err()
    );
    setup.target.write_all(b"pong").await.unwrap();
    assert_eq!(read(&mut setup.caller).await.unwrap(), b"pong");
    setup.relay.set_flow(Direction::ToTarget, Flow::Open);
    assert_eq!(read(&mut setup.target).await.unwrap(), b"ping");
}

/// Guards against a cut that the receiver does not observe or that also blocks the other direction.
#[async_std::test]
async fn cut_one_direction() {
    let mut setup = setup().await;
    setup.relay.set_flow(Direction::ToCaller, Flow::Cut);
    assert_eq!(read(&mut setup.caller).await.unwrap(), b"");
    setup.caller.write_all(b"ping").await.unwrap();
    assert_eq!(read(&mut setup.target).await.unwrap(), b"ping");
    assert_eq!(setup.relay.recording().connections, [b"ping".to_vec()]);
}

/// Guards against connections that survive a cut, and against a cut that also prevents new connections.
#[async_std::test]
async fn cut_connections() {
    let mut setup = setup().await;
    setup.relay.cut_connections();
    assert_eq!(read(&mut setup.caller).await.unwrap(), b"");
    assert_eq!(read(&mut setup.target).await.unwrap(), b"");
    TcpStream::connect(setup.relay.address()).await.unwrap();
}

/// Guards against a closed relay that still accepts connections, and against a reopened relay that does not accept
/// connections at its former address.
#[async_std::test]
async fn close_and_open() {
    let setup = setup().await;
    setup.relay.close().await;
    assert!(TcpStream::connect(setup.relay.address()).await.is_err());
    setup.relay.open().await.unwrap();
    TcpStream::connect(setup.relay.address()).await.unwrap();
}
