//! Sources of requests.

use jm_route::Class;
use rand::{Rng, rngs::StdRng};

/// When requests arrive.
#[derive(Debug, Clone, Copy)]
pub enum Arrivals {
    /// Independent arrivals at a mean rate, in requests a second.
    Poisson(f64),
    /// Arrivals at equal distances, in requests a second.
    Even(f64),
    /// As many requests as keep this number waiting or running.
    Backlog(usize),
}

/// Which prompts share prefixes.
#[derive(Debug, Clone, Copy)]
pub enum Prefixes {
    /// No prefix hashes.
    None,
    /// One prefix for the source, then one out of this many, which nearly follow a Zipf distribution.
    Shared(u64),
    /// Groups of this many requests in a row have the same prompt.
    Groups(u64),
}

/// A stream of requests of one organisation and class.
#[derive(Debug, Clone)]
pub struct Source {
    /// The organisation's number.
    pub organisation: usize,
    /// Live or training.
    pub class: Class,
    /// When requests arrive.
    pub arrivals: Arrivals,
    /// Prompt tokens of each request.
    pub prompt_tokens: u64,
    /// Mean of the generated tokens; uniform between half of it and one and a half.
    pub answer_tokens: u64,
    /// Which prompts share prefixes.
    pub prefixes: Prefixes,
    /// Requests waiting or running.
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

    /// The same source, silent until `start_s`; for arrivals at a rate.
    pub fn starting_at(self, start_s: usize) -> Self {
        Self {
            next_ms: start_s as f64 * 1_000.0,
            ..self
        }
    }

    /// The same source with prompts that share prefixes.
    pub fn with_prefixes(self, prefixes: Prefixes) -> Self {
        Self { prefixes, ..self }
    }

    /// Number of requests that arrive in the millisecond that begins now.
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
            let part = if even {
                1.0
            } else {
                -(1.0 - random.random::<f64>()).ln()
            };
            self.next_ms += part * 1_000.0 / rate;
        }
        due
    }

    pub(super) fn answer(&self, random: &mut StdRng) -> u64 {
        random
            .random_range(self.answer_tokens / 2..=self.answer_tokens * 3 / 2)
            .max(1)
    }

    pub(super) fn prefix_hashes(&mut self, random: &mut StdRng) -> Vec<u64> {
        self.count += 1;
        let base = (self.organisation as u64 + 1) << 32;
        match self.prefixes {
            Prefixes::None => Vec::new(),
            Prefixes::Shared(count) => {
                // The square of a uniform number favours the first prefixes.
                let part: f64 = random.random::<f64>().powi(2);
                vec![base, base + 1 + (part * count as f64) as u64]
            }
            Prefixes::Groups(size) => vec![base, base + 1 + self.count / size],
        }
    }
}
