//! The commands `config check`, `diff`, `apply`, `history` and `show`.

use std::{
    fmt::Write as _,
    fs::{self, OpenOptions},
    io::Write as _,
    path::{Path, PathBuf},
};

use jm_config::{
    Author, Change, ChangeAccepted, ChangeId, ConfigView, Document, Edit, HistoryEntry, SectionView, diff,
};
use jm_types::{ResultCode, Revision};
use rand::{TryRngCore, rngs::OsRng};
use snafu::ResultExt;

use crate::cli::{
    CliError, ConfigCommand, EntryOptions, SendOptions,
    admin::AdminClient,
    base::{advance, read_base, write_base},
    error::{FileSnafu, InvalidSnafu, RandomSnafu},
};

const CHANGE_ID_BYTES: usize = 16;

impl ConfigCommand {
    /// Runs the command and returns its output.
    pub(crate) async fn output(self) -> Result<String, CliError> {
        match self {
            Self::Check { files } => check(&files),
            Self::Diff { file, replace, entry } => show_diff(&file, replace, &entry).await,
            Self::Apply {
                file,
                replace,
                change_id,
                send,
            } => apply_file(&file, replace, change_id, &send).await,
            Self::History { entry } => history(&entry).await,
            Self::Show { to, entry } => show(to.as_deref(), &entry).await,
        }
    }
}

fn check(files: &[PathBuf]) -> Result<String, CliError> {
    let mut errors = Vec::new();
    let mut output = String::new();
    for file in files {
        let text = fs::read_to_string(file).context(FileSnafu { file })?;
        let name = file.display().to_string();
        match Document::parse(&name, &text) {
            Ok(document) => output += &format!("{name}: valid, {} sections\n", document.sections().count()),
            Err(faults) => errors.push(faults),
        }
    }
    if errors.is_empty() {
        Ok(output)
    } else {
        InvalidSnafu { errors }.fail()
    }
}

fn read_document(file: &Path) -> Result<Document, CliError> {
    let text = fs::read_to_string(file).context(FileSnafu { file })?;
    Document::parse(&file.display().to_string(), &text).map_err(|faults| {
        let errors = vec![faults];
        InvalidSnafu { errors }.build()
    })
}

async fn show_diff(file: &Path, replace: bool, entry: &EntryOptions) -> Result<String, CliError> {
    let wanted = read_document(file)?;
    let in_force = AdminClient::new(entry)?.config().await?;
    let base = if replace {
        in_force.clone()
    } else {
        read_base(file)?
    };
    let edits = diff(&base, &wanted);
    if edits.is_empty() {
        return Ok("no difference\n".to_owned());
    }
    Ok(edits
        .iter()
        .map(|edit| edit_text(edit, &base, &in_force))
        .collect())
}

fn find<'a>(view: &'a ConfigView, edit: &Edit) -> Option<&'a SectionView> {
    view.sections.iter().find(|section| section.name == edit.section)
}

/// Formats one edit, with a warning when `apply` would be refused with a conflict.
fn edit_text(edit: &Edit, base: &ConfigView, in_force: &ConfigView) -> String {
    let old = find(base, edit)
        .map(|section| section.body.to_string())
        .unwrap_or_default();
    let new = edit.body.as_ref().map(ToString::to_string).unwrap_or_default();
    let verb = match (edit.expected, &edit.body) {
        (None, _) => "added",
        (Some(_), Some(_)) => "changed",
        (Some(_), None) => "removed",
    };
    let mut text = format!("[{}] {verb}\n", edit.section);
    let now = find(in_force, edit).map(|section| section.revision);
    if now != edit.expected {
        let code = ResultCode::SectionConflict;
        let now = now.map_or("absent now".to_owned(), |now| format!("at revision {now} now"));
        text += &format!("! {code} {}: changed since you read it, {now}\n", code.name());
    }
    for line in old
        .lines()
        .filter(|line| !new.lines().any(|other| other == *line))
    {
        text += &format!("- {line}\n");
    }
    for line in new
        .lines()
        .filter(|line| !old.lines().any(|other| other == *line))
    {
        text += &format!("+ {line}\n");
    }
    text
}

