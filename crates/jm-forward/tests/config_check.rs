//! Guards against mistakes in a configuration that are not reported before it is sent, and against reports about a
//! configuration without mistakes.

use jm_forward::{
    BatchPolicy, CallerLimits, CheckLimits, ConfigDocument, ConfigField, EngineConfig, EntryList, Finding,
    Organisation, OrganisationEntry, Route, RouteKind, Service, ServiceWeight, Severity, check_config,
    compare_configs,
};
use jm_types::{ByteSize, DurationMs, Revision};

const LIMITS: CheckLimits = CheckLimits {
    buffer_bytes: ByteSize::new(38_500_000),
};

fn route(name: &str, prefix: &str, service: &str, kind: RouteKind) -> Route {
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind,
        timeout_ms: DurationMs::new(3_000),
        objective_ms: DurationMs::new(200),
        priority: 1,
        services: vec![part(service, 1)],
        max_attempts: 3,
        is_public: false,
    }
}

fn part(service: &str, weight: u64) -> ServiceWeight {
    ServiceWeight {
        service: service.parse().unwrap(),
        weight,
    }
}

fn service(name: &str, model: Option<&str>) -> Service {
    Service {
        id: name.parse().unwrap(),
        engine: model.map(|model| EngineConfig {
            slots: 8,
            memory_tokens: None,
            models: vec![model.parse().unwrap()],
        }),
        capacity: None,
        cold_start: None,
    }
}

fn organisation(name: &str, keys: &[&str]) -> OrganisationEntry {
    OrganisationEntry {
        organisation: Organisation {
            id: name.parse().unwrap(),
            priority: None,
        },
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
    }
}

fn document() -> ConfigDocument {
    let batch = RouteKind::Batch(BatchPolicy {
        due_ms: DurationMs::new(7_500),
        give_up_ms: DurationMs::new(40_000),
        is_single_version: false,
    });
    ConfigDocument {
        revision: Revision::new(7),
        caller_limits: CallerLimits {
            head_bytes: ByteSize::new(16_384),
            body_bytes: ByteSize::new(33_554_432),
            head_timeout_ms: DurationMs::new(3_000),
            idle_timeout_ms: DurationMs::new(15_000),
        },
        routes: vec![
            route("drafts", "/drafts/", "engines", batch),
            route("orders", "/orders/", "desk", RouteKind::Idempotent),
        ],
        services: vec![service("engines", Some("m0")), service("desk", None)],
        organisations: Some(vec![organisation("parish", &["k1", "k2"])]),
    }
}

type Summary = (Severity, Option<EntryList>, Option<usize>, Option<ConfigField>);

fn summary(findings: Vec<Finding>) -> Vec<Summary> {
    let summary = |finding: Finding| {
        let place = finding.place;
        (finding.severity, place.list, place.index, place.field)
    };
    findings.into_iter().map(summary).collect()
}

/// Findings about the document after a mistake.
fn after(mistake: impl Fn(&mut ConfigDocument)) -> Vec<Summary> {
    let mut document = document();
    mistake(&mut document);
    summary(check_config(&document, &LIMITS))
}

/// Differences after a change that is sent as the next revision.
fn differences(change: impl Fn(&mut ConfigDocument)) -> Vec<Summary> {
    let mut new = document();
    new.revision = new.revision.next();
    change(&mut new);
    summary(compare_configs(&new, &document()))
}

fn warning(list: EntryList, index: usize, field: ConfigField) -> Summary {
    (Severity::Warning, Some(list), Some(index), Some(field))
}

fn error(list: EntryList, index: usize, field: ConfigField) -> Summary {
    (Severity::Error, Some(list), Some(index), Some(field))
}

fn removed(list: EntryList) -> Summary {
    (Severity::Warning, Some(list), None, None)
}

#[test]
fn no_mistakes() {
    assert_eq!(after(|_| ()), []);
    assert_eq!(differences(|_| ()), []);
}

#[test]
fn entries_without_effect() {
    use EntryList::{Organisations, Routes, Services};
    let equal_prefix = after(|new| {
        new.routes.push(Route {
            name: "late".to_owned(),
            ..new.routes[1].clone()
        })
    });
    assert_eq!(equal_prefix, [warning(Routes, 2, ConfigField::PathPrefix)]);
    let port = after(|new| new.routes[0].host = "desk.example:80".to_owned());
    assert_eq!(port, [warning(Routes, 0, ConfigField::Host)]);
    let relative = after(|new| new.routes[0].path_prefix = "drafts/".to_owned());
    assert_eq!(relative, [warning(Routes, 0, ConfigField::PathPrefix)]);
    let zero_weight = after(|new| new.routes[1].services.push(part("engines", 0)));
    assert_eq!(zero_weight, [warning(Routes, 1, ConfigField::Services)]);
    let zero_weights = after(|new| new.routes[1].services = vec![part("desk", 0), part("engines", 0)]);
    assert_eq!(zero_weights, [warning(Routes, 1, ConfigField::Services)]);
    let unused = after(|new| new.services.push(service("spare", Some("m1"))));
    let whole = (Severity::Warning, Some(Services), Some(2), None);
    assert_eq!(unused, [whole, warning(Services, 2, ConfigField::Models)]);
    let keyless = after(|new| new.organisations = Some(vec![organisation("parish", &[])]));
    assert_eq!(keyless, [warning(Organisations, 0, ConfigField::Keys)]);
    let spaced = after(|new| new.organisations = Some(vec![organisation("parish", &[" k1"])]));
    assert_eq!(spaced, [warning(Organisations, 0, ConfigField::Keys)]);
    let nobody = after(|new| new.organisations = Some(Vec::new()));
    assert_eq!(
        nobody,
        [(Severity::Warning, None, None, Some(ConfigField::OrganisationList))]
    );
}

