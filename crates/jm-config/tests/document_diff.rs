//! Guards against a diff that omits an edit or contains sections that the operator did not change.

use jm_config::{Author, Change, ChangeLog, Document, diff};
use jm_types::Revision;
use quickcheck::{Gen, QuickCheck};

const SAMPLE: &str = include_str!("../../../config/document.ini");

fn change(id: &str, base: Revision, log: &ChangeLog, wanted: &Document) -> Change {
    Change {
        change_id: id.parse().expect("a change id"),
        author: Author {
            actor: "tester".to_owned(),
            team: None,
        },
        base,
        edits: diff(&log.view(), wanted),
    }
}

fn document(text: &str) -> Document {
    Document::parse("document.ini", text).expect("a valid document")
}

fn log_with(text: &str) -> ChangeLog {
    let mut log = ChangeLog::new();
    let first = change("first", Revision::new(0), &log, &document(text));
    log.check(&first).expect("valid");
    log.apply(Revision::new(1), &first).expect("the next revision");
    log
}

#[test]
fn sample_document_round_trips_through_the_log() {
    let log = log_with(SAMPLE);
    assert_eq!(*log.document().expect("valid"), document(SAMPLE));
    assert!(diff(&log.view(), &document(SAMPLE)).is_empty());
}

#[test]
fn order_and_comments_are_ignored() {
    let log = log_with("[zone a]\nregion = r\n[organisation b]\nname = n\nnote = o\n");
    let wanted = document("# comment\n[organisation b]\nnote = o\nname = n\n[zone a]\nregion=r\n");
    assert!(diff(&log.view(), &wanted).is_empty());
}

#[test]
fn diff_contains_only_changed_sections() {
    let log = log_with(SAMPLE);
    let text = SAMPLE
        .replace("regular_max = 3", "regular_max = 4")
        .replace("[zone riga-a]", "[organisation new]\n\n[zone riga-a]");
    let names: Vec<_> = diff(&log.view(), &document(&text))
        .iter()
        .map(|edit| (edit.section.to_string(), edit.expected.map(Revision::get)))
        .collect();
    let expected = [
        ("capacity order-desk".to_owned(), Some(1)),
        ("organisation new".to_owned(), None),
    ];
    assert_eq!(names, expected);
}

/// A document that contains zone `N` if bit `N` of `present` is set. Bit `N` of `region` selects one of two regions.
fn zones(present: u8, region: u8) -> String {
    (0..8)
        .filter(|bit| present & (1 << bit) != 0)
        .map(|bit| format!("[zone z{bit}]\nregion = r{}\n", region >> bit & 1))
        .collect()
}

#[test]
fn diff_leads_from_any_document_to_any_other() {
    fn property(from: (u8, u8), to: (u8, u8)) -> bool {
        let mut log = ChangeLog::new();
        for (id, (present, region)) in [("from", from), ("to", to)] {
            let wanted = document(&zones(present, region));
            let change = change(id, log.revision(), &log, &wanted);
            if !change.edits.is_empty() {
                log.check(&change).expect("valid");
                log.apply(log.revision().next(), &change)
                    .expect("the next revision");
            }
        }
        diff(&log.view(), &document(&zones(to.0, to.1))).is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 0x6a6d_0002))
        .tests(300)
        .quickcheck(property as fn((u8, u8), (u8, u8)) -> bool);
}
