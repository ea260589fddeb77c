//! The commands `key grant` and `key withdraw`.

use jm_config::{Edit, KeySecret, SectionBody, SectionKind, SectionName};
use jm_types::{KeyId, ResultCode};

use crate::cli::{
    CliError, GrantOptions, KeyCommand, WithdrawOptions,
    admin::AdminClient,
    config::{accepted_text, new_change, random_bytes},
    error::BadOptionSnafu,
};

impl KeyCommand {
    /// Runs the command and returns its output.
    pub(crate) async fn output(self) -> Result<String, CliError> {
        match self {
            Self::Grant(options) => grant(&options).await,
            Self::Withdraw(options) => withdraw(&options).await,
        }
    }
}

fn bad_option(code: ResultCode, message: impl std::fmt::Display) -> CliError {
    let message = message.to_string();
    BadOptionSnafu { code, message }.build()
}

fn section_name(key: &KeyId) -> Result<SectionName, CliError> {
    SectionName::new(SectionKind::Key, key.as_str()).map_err(|error| bad_option(ResultCode::BadValue, error))
}

fn grant_body(options: &GrantOptions, secret: &KeySecret) -> Result<SectionBody, CliError> {
    let mut text = format!(
        "organisation = {}\nsha256 = {}\n",
        options.organisation,
        secret.hash()
    );
    if let Some(note) = &options.note {
        let single_line = !note.trim().is_empty() && !note.chars().any(char::is_control);
        if !single_line {
            return Err(bad_option(
                ResultCode::BadValue,
                "a note must be a single line of text",
            ));
        }
        text += &format!("note = {}\n", note.trim());
    }
    text.parse()
        .map_err(|error| bad_option(ResultCode::BadValue, error))
}

/// Creates a key and sends the hash of its secret. The secret is printed only after the change was accepted and is
/// stored nowhere.
async fn grant(options: &GrantOptions) -> Result<String, CliError> {
    let secret = KeySecret::from_random(random_bytes()?);
    let edit = Edit {
        section: section_name(&options.key)?,
        expected: None,
        body: Some(grant_body(options, &secret)?),
    };
    let client = AdminClient::new(&options.send.entry)?;
    let base = client.config().await?.revision;
    let change = new_change(&options.send, base, vec![edit])?;
    let accepted = client.send_change(&change).await?;
    let text = accepted_text(&change, accepted);
    Ok(format!(
        "{text}secret of key {}: {}\n",
        options.key,
        secret.expose()
    ))
}

async fn withdraw(options: &WithdrawOptions) -> Result<String, CliError> {
    let section = section_name(&options.key)?;
    let client = AdminClient::new(&options.send.entry)?;
    let view = client.config().await?;
    let found = view.sections.iter().find(|found| found.name == section);
    let Some(found) = found else {
        let message = format!("there is no section [{section}]");
        return Err(bad_option(ResultCode::DanglingReference, message));
    };
    let edit = Edit {
        section,
        expected: Some(found.revision),
        body: None,
    };
    let change = new_change(&options.send, view.revision, vec![edit])?;
    let accepted = client.send_change(&change).await?;
    Ok(accepted_text(&change, accepted))
}
