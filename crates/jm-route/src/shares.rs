//! Shares and queue limits of organisations.

use std::collections::HashMap;

use indexmap::IndexMap;
use jm_types::{OrganisationId, ServiceId, Share};

/// Share of an organisation without a configured share.
const DEFAULT_SHARE: Share = Share::new(1.0);

/// An operator's rule for one organisation in one service.
#[derive(Debug, Clone, PartialEq)]
pub struct SharingRule {
    /// The service to which the rule applies.
    pub service: ServiceId,
    /// The organisation to which the rule applies.
    pub organisation: OrganisationId,
    /// The organisation's weight relative to the other organisations.
    pub share: Share,
    /// Maximum number of the organisation's queued requests for the service in one class.
    pub queue_limit: usize,
}

#[derive(Debug)]
struct Rule {
    share: Share,
    queue_limit: usize,
}

/// Shares and rules by index of the service and organisation. Indices replace ids because every routing decision
/// needs a lookup.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    organisations: IndexMap<OrganisationId, Share>,
    rules: HashMap<(usize, usize), Rule>,
}

impl Shares {
    /// The index of an organisation; adds an unknown organisation with the default share.
    pub(crate) fn index(&mut self, id: &OrganisationId) -> usize {
        match self.organisations.get_index_of(id) {
            Some(index) => index,
            None => self.organisations.insert_full(id.clone(), DEFAULT_SHARE).0,
        }
    }

    /// Replaces the shares that apply to every service without a rule.
    pub(crate) fn set_general(&mut self, shares: impl IntoIterator<Item = (OrganisationId, Share)>) {
        self.organisations
            .values_mut()
            .for_each(|share| *share = DEFAULT_SHARE);
        self.organisations.extend(shares);
    }

    pub(crate) fn clear_rules(&mut self) {
        self.rules.clear();
    }

    /// Sets a rule; `service` is the index of the service that the rule names.
    pub(crate) fn set_rule(&mut self, service: usize, rule: &SharingRule) {
        let organisation = self.index(&rule.organisation);
        let kept = Rule {
            share: rule.share,
            queue_limit: rule.queue_limit,
        };
        self.rules.insert((service, organisation), kept);
    }

    /// The share from the rule of the service and organisation, or else the organisation's general share.
    pub(crate) fn share(&self, service: usize, organisation: usize) -> f64 {
        match self.rules.get(&(service, organisation)) {
            Some(rule) => rule.share.get(),
            None => self.organisations[organisation].get(),
        }
    }

    /// The maximum number of queued requests in one class, from the rule or else `default`.
    pub(crate) fn queue_limit(&self, service: usize, organisation: usize, default: usize) -> usize {
        let rule = self.rules.get(&(service, organisation));
        rule.map_or(default, |rule| rule.queue_limit)
    }
}
