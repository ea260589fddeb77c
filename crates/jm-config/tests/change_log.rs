//! Compares the change log with a naive model that stores every document. Guards against lost changes, changes that are
//! applied twice, and daemons that reach different states from the same log.

use std::collections::BTreeMap;

use jm_config::{
    ApplyError, Author, Change, ChangeLog, ChangeOutcome, ChangeRefused, Document, Edit, RETAINED_CHANGE_IDS,
    SectionName, Snapshot, Team,
};
use jm_types::{ResultCode, Revision};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SECTIONS: [&str; 4] = ["organisation a", "organisation b", "zone a", "zone b"];
const BODIES: [&str; 3] = ["name = one\n", "name = two\n", "region = r\n"];

fn name(section: &str) -> SectionName {
    section.parse().expect("a section name")
}

fn author() -> Author {
    Author {
        actor: "tester".to_owned(),
        team: None,
    }
}

fn edit(section: &str, expected: Option<u64>, body: Option<&str>) -> Edit {
    Edit {
        section: name(section),
        expected: expected.map(Revision::new),
        body: body.map(|text| text.parse().expect("a body")),
    }
}

fn change(id: &str, base: u64, edits: Vec<Edit>) -> Change {
    Change {
        change_id: id.parse().expect("a change id"),
        author: author(),
        base: Revision::new(base),
        edits,
    }
}

/// A change by an operator who read a past revision and edits sections of that revision.
#[derive(Debug, Clone)]
struct Attempt {
    id: u8,
    age: u8,
    edits: Vec<(usize, Option<usize>)>,
}

impl Arbitrary for Attempt {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 3;
        let mut edits: Vec<(usize, Option<usize>)> = Vec::new();
        for _ in 0..count {
            let section = usize::arbitrary(g) % SECTIONS.len();
            let body = Option::<usize>::arbitrary(g).map(|body| body % BODIES.len());
            edits.push((section, body));
        }
        Self {
            id: u8::arbitrary(g) % 40,
            age: u8::arbitrary(g) % 4,
            edits,
        }
    }
}

type Sections = BTreeMap<&'static str, (u64, &'static str)>;

/// Every document that was in force, and the ids of all applied changes.
struct Model {
    documents: Vec<Sections>,
    applied: Vec<u8>,
}

impl Model {
    fn new() -> Self {
        Self {
            documents: vec![Sections::new()],
            applied: Vec::new(),
        }
    }

    fn revision(&self) -> usize {
        self.documents.len() - 1
    }

    fn base(&self, attempt: &Attempt) -> usize {
        self.revision().saturating_sub(usize::from(attempt.age))
    }

    fn change(&self, attempt: &Attempt) -> Change {
        let base = self.base(attempt);
        let seen = &self.documents[base];
        let edits = attempt.edits.iter().map(|(section, body)| {
            let section = SECTIONS[*section];
            let expected = seen.get(section).map(|(revision, _)| *revision);
            edit(section, expected, body.map(|body| BODIES[body]))
        });
        change(&format!("c{}", attempt.id), base as u64, edits.collect())
    }

    fn apply(&mut self, attempt: &Attempt) -> bool {
        let seen = &self.documents[self.base(attempt)];
        let mut next = self.documents[self.revision()].clone();
        let untouched = attempt.edits.iter().all(|(section, _)| {
            let section = SECTIONS[*section];
            seen.get(section).map(|(revision, _)| revision) == next.get(section).map(|(revision, _)| revision)
        });
        let repeated =
            attempt.edits.iter().enumerate().any(|(index, (section, _))| {
                attempt.edits[..index].iter().any(|(other, _)| other == section)
            });
        let is_applied =
            untouched && !repeated && !attempt.edits.is_empty() && !self.applied.contains(&attempt.id);
        if is_applied {
            self.applied.push(attempt.id);
            let revision = self.documents.len() as u64;
            for (section, body) in &attempt.edits {
                match body {
                    Some(body) => next.insert(SECTIONS[*section], (revision, BODIES[*body])),
                    None => next.remove(SECTIONS[*section]),
                };
            }
        }
        self.documents.push(next);
        is_applied
    }
}

