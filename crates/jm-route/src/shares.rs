//! What parts of a service organisations get, and how many of their requests may wait.

use std::collections::HashMap;

use indexmap::IndexMap;
use jm_types::{OrganisationId, ServiceId, Share};

/// Share of an organisation that the configuration does not name.
const DEFAULT_SHARE: Share = Share::new(1.0);

/// One organisation's part of one service, as the operators set it.
#[derive(Debug, Clone, PartialEq)]
pub struct SharingRule {
    /// The service.
    pub service: ServiceId,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Its weight against the other organisations.
    pub share: Share,
    /// Most requests of the organisation that may wait for the service in one class.
    pub queue_limit: usize,
}

#[derive(Debug)]
struct Rule {
    share: Share,
    queue_limit: usize,
}

/// Organisations with their shares; both are addressed by position, because every routing decision looks them up.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    organisations: IndexMap<OrganisationId, Share>,
    rules: HashMap<(usize, usize), Rule>,
}

impl Shares {
    /// The position of an organisation.
    pub(crate) fn index(&mut self, id: &OrganisationId) -> usize {
        match self.organisations.get_index_of(id) {
            Some(index) => index,
            None => self.organisations.insert_full(id.clone(), DEFAULT_SHARE).0,
        }
    }

    /// Replaces the shares that hold in every service without a rule.
    pub(crate) fn set_general(&mut self, shares: impl IntoIterator<Item = (OrganisationId, Share)>) {
        self.organisations
            .values_mut()
            .for_each(|share| *share = DEFAULT_SHARE);
        self.organisations.extend(shares);
    }

    /// Forgets every rule.
    pub(crate) fn clear_rules(&mut self) {
        self.rules.clear();
    }

    /// Sets the rule of an organisation for the service at a position.
    pub(crate) fn set_rule(&mut self, service: usize, rule: &SharingRule) {
        let organisation = self.index(&rule.organisation);
        let kept = Rule {
            share: rule.share,
            queue_limit: rule.queue_limit,
        };
        self.rules.insert((service, organisation), kept);
    }

    /// The weight of an organisation in a service.
    pub(crate) fn share(&self, service: usize, organisation: usize) -> f64 {
        match self.rules.get(&(service, organisation)) {
            Some(rule) => rule.share.get(),
            None => self.organisations[organisation].get(),
        }
    }

    /// Most requests of an organisation that may wait for a service in one class.
    pub(crate) fn queue_limit(&self, service: usize, organisation: usize, default: usize) -> usize {
        let rule = self.rules.get(&(service, organisation));
        rule.map_or(default, |rule| rule.queue_limit)
    }
}
