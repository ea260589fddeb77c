//! Findings about a configuration before it is sent, without I/O. Decoding belongs to the caller.

mod access;
mod compare;
mod compare_routes;
mod finding;
mod routes;
mod services;

use jm_types::ByteSize;

use crate::config_document::ConfigDocument;

pub use compare::compare_configs;
pub use finding::{ConfigField, EntryList, Finding, Place, Severity};

/// What a configuration must fit into but does not contain itself.
#[derive(Debug, Clone, Copy)]
pub struct CheckLimits {
    /// Memory for buffered bodies on the smallest host.
    pub buffer_bytes: ByteSize,
}

/// Returns the errors and warnings of one configuration, in the order of the document.
pub fn check_config(document: &ConfigDocument, limits: &CheckLimits) -> Vec<Finding> {
    let mut findings = check_limits(document, limits);
    findings.extend(routes::check(document));
    findings.extend(services::check(document));
    findings.extend(access::check(document));
    findings
}

fn check_limits(document: &ConfigDocument, limits: &CheckLimits) -> Vec<Finding> {
    let own = &document.caller_limits;
    let mut findings = Vec::new();
    if own.head_bytes.get() == 0 {
        let message = "no request fits into a head of 0 bytes";
        findings.push(Finding::warning(Place::of(ConfigField::HeadBytes), message));
    }
    if own.body_bytes > limits.buffer_bytes {
        let message = format!(
            "bodies of up to {} bytes are allowed, but the smallest host has {} bytes of memory for them",
            own.body_bytes.get(),
            limits.buffer_bytes.get()
        );
        findings.push(Finding::warning(Place::of(ConfigField::BodyBytes), message));
    }
    for (field, timeout_ms) in [
        (ConfigField::HeadTimeout, own.head_timeout_ms),
        (ConfigField::IdleTimeout, own.idle_timeout_ms),
    ] {
        if timeout_ms.get() == 0 {
            findings.push(Finding::warning(Place::of(field), "the timeout is 0 ms"));
        }
    }
    findings
}
