//! Relays store calls through other hosts.

use std::sync::Arc;

use async_trait::async_trait;
use jm_platform::{Condition, Listing, Object, ObjectError, ReadError, Version};
use jm_types::DurationMs;
use rand::seq::IndexedRandom;

use super::{ObjectSpace, PeerClient, PeerReply, PeerRequest, message::keyed_object};
use crate::relay::RelayPeer;

/// Relays the calls on one of the stores.
pub(crate) struct PeerRelay {
    pub(crate) client: Arc<PeerClient>,
    pub(crate) space: ObjectSpace,
}

fn unavailable() -> ReadError {
    ReadError::ReadUnavailable {
        reason: "no host could reach the store".to_owned(),
    }
}

#[async_trait]
impl RelayPeer for PeerRelay {
    async fn get(&self, key: &str) -> Option<Result<Option<Object>, ReadError>> {
        let request = PeerRequest::GetObject {
            space: self.space,
            key: key.to_owned(),
        };
        match self.client.call_any(&request).await? {
            PeerReply::Object(object) => Some(Ok(object.map(|object| Object {
                value: object.value,
                version: object.version,
            }))),
            _ => Some(Err(unavailable())),
        }
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        condition: Condition,
    ) -> Option<Result<Version, ObjectError>> {
        let request = PeerRequest::PutObject {
            space: self.space,
            key: key.to_owned(),
            value: value.to_vec(),
            condition: condition.into(),
        };
        // A write whose answer is lost may have taken effect, so it is not repeated through a second host.
        let (member, _) = self
            .client
            .membership
            .live_peers()
            .choose(&mut rand::rng())
            .cloned()?;
        let lost = || ObjectError::AnswerLost {
            reason: "the answer of the relaying host was lost".to_owned(),
        };
        let result = match self
            .client
            .call_member(&member, &request, DurationMs::new(500))
            .await
        {
            Some(PeerReply::Put(version)) => Ok(version),
            Some(PeerReply::Conflict(current)) => Err(ObjectError::Conflict { current }),
            Some(PeerReply::StoreUnavailable) => Err(ObjectError::Unavailable {
                reason: "the store did not answer the relaying host either".to_owned(),
            }),
            _ => Err(lost()),
        };
        Some(result)
    }

    async fn list(&self, prefix: &str) -> Option<Result<Listing, ReadError>> {
        let request = PeerRequest::ListObjects {
            space: self.space,
            prefix: prefix.to_owned(),
        };
        match self.client.call_any(&request).await? {
            PeerReply::Objects { objects, version } => {
                let objects = objects.into_iter().map(keyed_object).collect();
                Some(Ok(Listing { objects, version }))
            }
            _ => Some(Err(unavailable())),
        }
    }
}
