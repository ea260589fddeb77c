//! Shared secret of all daemons of a fleet. Daemons authenticate connections with it.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Shared secret of the daemons, read from the settings. Its `Debug` output does not contain the secret.
#[derive(Clone)]
pub struct FleetSecret(Vec<u8>);

impl FleetSecret {
    /// Wraps the secret as written in the settings.
    pub fn new(secret: impl Into<Vec<u8>>) -> Self {
        Self(secret.into())
    }

    /// Computes the HMAC-SHA-256 of `message`.
    pub fn sign(&self, message: &[u8]) -> Vec<u8> {
        self.mac(message).finalize().into_bytes().to_vec()
    }

    /// Whether `proof` is the HMAC-SHA-256 of `message`. The comparison takes constant time.
    pub fn verify(&self, message: &[u8], proof: &[u8]) -> bool {
        self.mac(message).verify_slice(proof).is_ok()
    }

    fn mac(&self, message: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        mac.update(message);
        mac
    }
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret")
    }
}