async fn apply_file(
    file: &Path,
    replace: bool,
    change_id: Option<ChangeId>,
    send: &SendOptions,
) -> Result<String, CliError> {
    let wanted = read_document(file)?;
    let client = AdminClient::new(&send.entry)?;
    let base = if replace {
        client.config().await?
    } else {
        read_base(file)?
    };
    let edits = diff(&base, &wanted);
    if edits.is_empty() {
        return Ok("no difference\n".to_owned());
    }
    let mut change = new_change(send, base.revision, edits)?;
    change.change_id = change_id.unwrap_or(change.change_id);
    let accepted = client.send_change(&change).await?;
    write_base(file, &advance(base, &change.edits, accepted.revision))?;
    Ok(accepted_text(&change, accepted))
}

/// Builds a change with a new id. The entry daemon sets the team from the admin token.
pub(crate) fn new_change(send: &SendOptions, base: Revision, edits: Vec<Edit>) -> Result<Change, CliError> {
    let author = Author {
        actor: send.actor.clone(),
        team: None,
    };
    Ok(Change {
        change_id: random_change_id()?,
        author,
        base,
        edits,
    })
}

fn random_change_id() -> Result<ChangeId, CliError> {
    let bytes: [u8; CHANGE_ID_BYTES] = random_bytes()?;
    let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    text.parse().map_err(|error: jm_config::ParseChangeIdError| {
        let reason = error.to_string();
        RandomSnafu { reason }.build()
    })
}

/// Returns random bytes from the operating system.
pub(crate) fn random_bytes<const N: usize>() -> Result<[u8; N], CliError> {
    let mut bytes = [0; N];
    match OsRng.try_fill_bytes(&mut bytes) {
        Ok(()) => Ok(bytes),
        Err(error) => {
            let reason = error.to_string();
            RandomSnafu { reason }.fail()
        }
    }
}

/// Formats the result of an accepted change.
pub(crate) fn accepted_text(change: &Change, accepted: ChangeAccepted) -> String {
    let state = if accepted.in_force {
        "in force".to_owned()
    } else {
        let code = ResultCode::NotYetConfirmed;
        format!(
            "{code} {}: stored, a majority has not yet confirmed it",
            code.name()
        )
    };
    format!(
        "change {} is revision {}, {state}\n",
        change.change_id, accepted.revision
    )
}

async fn history(entry: &EntryOptions) -> Result<String, CliError> {
    let entries = AdminClient::new(entry)?.history().await?;
    Ok(entries.iter().map(history_line).collect())
}

fn history_line(entry: &HistoryEntry) -> String {
    let sections: Vec<_> = entry.sections.iter().map(|name| format!("[{name}]")).collect();
    // Names are set by other operators. Escaping them keeps control sequences from the terminal.
    let actor = entry.author.actor.escape_debug();
    let mut line = format!("{} {} {actor}", entry.revision, entry.change_id);
    if let Some(team) = entry.author.team {
        line += &format!(" ({team})");
    }
    line + &format!(": {}\n", sections.join(", "))
}

async fn show(to: Option<&Path>, entry: &EntryOptions) -> Result<String, CliError> {
    let view = AdminClient::new(entry)?.config().await?;
    let text = view_text(&view);
    let Some(file) = to else {
        return Ok(text);
    };
    // `create_new` fails on an existing file, which may contain edits that are not applied yet.
    let mut created = OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(file)
        .context(FileSnafu { file })?;
    created.write_all(text.as_bytes()).context(FileSnafu { file })?;
    write_base(file, &view)?;
    Ok(format!("{} holds revision {}\n", file.display(), view.revision))
}

fn view_text(view: &ConfigView) -> String {
    let mut text = format!("# Revision {}\n\n", view.revision);
    for section in &view.sections {
        let _ = writeln!(text, "[{}]\n{}", section.name, section.body);
    }
    text
}
