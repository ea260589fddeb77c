//! Status codes that `http-types` cannot represent.

use std::fmt;

use http_types::{Response, StatusCode};

/// Smallest and largest status code of a final response.
const FINAL_CODES: std::ops::RangeInclusive<u16> = 200..=599;

/// Status code of a response as its sender wrote it. A proxy returns the code unchanged (RFC 9110, section 15), and
/// [`StatusCode`] has only those that specifications name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentStatus(u16);

impl SentStatus {
    /// Creates the status of a final response. Returns `None` for a code of no such class.
    pub fn new(code: u16) -> Option<Self> {
        FINAL_CODES.contains(&code).then_some(Self(code))
    }

    /// Returns the status of a response.
    pub fn of(response: &Response) -> Self {
        let sent = response.ext().get::<Self>().copied();
        // The status may have been replaced after the response was received.
        let unchanged = sent.filter(|sent| known_status(sent.0) == Some(response.status()));
        unchanged.unwrap_or_else(|| response.status().into())
    }

    /// Creates an empty response with this status.
    pub fn response(self) -> Response {
        let known = known_status(self.0).unwrap_or(StatusCode::BadGateway);
        let mut response = Response::new(known);
        self.keep_in(&mut response);
        response
    }

    /// Returns the status if a specification names it.
    pub fn named(self) -> Option<StatusCode> {
        StatusCode::try_from(self.0).ok()
    }

    /// Returns the code.
    pub fn get(self) -> u16 {
        self.0
    }

    /// Records the status in a response whose own status is that of [`known_status`].
    pub(crate) fn keep_in(self, response: &mut Response) {
        if u16::from(response.status()) != self.0 {
            response.ext_mut().insert(self);
        }
    }
}

impl From<StatusCode> for SentStatus {
    fn from(status: StatusCode) -> Self {
        Self(status.into())
    }
}

impl From<SentStatus> for u16 {
    fn from(status: SentStatus) -> Self {
        status.0
    }
}

impl fmt::Display for SentStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Converts a status code. A code that `http-types` does not support becomes the first code of its class (RFC 9110,
/// section 15).
pub(crate) fn known_status(code: u16) -> Option<StatusCode> {
    let first_of_class = code - code % 100;
    let status = StatusCode::try_from(code).or_else(|_| StatusCode::try_from(first_of_class));
    status.ok()
}
