//! The document as the operator read it, kept in a file beside the edited one. Comparing with it instead of the document
//! in force keeps an old text from undoing what other operators changed in the meantime.

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

/// The file that holds the base of `file`.
pub(crate) fn base_file(file: &Path) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(".base");
    PathBuf::from(name)
}

/// Reads the base of `file`.
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

/// Writes the base of `file`.
pub(crate) fn write_base(file: &Path, view: &ConfigView) -> Result<(), CliError> {
    let file = base_file(file);
    let text = serde_json::to_string_pretty(view)
        .map_err(std::io::Error::other)
        .context(FileSnafu { file: &file })?;
    fs::write(&file, text).context(FileSnafu { file })
}

/// The base after the operator's own edits were accepted at `revision`. Changes of others stay out, because the edited
/// text does not have them either.
pub(crate) fn advance(mut base: ConfigView, edits: &[Edit], revision: Revision) -> ConfigView {
    base.revision = revision;
    for edit in edits {
        let place = base
            .sections
            .iter()
            .position(|section| section.name == edit.section);
        let section = edit.body.clone().map(|body| SectionView {
            name: edit.section.clone(),
            revision,
            body,
        });
        match (place, section) {
            (Some(place), Some(section)) => base.sections[place] = section,
            (Some(place), None) => {
                base.sections.remove(place);
            }
            (None, Some(section)) => base.sections.push(section),
            (None, None) => {}
        }
    }
    base
}