fn sections(log: &ChangeLog) -> BTreeMap<String, (u64, String)> {
    let sections = log.view().sections.into_iter();
    sections
        .map(|section| {
            (
                section.name.to_string(),
                (section.revision.get(), section.body.to_string()),
            )
        })
        .collect()
}

fn expected(model: &Model) -> BTreeMap<String, (u64, String)> {
    let sections = model.documents[model.revision()].iter();
    sections
        .map(|(name, (revision, body))| ((*name).to_owned(), (*revision, (*body).to_owned())))
        .collect()
}

/// Whether the incrementally updated document equals the document that is parsed from the whole text.
fn document_is_current(log: &ChangeLog) -> bool {
    let sections = log.view().sections.into_iter();
    let text: String = sections
        .map(|section| format!("[{}]\n{}", section.name, section.body))
        .collect();
    match (log.document(), Document::parse("whole", &text)) {
        (Ok(kept), Ok(read)) => *kept == read && kept.to_text() == read.to_text(),
        (Err(_), Err(_)) => true,
        _ => false,
    }
}

/// Applies the attempts to the log and the model and returns the stored changes. Returns `None` when log and model
/// differ after any attempt.
fn run_attempts(attempts: &[Attempt]) -> Option<Vec<Change>> {
    let mut model = Model::new();
    let mut log = ChangeLog::new();
    let mut stored = Vec::new();
    for attempt in attempts {
        let change = model.change(attempt);
        let is_applied = model.apply(attempt);
        let outcome = log.apply(log.revision().next(), &change).ok()?;
        stored.push(change);
        let same = (outcome == ChangeOutcome::Applied) == is_applied && sections(&log) == expected(&model);
        if !same || !document_is_current(&log) {
            return None;
        }
    }
    Some(stored)
}

fn replay(log: &mut ChangeLog, changes: &[Change]) {
    for change in changes {
        let revision = log.revision().next();
        log.apply(revision, change).expect("the next revision");
    }
}

fn check(property: fn(Vec<Attempt>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 0x6a6d_0001))
        .tests(300)
        .quickcheck(property);
}

#[test]
fn log_equals_naive_model() {
    fn property(attempts: Vec<Attempt>) -> bool {
        run_attempts(&attempts).is_some()
    }
    check(property);
}

#[test]
fn snapshot_at_any_point_gives_the_same_state() {
    fn property(attempts: Vec<Attempt>) -> bool {
        let Some(stored) = run_attempts(&attempts) else {
            return false;
        };
        let mut whole = ChangeLog::new();
        replay(&mut whole, &stored);
        (0..=stored.len()).all(|cut| {
            let mut first = ChangeLog::new();
            replay(&mut first, &stored[..cut]);
            let mut bytes = Vec::new();
            ciborium::into_writer(&first.snapshot(), &mut bytes).expect("CBOR");
            let snapshot: Snapshot = ciborium::from_reader(bytes.as_slice()).expect("CBOR");
            let mut restored = ChangeLog::from_snapshot(snapshot);
            replay(&mut restored, &stored[cut..]);
            restored == whole && restored.view() == whole.view()
        })
    }
    check(property);
}

#[test]
fn replayed_changes_have_no_effect() {
    fn property(attempts: Vec<Attempt>) -> bool {
        let Some(stored) = run_attempts(&attempts) else {
            return false;
        };
        let mut log = ChangeLog::new();
        replay(&mut log, &stored);
        let before = sections(&log);
        let applied: Vec<_> = stored
            .iter()
            .filter(|change| log.accepted(&change.change_id).is_some())
            .cloned()
            .collect();
        replay(&mut log, &applied);
        sections(&log) == before
    }
    check(property);
}

#[test]
fn changes_round_trip_through_cbor_and_json() {
    fn property(attempts: Vec<Attempt>) -> bool {
        let stored = run_attempts(&attempts).unwrap_or_default();
        stored.iter().all(|change| {
            let mut bytes = Vec::new();
            ciborium::into_writer(change, &mut bytes).expect("CBOR");
            let from_cbor: Change = ciborium::from_reader(bytes.as_slice()).expect("CBOR");
            let json = serde_json::to_string(change).expect("JSON");
            let from_json: Change = serde_json::from_str(&json).expect("JSON");
            from_cbor == *change && from_json == *change
        })
    }
    check(property);
}

