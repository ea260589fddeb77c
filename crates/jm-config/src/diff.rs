//! Computes the edits between the document in force and an edited document.

use crate::{change::Edit, document::Document, section::SectionName, view::ConfigView};

/// Returns one edit for each section that differs between `current` and `edited`. Unchanged sections are omitted, so
/// that the change does not conflict with other operators' changes to them.
pub fn diff(current: &ConfigView, edited: &Document) -> Vec<Edit> {
    let mut edits = Vec::new();
    for section in &current.sections {
        let body = edited.section(&section.name);
        if body != Some(&section.body) {
            edits.push(Edit {
                section: section.name.clone(),
                expected: Some(section.revision),
                body: body.cloned(),
            });
        }
    }
    let is_new = |name: &SectionName| !current.sections.iter().any(|section| section.name == *name);
    for (name, body) in edited.sections().filter(|(name, _)| is_new(name)) {
        edits.push(Edit {
            section: name.clone(),
            expected: None,
            body: Some(body.clone()),
        });
    }
    edits
}
