//! Simulated sources of requests.

use jm_route::Class;
use rand::{Rng, rngs::StdRng};

/// The arrival process of a source.
#[derive(Debug, Clone, Copy)]
pub enum Arrivals {
    /// Poisson arrivals with this mean rate, in requests per second.
    Poisson(f64),
    /// Arrivals at a fixed interval, at this rate in requests per second.
    Even(f64),
    /// A closed loop that keeps this number of requests queued or running.
    Backlog(usize),
}

/// How the prompts of a source share prefixes.
#[derive(Debug, Clone, Copy)]
pub enum Prefixes {
    /// Requests carry no prefix hashes.
    None,
    /// A common prefix of the source, followed by one of this many prefixes in an approximate Zipf distribution.
    Shared(u64),
    /// Groups of this many consecutive requests share one prompt.
    Groups(u64),
}

/// A stream of requests of one organisation and class.
#[derive(Debug, Clone)]
pub struct Source {
    /// Number of the organisation; see [`super::organisation`].
    pub organisation: usize,
    /// Class of all requests of the source.
    pub class: Class,
    /// Process that determines when the requests of the source arrive.
    pub arrivals: Arrivals,
    /// Prompt tokens of each request.
    pub prompt_tokens: u64,
    /// Mean number of generated tokens. The number is uniform between a half and one and a half of this mean.
    pub answer_tokens: u64,
    /// How the prompts share prefixes.
    pub prefixes: Prefixes,
    /// Number of queued and running requests.
    pub open: usize,
    pub(super) next_ms: f64,
    pub(super) count: u64,
}

impl Source {
    /// A source with prompts of 200 tokens and answers of 200 tokens on average.
    pub fn new(organisation: usize, class: Class, arrivals: Arrivals) -> Self {
        Self {
            organisation,
            class,
            arrivals,
            prompt_tokens: 200,
            answer_tokens: 200,
            prefixes: Prefixes::None,
            open: 0,
            next_ms: 0.0,
            count: 0,
        }
    }

    /// Delays the first arrival to `start_s`. Has no effect on [`Arrivals::Backlog`].
    pub fn starting_at(self, start_s: usize) -> Self {
        Self {
            next_ms: start_s as f64 * 1_000.0,
            ..self
        }
    }

    /// Sets how the prompts share prefixes.
    pub fn with_prefixes(self, prefixes: Prefixes) -> Self {
        Self { prefixes, ..self }
    }

    /// Number of requests that arrive in the millisecond that begins at `now_ms`.
    pub(super) fn due(&mut self, now_ms: u64, random: &mut StdRng) -> usize {
        let (rate, even) = match self.arrivals {
            Arrivals::Backlog(open) => return open.saturating_sub(self.open),
            Arrivals::Poisson(rate) => (rate, false),
            Arrivals::Even(rate) => (rate, true),
        };
        if rate <= 0.0 {
            return 0;
        }
        let mut due = 0;
        while self.next_ms < (now_ms + 1) as f64 {
            due += 1;
            let factor = if even {
                1.0
            } else {
                -(1.0 - random.random::<f64>()).ln()
            };
            self.next_ms += factor * 1_000.0 / rate;
        }
        due
    }

    pub(super) fn draw_answer_tokens(&self, random: &mut StdRng) -> u64 {
        random
            .random_range(self.answer_tokens / 2..=self.answer_tokens * 3 / 2)
            .max(1)
    }

    pub(super) fn draw_prefix_hashes(&mut self, random: &mut StdRng) -> Vec<u64> {
        self.count += 1;
        let base = (self.organisation as u64 + 1) << 32;
        match self.prefixes {
            Prefixes::None => Vec::new(),
            Prefixes::Shared(count) => {
                // Squaring a uniform number makes the first prefixes more frequent.
                let factor: f64 = random.random::<f64>().powi(2);
                vec![base, base + 1 + (factor * count as f64) as u64]
            }
            Prefixes::Groups(size) => vec![base, base + 1 + self.count / size],
        }
    }
}