#[test]
fn ambiguous_entries() {
    use EntryList::{Organisations, Routes, Services};
    let unknown = after(|new| new.routes[1].services.push(part("attic", 1)));
    assert_eq!(unknown, [error(Routes, 1, ConfigField::Services)]);
    let overflow = after(|new| new.routes[1].services = vec![part("desk", u64::MAX), part("engines", 1)]);
    assert_eq!(overflow, [error(Routes, 1, ConfigField::Services)]);
    let same_service = after(|new| new.services.push(service("desk", None)));
    assert_eq!(same_service, [error(Services, 2, ConfigField::Name)]);
    let add = |name: &'static str, key: &'static str| {
        after(move |new| {
            new.organisations
                .as_mut()
                .unwrap()
                .push(organisation(name, &[key]))
        })
    };
    assert_eq!(add("parish", "k3"), [error(Organisations, 1, ConfigField::Name)]);
    assert_eq!(add("guild", "k1"), [error(Organisations, 1, ConfigField::Keys)]);
}

#[test]
fn contradicting_limits() {
    let timeout = after(|new| new.routes[1].timeout_ms = DurationMs::new(199));
    assert_eq!(timeout, [warning(EntryList::Routes, 1, ConfigField::Timeout)]);
    let attempts = after(|new| new.routes[1].max_attempts = 0);
    assert_eq!(
        attempts,
        [warning(EntryList::Routes, 1, ConfigField::MaxAttempts)]
    );
    for give_up_ms in [0, 7_499] {
        let abandoned = after(|new| {
            let RouteKind::Batch(policy) = &mut new.routes[0].kind else {
                panic!("not a batch route");
            };
            policy.give_up_ms = DurationMs::new(give_up_ms);
        });
        assert_eq!(abandoned, [warning(EntryList::Routes, 0, ConfigField::GiveUp)]);
    }
    let body = after(|new| new.caller_limits.body_bytes = ByteSize::new(38_500_001));
    assert_eq!(
        body,
        [(Severity::Warning, None, None, Some(ConfigField::BodyBytes))]
    );
}

/// A change that takes something from callers is a warning, any other is not.
#[test]
fn differences_for_callers() {
    use EntryList::{Organisations, Routes, Services};
    let routes = differences(|new| drop(new.routes.remove(0)));
    assert_eq!(routes, [removed(Routes)]);
    let services = differences(|new| drop(new.services.remove(1)));
    assert_eq!(services, [removed(Services)]);
    let models = differences(|new| new.services[0] = service("engines", Some("m1")));
    let change = (
        Severity::Change,
        Some(Services),
        Some(0),
        Some(ConfigField::Engine),
    );
    let lost = (Severity::Warning, Some(Services), None, Some(ConfigField::Models));
    assert_eq!(models, [change, lost]);
    let key = differences(|new| new.organisations = Some(vec![organisation("parish", &["k1"])]));
    assert_eq!(key, [warning(Organisations, 0, ConfigField::Keys)]);
    let owner = differences(|new| new.organisations = Some(vec![organisation("guild", &["k1", "k2"])]));
    let added = (Severity::Change, Some(Organisations), Some(0), None);
    let moved = (
        Severity::Warning,
        Some(Organisations),
        None,
        Some(ConfigField::Keys),
    );
    assert_eq!(owner, [added, removed(Organisations), moved]);
    let timeout = differences(|new| new.routes[1].timeout_ms = DurationMs::new(2_000));
    assert_eq!(
        timeout,
        [(
            Severity::Change,
            Some(Routes),
            Some(1),
            Some(ConfigField::Timeout)
        )]
    );
}

/// Guards against callers that are refused, or admitted without a key, after a change that looks harmless.
#[test]
fn differences_of_access() {
    let kind = differences(|new| new.routes[0].kind = RouteKind::NonIdempotent);
    assert_eq!(kind, [warning(EntryList::Routes, 0, ConfigField::Kind)]);
    let open = differences(|new| new.organisations = None);
    let list = (Severity::Warning, None, None, Some(ConfigField::OrganisationList));
    assert_eq!(open, [list]);
    let (mut old, mut new) = (document(), document());
    old.organisations = None;
    new.revision = new.revision.next();
    assert_eq!(summary(compare_configs(&new, &old)), [list]);
    old = document();
    old.routes[1].is_public = true;
    let private = summary(compare_configs(&new, &old));
    assert_eq!(private, [warning(EntryList::Routes, 1, ConfigField::IsPublic)]);
}

/// Hosts ignore a revision that is not newer than theirs.
#[test]
fn revision_not_increased() {
    let same = differences(|new| (new.revision, new.routes[1].priority) = (Revision::new(7), 2));
    assert_eq!(
        same[0],
        (Severity::Warning, None, None, Some(ConfigField::Revision))
    );
}
