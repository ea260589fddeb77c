//! One request on a route whose streams may be resumed: the version that it is bound to, and the record of its origin.

use std::{ops::Range, sync::Arc};

use jm_http::SentStatus;
use jm_types::{ServiceId, Timestamp};

use crate::{
    Access, CallerRequest, Catalog, ForwardRefusal, Forwarder, Origin, ResumptionRefusal, Route, RouteKind,
    SoftwareFilter, StreamKey, Streams, Target, retry::no_target, stream_life,
};

/// Status codes of answers that may bring events.
const SUCCESS: Range<u16> = 200..300;

impl Forwarder {
    /// Finds the origin of the stream if a request on a route with resumable streams takes one up. `None` on other routes.
    ///
    /// # Errors
    ///
    /// Refuses the resumption of a stream whose origin is not known. It has not run.
    pub(crate) async fn begin_stream(
        &self,
        request: &CallerRequest,
        route: &Route,
        access: &Access,
        catalog: &(dyn Fn() -> Arc<Catalog> + Sync),
        deadline: Timestamp,
    ) -> Result<Option<StreamAttempt>, ForwardRefusal> {
        let is_resumable = matches!(route.kind, RouteKind::Streaming { is_resumable: true });
        let Some(streams) = self.streams.as_ref().filter(|_| is_resumable) else {
            return Ok(None);
        };
        if request.resumption.is_none()
            && let Some(service) = route.service_for(&request.id)
        {
            streams.prepare_versions(service, &catalog()).await;
        }
        let begun = StreamAttempt::begin(streams, request, route, access, catalog, deadline);
        let time_left = deadline.since(self.clock.now()).as_std();
        let refused = match async_std::future::timeout(time_left, begun).await {
            Ok(Ok(attempt)) => return Ok(Some(attempt)),
            Ok(Err(refused)) => refused,
            Err(_) => ResumptionRefusal::Unread,
        };
        self.observer.resumption_ended(request, refused.outcome(), None);
        Err(no_target(refused.to_string()))
    }
}

/// A new stream, or the resumption of one.
pub(crate) struct StreamAttempt {
    streams: Streams,
    /// Keys under which the origin is recorded: that of the request, and that of the request that brought the first event.
    keys: Vec<StreamKey>,
    expires_at: Timestamp,
    /// Origin of the stream that is resumed; `None` for a new one.
    origin: Option<Origin>,
}

impl StreamAttempt {
    /// Finds the origin of the stream if `request` takes one up. The request is answered by `deadline`.
    ///
    /// # Errors
    ///
    /// Fails if it resumes a stream whose origin is not known.
    pub(crate) async fn begin(
        streams: &Streams,
        request: &CallerRequest,
        route: &Route,
        access: &Access,
        catalog: &(dyn Fn() -> Arc<Catalog> + Sync),
        deadline: Timestamp,
    ) -> Result<Self, ResumptionRefusal> {
        let organisation = access.organisation();
        let origin = match &request.resumption {
            Some(resumption) => {
                streams.prepare_targets().await;
                Some(streams.resolve(resumption, organisation, route, catalog).await?)
            }
            None => None,
        };
        let first = request.resumption.as_ref();
        let first = first.and_then(|resumption| resumption.first_request.as_deref());
        let ids = [Some(request.id.as_str()), first];
        let keys = ids.into_iter().flatten();
        Ok(Self {
            streams: streams.clone(),
            keys: keys.filter_map(|id| StreamKey::new(organisation, id)).collect(),
            expires_at: deadline.after(stream_life(route.timeout_ms)),
            origin,
        })
    }

    /// Origin of the stream that is resumed; `None` for a new one.
    pub(crate) fn origin(&self) -> Option<&Origin> {
        self.origin.as_ref()
    }

    /// Targets that may receive the request.
    pub(crate) fn filter(&self, service: &ServiceId, catalog: &Catalog) -> SoftwareFilter {
        match &self.origin {
            Some(origin) => SoftwareFilter::Only(origin.software.clone()),
            None => self.streams.registry.filter_for_new(service, catalog),
        }
    }

    /// Records the origin of the stream when the head of an answer has arrived. `chosen` is the entry with which the target
    /// was chosen, `current` the entry under the same id now. Returns whether the answer may be passed on: not if the
    /// stream is resumed and the target may have other software by now.
    pub(crate) fn answered(&self, chosen: &Target, current: Option<&Target>, status: SentStatus) -> bool {
        let is_changed = current.is_some_and(|current| current.software != chosen.software);
        if is_changed && self.origin.is_some() {
            return false;
        }
        if !SUCCESS.contains(&status.get()) {
            return true;
        }
        let registry = &self.streams.registry;
        for key in &self.keys {
            match &self.origin {
                None if !is_changed => registry.record_new(*key, chosen, self.expires_at),
                origin => registry.record(*key, origin.as_ref(), self.expires_at),
            }
        }
        true
    }
}