fn log_with(changes: &[Change]) -> ChangeLog {
    let mut log = ChangeLog::new();
    replay(&mut log, changes);
    log
}

fn two_organisations() -> Change {
    let edits = vec![
        edit("organisation a", None, Some("name = a\n")),
        edit("organisation b", None, Some("name = b\n")),
    ];
    change("first", 0, edits)
}

#[test]
fn concurrent_edits_to_different_sections_are_both_applied() {
    let left = change(
        "left",
        1,
        vec![edit("organisation a", Some(1), Some("name = left\n"))],
    );
    let right = change("right", 1, vec![edit("organisation b", Some(1), None)]);
    for order in [[&left, &right], [&right, &left]] {
        let mut log = log_with(&[two_organisations()]);
        for change in order {
            log.check(change).expect("untouched section");
            let outcome = log.apply(log.revision().next(), change);
            assert_eq!(outcome, Ok(ChangeOutcome::Applied));
        }
        assert!(log.section(&name("organisation b")).is_none());
        let state = log.section(&name("organisation a")).expect("kept");
        assert_eq!(state.body.get("name"), Some("left"));
    }
}

#[test]
fn only_one_of_two_concurrent_edits_to_a_section_is_applied() {
    let left = change(
        "left",
        1,
        vec![edit("organisation a", Some(1), Some("name = left\n"))],
    );
    let right = change("right", 1, vec![edit("organisation a", Some(1), None)]);
    for (first, second) in [(&left, &right), (&right, &left)] {
        let mut log = log_with(&[two_organisations(), first.clone()]);
        let refused = log.check(second).expect_err("conflict");
        assert_eq!(refused.code(), ResultCode::SectionConflict);
        let outcome = log.apply(Revision::new(3), second);
        assert_eq!(outcome, Ok(ChangeOutcome::Ignored(refused)));
        assert_eq!(log.revision(), Revision::new(3));
    }
}

#[test]
fn conflict_reports_the_newer_revision() {
    let first = change(
        "left",
        1,
        vec![edit("organisation a", Some(1), Some("name = left\n"))],
    );
    let log = log_with(&[two_organisations(), first]);
    let late = change(
        "late",
        1,
        vec![edit("organisation a", Some(1), Some("name = late\n"))],
    );
    let refused = log.check(&late).expect_err("conflict");
    let expected = ChangeRefused::Changed {
        section: name("organisation a"),
        expected: Some(Revision::new(1)),
        newer: Revision::new(2),
    };
    assert_eq!(refused, expected);
    assert!(refused.to_string().contains("changed at revision 2"), "{refused}");
}

/// Guards against a removal that reorders the other sections, because operators read the document as text.
#[test]
fn removal_preserves_the_order_of_other_sections() {
    let edits = ["a", "b", "c"].map(|id| edit(&format!("organisation {id}"), None, Some("name = n\n")));
    let removal = change("second", 1, vec![edit("organisation a", Some(1), None)]);
    let log = log_with(&[change("first", 0, edits.to_vec()), removal]);
    let left: Vec<_> = log
        .view()
        .sections
        .into_iter()
        .map(|section| section.name.to_string())
        .collect();
    assert_eq!(left, ["organisation b", "organisation c"]);
}

#[test]
fn gaps_and_older_revisions_are_refused() {
    let mut log = log_with(&[two_organisations()]);
    let before = log.clone();
    let next = change("next", 1, vec![edit("organisation a", Some(1), None)]);
    let (revision, current) = (Revision::new(3), Revision::new(1));
    assert_eq!(
        log.apply(revision, &next),
        Err(ApplyError::Gap { revision, current })
    );
    for old in [0, 1] {
        let revision = Revision::new(old);
        assert_eq!(
            log.apply(revision, &next),
            Err(ApplyError::Older { revision, current })
        );
    }
    assert_eq!(log, before);
}

#[test]
fn team_changes_only_its_own_sections() {
    let log = ChangeLog::new();
    let mut attempt = change("c", 0, vec![edit("zone a", None, Some("region = r\n"))]);
    attempt.author.team = Some(Team::Sales);
    let refused = log.check(&attempt).expect_err("zones belong to the workshop");
    assert_eq!(refused.code(), ResultCode::WrongTeam);
    attempt.author.team = Some(Team::Workshop);
    assert_eq!(log.check(&attempt), Ok(()));
}

