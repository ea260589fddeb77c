//! Log lines and metrics of requests and batches.

mod batch;
mod handover;
mod streams;

use std::sync::Arc;

use jm_forward::{
    AttemptOutcome, CallerRequest, ForwardObserver, ForwardResult, Origin, ResumptionOutcome, Route, RunKey,
    Target,
};
use jm_http::BufferBudget;
use jm_platform::ListingCounts;
use jm_types::{DurationMs, LogEvent, OrganisationId, ResultCode, Revision};
use prometheus::{Encoder, HistogramVec, IntCounter, IntCounterVec, IntGauge, Registry, TextEncoder};

use crate::{
    buffer_metrics::BufferMetrics,
    duty::UsageCounter,
    instrumented_store::STORE_CALL_LABELS,
    listing_metrics::ListingMetrics,
    metric::{counter, gauge, histogram, plain_counter},
    observer::streams::StreamMetrics,
    placement_metrics::PlacementMetrics,
};

/// Records the metrics and log lines of one host. Label values are result codes and fixed words, so the number of
/// time series is bounded.
pub struct HostObserver {
    usage: Arc<UsageCounter>,
    registry: Registry,
    buffers: BufferMetrics,
    listings: ListingMetrics,
    requests: IntCounterVec,
    latency: HistogramVec,
    attempts: IntCounterVec,
    item_runs: IntCounterVec,
    placement: PlacementMetrics,
    reward_attempts: IntCounterVec,
    reward_wait: HistogramVec,
    reward_time: HistogramVec,
    batches: IntCounterVec,
    store_failures: IntCounterVec,
    /// Store calls of this host, including those relayed for other hosts.
    pub store_calls: IntCounterVec,
    /// Intervals in which a request to a cold target was held back.
    pub(crate) cold_held: IntCounterVec,
    /// Revision of the active configuration.
    pub config_revision: IntGauge,
    /// Number of listed targets.
    pub targets: IntGauge,
    /// Number of live hosts, including this one.
    pub live_hosts: IntGauge,
    /// One while this host holds the lease of the shared duties, otherwise zero.
    pub holds_lease: IntGauge,
    /// Number of evacuated availability zones.
    pub evacuated_zones: IntGauge,
    evacuation_refusals: IntCounter,
    streams: StreamMetrics,
}

impl HostObserver {
    /// Registers all metrics in a new registry. Executed requests are also counted in `usage`. The memory metrics show
    /// `buffers`, those of listings `listings`.
    pub fn new(usage: Arc<UsageCounter>, buffers: BufferBudget, listings: Arc<ListingCounts>) -> Self {
        let registry = Registry::new();
        Self {
            usage,
            buffers: BufferMetrics::new(&registry, buffers),
            listings: ListingMetrics::new(&registry, listings),
            requests: counter(
                &registry,
                "jm_requests_total",
                "Requests by kind and outcome.",
                &["kind", "outcome"],
            ),
            latency: histogram(
                &registry,
                "jm_request_seconds",
                "Time to the answer by kind.",
                &["kind"],
            ),
            attempts: counter(
                &registry,
                "jm_attempts_total",
                "Attempts that brought no answer, by outcome.",
                &["outcome"],
            ),
            item_runs: counter(
                &registry,
                "jm_item_runs_total",
                "Runs of batch items that ended early, by outcome, and runs that resumed a text or began it anew.",
                &["outcome"],
            ),
            placement: PlacementMetrics::new(&registry),
            reward_attempts: counter(
                &registry,
                "jm_reward_attempts_total",
                "Attempts of reward calls by outcome.",
                &["outcome"],
            ),
            reward_wait: histogram(
                &registry,
                "jm_reward_wait_seconds",
                "Time from a complete text to the attempt that scored it.",
                &[],
            ),
            reward_time: histogram(
                &registry,
                "jm_reward_seconds",
                "Time of the attempts that brought a score.",
                &[],
            ),
            batches: counter(
                &registry,
                "jm_batches_total",
                "Batches by what happened to them.",
                &["event"],
            ),
            store_failures: counter(
                &registry,
                "jm_batch_store_failures_total",
                "Store calls of batches that failed.",
                &["action"],
            ),
            store_calls: counter(
                &registry,
                "jm_store_calls_total",
                "Calls on the store by call, kind of object and outcome.",
                &STORE_CALL_LABELS,
            ),
            cold_held: counter(
                &registry,
                "jm_cold_requests_held_total",
                "Intervals between requests to a cold target in which a request waited or went elsewhere.",
                &[],
            ),
            config_revision: gauge(
                &registry,
                "jm_config_revision",
                "Revision of the configuration in force.",
            ),
            targets: gauge(&registry, "jm_targets", "Targets that are listed."),
            live_hosts: gauge(&registry, "jm_live_hosts", "Live hosts, this one included."),
            holds_lease: gauge(
                &registry,
                "jm_holds_lease",
                "One while this host carries out the shared duties.",
            ),
            evacuated_zones: gauge(
                &registry,
                "jm_evacuated_zones",
                "Availability zones that are evacuated.",
            ),
            evacuation_refusals: plain_counter(
                &registry,
                "jm_evacuation_refusals_total",
                "Requests refused because all targets of their service are in evacuated zones.",
            ),
            streams: StreamMetrics::new(&registry),
            registry,
        }
    }

