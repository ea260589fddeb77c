//! Weighted fair queueing between organisations: start-time fair queueing, measured in tokens.
//!
//! A flow is the queue of one organisation's requests for one service and class. Its tag advances by tokens / share,
//! and the flow with the smallest tag is served next. A flow that was idle starts at the current virtual time, so that
//! idle time earns no credit. A flow that used more tokens than estimated is charged the difference afterwards.

use std::collections::{BTreeMap, BTreeSet};

use jm_types::RequestId;

/// Virtual time per token at share 1. At this resolution, shares up to 256 do not round to zero.
const UNITS_PER_TOKEN: f64 = 256.0;

/// Lower bound of a share; it keeps the virtual time of one request finite.
const MIN_SHARE: f64 = 0.01;

/// Minimum weight of a new observation in the moving average of the output ratio.
const ESTIMATE_GAIN: f64 = 0.1;

/// Number of observations after which an organisation's own output ratio replaces that of all organisations.
const MIN_OWN_OBSERVATIONS: u32 = 5;

#[derive(Debug, Default)]
struct Flow {
    tag: u64,
    waiting: BTreeMap<u64, RequestId>,
    output: OutputRatio,
}

/// The ratio of generated tokens to `max_tokens`.
#[derive(Debug)]
struct OutputRatio {
    mean: f64,
    observations: u32,
}

impl Default for OutputRatio {
    /// Starts at 1, so that no organisation is undercharged before the first observation.
    fn default() -> Self {
        Self {
            mean: 1.0,
            observations: 0,
        }
    }
}

impl OutputRatio {
    /// Computes an arithmetic mean at first, so that the initial value loses its effect soon, and later an
    /// exponential moving average.
    fn observe(&mut self, ratio: f64) {
        self.observations = self.observations.saturating_add(1);
        let gain = (1.0 / f64::from(self.observations)).max(ESTIMATE_GAIN);
        self.mean += gain * (ratio - self.mean);
    }
}

/// The queued requests of one service and class.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    flows: Vec<Flow>,
    /// Flows with queued requests, ordered by tag.
    active: BTreeSet<(u64, usize)>,
    virtual_time: u64,
    next_sequence: u64,
    waiting: usize,
    waiting_tokens: u64,
    /// The output ratio over all organisations.
    output: OutputRatio,
}

impl FairQueue {
    fn flow(&mut self, organisation: usize) -> &mut Flow {
        if self.flows.len() <= organisation {
            self.flows.resize_with(organisation + 1, Flow::default);
        }
        &mut self.flows[organisation]
    }

    /// Appends a request to its organisation's flow and returns its sequence number for [`Self::remove`].
    pub(crate) fn push(&mut self, organisation: usize, request: RequestId, tokens: u64) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let virtual_time = self.virtual_time;
        let flow = self.flow(organisation);
        if flow.waiting.is_empty() {
            flow.tag = flow.tag.max(virtual_time);
            let entry = (flow.tag, organisation);
            flow.waiting.insert(sequence, request);
            self.active.insert(entry);
        } else {
            flow.waiting.insert(sequence, request);
        }
        self.waiting += 1;
        self.waiting_tokens += tokens;
        sequence
    }

    /// Removes a request without charging its organisation. `tokens` is the value passed to [`Self::push`].
    pub(crate) fn remove(&mut self, organisation: usize, sequence: u64, tokens: u64) {
        let flow = &mut self.flows[organisation];
        if flow.waiting.remove(&sequence).is_none() {
            return;
        }
        if flow.waiting.is_empty() {
            let entry = (flow.tag, organisation);
            self.active.remove(&entry);
        }
        self.waiting -= 1;
        self.waiting_tokens = self.waiting_tokens.saturating_sub(tokens);
    }

    /// The first request of each flow that is not empty, in the order of service.
    pub(crate) fn heads(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.active
            .iter()
            .filter_map(|(_, organisation)| self.flows[*organisation].waiting.values().next().copied())
    }

    /// Removes a request that starts on a target and advances the virtual time. `tokens` is the value passed to
    /// [`Self::push`].
    pub(crate) fn serve(&mut self, organisation: usize, sequence: u64, tokens: u64) {
        self.virtual_time = self.virtual_time.max(self.flows[organisation].tag);
        self.remove(organisation, sequence, tokens);
    }

    /// Charges an organisation the estimate of a started request or tokens beyond the estimate; a negative number
    /// refunds unused tokens.
    pub(crate) fn charge(&mut self, organisation: usize, tokens: i64, share: f64) {
        let units = tokens as f64 * UNITS_PER_TOKEN / share.max(MIN_SHARE);
        let flow = self.flow(organisation);
        let old = (flow.tag, organisation);
        flow.tag = flow.tag.saturating_add_signed(units as i64);
        let new = (flow.tag, organisation);
        if !flow.waiting.is_empty() {
            self.active.remove(&old);
            self.active.insert(new);
        }
    }

    /// Updates the output ratios with the outcome of a finished request.
    pub(crate) fn record_output(&mut self, organisation: usize, generated: u64, max_tokens: u64) {
        if max_tokens > 0 {
            let ratio = (generated as f64 / max_tokens as f64).min(1.0);
            self.output.observe(ratio);
            self.flow(organisation).output.observe(ratio);
        }
    }

    /// The expected prompt and generated tokens of a request; at least 1, so that requests of plain services have a
    /// cost.
    pub(crate) fn estimate(&self, organisation: usize, prompt_tokens: u64, max_tokens: u64) -> u64 {
        let own = self.flows.get(organisation).map(|flow| &flow.output);
        let reliable = own.filter(|output| output.observations >= MIN_OWN_OBSERVATIONS);
        let ratio = reliable.unwrap_or(&self.output).mean;
        (prompt_tokens + (max_tokens as f64 * ratio).ceil() as u64).max(1)
    }

    /// Number of queued requests of all organisations.
    pub(crate) fn len(&self) -> usize {
        self.waiting
    }

    /// Estimated tokens of the queued requests.
    pub(crate) fn tokens(&self) -> u64 {
        self.waiting_tokens
    }

    /// Number of organisations with queued requests.
    pub(crate) fn active_flows(&self) -> usize {
        self.active.len()
    }

    /// Number of queued requests of one organisation.
    pub(crate) fn len_of(&self, organisation: usize) -> usize {
        self.flows.get(organisation).map_or(0, |flow| flow.waiting.len())
    }

    /// Number of the organisation's requests ahead of the given one, and number of organisations served first.
    pub(crate) fn position(&self, organisation: usize, sequence: u64) -> (usize, usize) {
        let flow = &self.flows[organisation];
        let ahead = flow.waiting.range(..sequence).count();
        let organisations = self.active.range(..(flow.tag, organisation)).count();
        (ahead, organisations)
    }

    /// Tokens per unit of share that a continuously backlogged flow has received since the start.
    pub(crate) fn fair_tokens(&self) -> f64 {
        self.virtual_time as f64 / UNITS_PER_TOKEN
    }
}