/// Guards against the removal of an organisation whose key remains. The change does not edit the section of the key.
#[test]
fn change_that_breaks_a_reference_is_refused() {
    let key = format!("organisation = a\nsha256 = {}\n", "0".repeat(64));
    let edits = vec![
        edit("organisation a", None, Some("name = a\n")),
        edit("key k", None, Some(&key)),
    ];
    let log = log_with(&[change("first", 0, edits)]);
    let removal = change("second", 1, vec![edit("organisation a", Some(1), None)]);
    let refused = log.check(&removal).expect_err("the key refers to it");
    assert_eq!(refused.code(), ResultCode::DanglingReference);
    let both = vec![
        edit("organisation a", Some(1), None),
        edit("key k", Some(1), None),
    ];
    assert_eq!(log.check(&change("third", 1, both)), Ok(()));
}

#[test]
fn empty_change_and_duplicate_edit_are_refused() {
    let log = ChangeLog::new();
    let empty = change("c", 0, Vec::new());
    assert_eq!(log.check(&empty), Err(ChangeRefused::Empty));
    let one = edit("zone a", None, Some("region = r\n"));
    let duplicate = change("c", 0, vec![one.clone(), one]);
    assert_eq!(
        log.check(&duplicate).map_err(|refused| refused.code()),
        Err(ResultCode::Duplicate)
    );
}

/// Guards against a retry that recreates a removed section. Without the limit on the base, this would happen once the
/// id of the change is no longer retained.
#[test]
fn change_with_expired_id_is_not_applied_again() {
    let grant = change("grant", 0, vec![edit("organisation a", None, Some("name = a\n"))]);
    let withdraw = change("withdraw", 1, vec![edit("organisation a", Some(1), None)]);
    let mut log = log_with(&[grant.clone(), withdraw]);
    for _ in 0..RETAINED_CHANGE_IDS {
        let base = log.revision().get();
        assert_ne!(
            log.apply(log.revision().next(), &grant),
            Ok(ChangeOutcome::Applied),
            "base {base}"
        );
    }
    assert_eq!(log.accepted(&grant.change_id), None);
    let refused = log.check(&grant).expect_err("too old");
    assert_eq!(refused.code(), ResultCode::SectionConflict);
    assert!(log.section(&name("organisation a")).is_none());
}

/// Guards against a reused id that is reported as accepted although the new edits were not stored.
#[test]
fn id_of_another_change_is_refused() {
    let first = two_organisations();
    let log = log_with(std::slice::from_ref(&first));
    assert_eq!(log.repeat_of(&first), Ok(Some(Revision::new(1))));
    let mut other = first.clone();
    other.edits.truncate(1);
    let refused = log.repeat_of(&other).expect_err("other edits");
    assert_eq!(refused.code(), ResultCode::RequestMismatch);
    other.change_id = "second".parse().expect("a change id");
    assert_eq!(log.repeat_of(&other), Ok(None));
}

#[test]
fn base_newer_than_the_log_is_refused() {
    let early = change("c", 5, vec![edit("zone a", None, Some("region = r\n"))]);
    let refused = ChangeLog::new().check(&early).expect_err("unknown base");
    assert_eq!(refused.code(), ResultCode::NotFresh);
}

/// Guards against a misspelt or missing `body` that is parsed as a removal, and against a body that contains another
/// section.
#[test]
fn ambiguous_edits_are_refused() {
    for text in [
        r#"{"section":"zone a","expected":1,"boddy":"region = r"}"#,
        r#"{"section":"zone a","expected":1}"#,
        r#"{"section":"zone a","body":null}"#,
        r#"{"section":"zone a","expected":1,"body":"[zone b]\nregion = r"}"#,
        r#"{"section":"zone a","expected":1,"body":"region = r\nregion = q"}"#,
        r#"{"section":"shelf a","expected":1,"body":null}"#,
    ] {
        assert!(serde_json::from_str::<Edit>(text).is_err(), "{text}");
    }
    let removal = r#"{"section":"zone a","expected":1,"body":null}"#;
    let read: Edit = serde_json::from_str(removal).expect("a removal");
    assert_eq!(read, edit("zone a", Some(1), None));
}