    /// Records the result of a request. `revision` is that of the configuration the request was handled with.
    pub fn request_ended(
        &self,
        request: &CallerRequest,
        route: Option<&Route>,
        revision: Revision,
        result: &ForwardResult,
        took: DurationMs,
    ) {
        let kind = route.map_or("none", kind_name);
        self.latency
            .with_label_values(&[kind])
            .observe(took.get() as f64 / 1_000.0);
        let route_name = route.map_or("", |route| route.name.as_str());
        match result {
            Ok(answer) => {
                self.requests.with_label_values(&[kind, "served"]).inc();
                LogEvent::RequestServed.write_fields(
                    "a target answered",
                    &[
                        ("request", &request.id.as_str()),
                        ("route", &route_name),
                        ("status", &answer.answer.status.get()),
                        ("attempts", &answer.attempts),
                        ("took_ms", &took.get()),
                    ],
                );
            }
            Err(refusal) => {
                if refusal.code == ResultCode::Evacuated {
                    self.evacuation_refusals.inc();
                }
                let code = refusal.code.to_string();
                self.requests.with_label_values(&[kind, &code]).inc();
                LogEvent::RequestRefused.write_fields(
                    &refusal.message,
                    &[
                        ("request", &request.id.as_str()),
                        ("route", &route_name),
                        ("code", &code.as_str()),
                        ("meaning", &refusal.code.name()),
                        ("revision", &revision.get()),
                        ("took_ms", &took.get()),
                    ],
                );
            }
        }
    }

    /// Records the rejection of a submitted batch.
    pub fn batch_refused(&self, batch: &str, code: ResultCode, revision: Revision, reason: &str) {
        self.batches.with_label_values(&["refused"]).inc();
        LogEvent::BatchRefused.write_fields(
            reason,
            &[
                ("batch", &batch),
                ("code", &code.to_string().as_str()),
                ("meaning", &code.name()),
                ("revision", &revision.get()),
            ],
        );
    }

    /// Records the failure of a caller's attempt to read or end a batch.
    pub fn batch_not_read(&self, batch: &str, call: &str, code: ResultCode, reason: &str) {
        LogEvent::BatchNotRead.write_fields(
            reason,
            &[
                ("batch", &batch),
                ("call", &call),
                ("code", &code.to_string().as_str()),
                ("meaning", &code.name()),
            ],
        );
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        self.buffers.update();
        self.listings.update();
        let mut text = Vec::new();
        let encoder = TextEncoder::new();
        if let Err(error) = encoder.encode(&self.registry.gather(), &mut text) {
            LogEvent::DaemonFailed.write(format_args!("metrics cannot be rendered: {error}"));
        }
        text
    }
}

fn kind_name(route: &Route) -> &'static str {
    match route.kind {
        jm_forward::RouteKind::Idempotent => "idempotent",
        jm_forward::RouteKind::NonIdempotent => "non_idempotent",
        jm_forward::RouteKind::Streaming { .. } => "streaming",
        jm_forward::RouteKind::Batch(_) => "batch",
    }
}

fn outcome_name(outcome: &AttemptOutcome) -> (&'static str, &str) {
    match outcome {
        AttemptOutcome::Answered(_) => ("answered", ""),
        AttemptOutcome::NotRun { reason } => ("not_run", reason),
        AttemptOutcome::Unsent { reason } => ("unsent", reason),
        AttemptOutcome::Lost { reason } => ("lost", reason),
    }
}

impl ForwardObserver for HostObserver {
    fn execution_started(&self, organisation: Option<&OrganisationId>) {
        if let Some(organisation) = organisation {
            self.usage.count(organisation);
        }
    }

    fn attempt_failed(
        &self,
        request: &CallerRequest,
        target: &Target,
        outcome: &AttemptOutcome,
        took: DurationMs,
    ) {
        let (name, reason) = outcome_name(outcome);
        self.attempts.with_label_values(&[name]).inc();
        LogEvent::RequestRetried.write_fields(
            reason,
            &[
                ("request", &request.id.as_str()),
                ("target", &target.run.id.as_str()),
                ("outcome", &name),
                ("took_ms", &took.get()),
            ],
        );
    }

    fn hedged(&self, request: &CallerRequest, slow: &RunKey, waited: DurationMs) {
        self.attempts.with_label_values(&["hedged"]).inc();
        LogEvent::RequestHedged.write_fields(
            "a hedged request is sent to a second target",
            &[
                ("request", &request.id.as_str()),
                ("slow_target", &slow.id.as_str()),
                ("waited_ms", &waited.get()),
            ],
        );
    }

    fn resumption_ended(&self, request: &CallerRequest, outcome: ResumptionOutcome, origin: Option<&Origin>) {
        self.streams.resumption_ended(request, outcome, origin);
    }
}
