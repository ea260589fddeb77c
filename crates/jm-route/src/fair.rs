//! Weighted fair queue between organisations: start-time fair queueing on tokens.
//!
//! A flow is one organisation's requests for one service and class. Its tag advances by tokens / share. The flow
//! with the smallest tag goes next. A flow that was idle starts at the current virtual time, so that no credit is
//! saved up; a flow that used more than estimated is charged the difference afterwards.

use std::collections::{BTreeMap, BTreeSet};

use jm_types::RequestId;

/// Virtual time per token at share 1. The resolution allows shares up to 256 without rounding to zero.
const UNITS_PER_TOKEN: f64 = 256.0;

/// Smallest share; keeps the virtual time of one request finite.
const LEAST_SHARE: f64 = 0.01;

/// Weight of a new observation in the estimate of generated tokens.
const ESTIMATE_GAIN: f64 = 0.1;

/// Observations from which on an organisation's own estimate is used instead of that of all organisations.
const OWN_OBSERVATIONS: u32 = 5;

#[derive(Debug, Default)]
struct Flow {
    tag: u64,
    waiting: BTreeMap<u64, RequestId>,
    output: OutputPart,
}

/// Generated tokens as a part of `max_tokens`.
#[derive(Debug)]
struct OutputPart {
    mean: f64,
    observations: u32,
}

impl Default for OutputPart {
    /// Starts at 1 so that nobody is undercharged before anything is known.
    fn default() -> Self {
        Self {
            mean: 1.0,
            observations: 0,
        }
    }
}

impl OutputPart {
    /// A plain mean at first, so that a wrong start is forgotten soon, then a running one.
    fn observe(&mut self, part: f64) {
        self.observations = self.observations.saturating_add(1);
        let gain = (1.0 / f64::from(self.observations)).max(ESTIMATE_GAIN);
        self.mean += gain * (part - self.mean);
    }
}

/// Waiting requests of one service and class.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    flows: Vec<Flow>,
    /// Flows with waiting requests, by tag.
    active: BTreeSet<(u64, usize)>,
    virtual_time: u64,
    next_sequence: u64,
    waiting: usize,
    waiting_tokens: u64,
    /// Of all organisations.
    output: OutputPart,
}

impl FairQueue {
    fn flow(&mut self, organisation: usize) -> &mut Flow {
        if self.flows.len() <= organisation {
            self.flows.resize_with(organisation + 1, Flow::default);
        }
        &mut self.flows[organisation]
    }

    /// Adds a request at the end of its organisation's flow and returns its place for [`Self::remove`].
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

    /// Removes a request without charging for it.
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

    /// The first request of each flow with waiting requests, in the order in which they should be served.
    pub(crate) fn heads(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.active
            .iter()
            .filter_map(|(_, organisation)| self.flows[*organisation].waiting.values().next().copied())
    }

    /// Removes a request that is given to a target, and advances virtual time; `tokens` as at [`Self::push`].
    pub(crate) fn serve(&mut self, organisation: usize, sequence: u64, tokens: u64) {
        self.virtual_time = self.virtual_time.max(self.flows[organisation].tag);
        self.remove(organisation, sequence, tokens);
    }

    /// Charges the estimate of a started request or tokens beyond it, or refunds those that were not used.
    pub(crate) fn charge(&mut self, organisation: usize, tokens: i64, share: f64) {
        let units = tokens as f64 * UNITS_PER_TOKEN / share.max(LEAST_SHARE);
        let flow = self.flow(organisation);
        let old = (flow.tag, organisation);
        flow.tag = flow.tag.saturating_add_signed(units as i64);
        let new = (flow.tag, organisation);
        if !flow.waiting.is_empty() {
            self.active.remove(&old);
            self.active.insert(new);
        }
    }

    /// Learns how many of the tokens it asked for an organisation really uses.
    pub(crate) fn learn(&mut self, organisation: usize, generated: u64, max_tokens: u64) {
        if max_tokens > 0 {
            let part = (generated as f64 / max_tokens as f64).min(1.0);
            self.output.observe(part);
            self.flow(organisation).output.observe(part);
        }
    }

    /// The tokens that a request is expected to use; at least 1, so that requests of plain services count.
    pub(crate) fn estimate(&self, organisation: usize, prompt_tokens: u64, max_tokens: u64) -> u64 {
        let own = self.flows.get(organisation).map(|flow| &flow.output);
        let known = own.filter(|output| output.observations >= OWN_OBSERVATIONS);
        let part = known.unwrap_or(&self.output).mean;
        (prompt_tokens + (max_tokens as f64 * part).ceil() as u64).max(1)
    }

    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.waiting
    }

    /// Estimated tokens of the waiting requests.
    pub(crate) fn tokens(&self) -> u64 {
        self.waiting_tokens
    }

    /// Number of organisations with waiting requests.
    pub(crate) fn active_flows(&self) -> usize {
        self.active.len()
    }

    /// Number of waiting requests of one organisation.
    pub(crate) fn len_of(&self, organisation: usize) -> usize {
        self.flows.get(organisation).map_or(0, |flow| flow.waiting.len())
    }

    /// Number of the organisation's requests before the given one, and of organisations that go first.
    pub(crate) fn position(&self, organisation: usize, sequence: u64) -> (usize, usize) {
        let flow = &self.flows[organisation];
        let ahead = flow.waiting.range(..sequence).count();
        let organisations = self.active.range(..(flow.tag, organisation)).count();
        (ahead, organisations)
    }

    /// Tokens per unit of share that a flow with waiting requests has received since the start.
    pub(crate) fn fair_tokens(&self) -> f64 {
        self.virtual_time as f64 / UNITS_PER_TOKEN
    }
}
