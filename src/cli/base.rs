//! Base document of an edit: the document as the operator read it, stored in a file next to the edited one. Edits are
//! computed against the base and not against the document in force, so that an edit of an older revision does not
//! revert changes that other operators made in the meantime.

use std::{
    fs,
    path::{Path, PathBuf},
};

use jm_config::{ConfigView, Edit, SectionView};
use jm_types::Revision;
use snafu::ResultExt;

use crate::cli::{
    CliError,
    error::{BaseSnafu, FileSnafu},
};

/// Returns the path of the base of `file`, which is `file` with the suffix `.base`.
pub(crate) fn base_file(file: &Path) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(".base");
    PathBuf::from(name)
}

pub(crate) fn read_base(file: &Path) -> Result<ConfigView, CliError> {
    let file = base_file(file);
    let text = match fs::read_to_string(&file) {
        Ok(text) => text,
        Err(error) => {
            let reason = error.to_string();
            return BaseSnafu { file, reason }.fail();
        }
    };
    serde_json::from_str(&text).map_err(|error| {
        let reason = error.to_string();
        BaseSnafu { file, reason }.build()
    })
}

pub(crate) fn write_base(file: &Path, view: &ConfigView) -> Result<(), CliError> {
    let file = base_file(file);
    let text = serde_json::to_string_pretty(view)
        .map_err(std::io::Error::other)
        .context(FileSnafu { file: &file })?;
    fs::write(&file, text).context(FileSnafu { file })
}

/// Returns the base after the operator's own edits were accepted at `revision`. Changes by other operators are not
/// included, because the edited file does not contain them either.
pub(crate) fn advance(mut base: ConfigView, edits: &[Edit], revision: Revision) -> ConfigView {
    base.revision = revision;
    for edit in edits {
        let index = base
            .sections
            .iter()
            .position(|section| section.name == edit.section);
        let section = edit.body.clone().map(|body| SectionView {
            name: edit.section.clone(),
            revision,
            body,
        });
        match (index, section) {
            (Some(index), Some(section)) => base.sections[index] = section,
            (Some(index), None) => {
                base.sections.remove(index);
            }
            (None, Some(section)) => base.sections.push(section),
            (None, None) => {}
        }
    }
    base
}
