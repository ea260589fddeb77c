//! Records received bytes, for tests that check that no secret was sent.

use std::sync::{Arc, Mutex};

use crate::notify::lock;

/// The bytes that a relay received from callers.
#[derive(Debug, Clone, Default)]
pub struct Recording {
    /// The bytes of each connection, in the order in which the connections were opened.
    pub connections: Vec<Vec<u8>>,
    /// Whether all received bytes are included; false once the size limit was exceeded.
    pub complete: bool,
}

impl Recording {
    /// Whether `secret` was received on any connection. An incomplete recording cannot prove its absence, so check
    /// [`Recording::complete`] as well.
    pub fn contains(&self, secret: &[u8]) -> bool {
        let found = |bytes: &Vec<u8>| bytes.windows(secret.len().max(1)).any(|part| part == secret);
        self.connections.iter().any(found)
    }

    /// Number of recorded bytes over all connections.
    pub fn bytes(&self) -> usize {
        self.connections.iter().map(Vec::len).sum()
    }
}

/// Collects the recording of one relay.
pub(crate) struct Recorder {
    state: Arc<Mutex<RecorderState>>,
}

struct RecorderState {
    recording: Recording,
    remaining_bytes: usize,
}

/// Appends the bytes of one connection.
pub(crate) struct ConnectionRecorder {
    state: Arc<Mutex<RecorderState>>,
    index: usize,
}

impl Recorder {
    pub(crate) fn new(remaining_bytes: usize) -> Self {
        let recording = Recording {
            connections: Vec::new(),
            complete: true,
        };
        let state = RecorderState {
            recording,
            remaining_bytes,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    pub(crate) fn connection(&self) -> ConnectionRecorder {
        let mut state = lock(&self.state);
        state.recording.connections.push(Vec::new());
        ConnectionRecorder {
            state: Arc::clone(&self.state),
            index: state.recording.connections.len() - 1,
        }
    }

    pub(crate) fn recording(&self) -> Recording {
        lock(&self.state).recording.clone()
    }
}

impl ConnectionRecorder {
    pub(crate) fn append(&mut self, bytes: &[u8]) {
        let mut state = lock(&self.state);
        let recorded = bytes.len().min(state.remaining_bytes);
        state.remaining_bytes -= recorded;
        state.recording.complete &= recorded == bytes.len();
        state.recording.connections[self.index].extend_from_slice(&bytes[..recorded]);
    }
}
