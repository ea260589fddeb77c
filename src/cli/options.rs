//! Command-line options of the operator commands.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::{OptionParser, Parser, construct, long, positional};
use jm_config::ChangeId;
use jm_types::{KeyId, OrganisationId};

use crate::cli::token::ENTRY_VARIABLE;

/// Address and credentials of the admin API. The token is never a command-line argument, because other users of a host
/// can read the arguments of a process.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// The admin address of an entry daemon.
    pub entry: SocketAddr,
    /// The file that contains the admin token. `None` means that the token is read from the environment.
    pub token_file: Option<PathBuf>,
}

/// Options of commands that change the document.
#[derive(Debug, Clone)]
pub struct SendOptions {
    /// Address and credentials of the admin API.
    pub entry: EntryOptions,
    /// Author name that is recorded in the history.
    pub actor: String,
}

/// Subcommands of `config`.
#[derive(Debug, Clone)]
pub enum ConfigCommand {
    /// Checks documents without connecting to a daemon.
    Check {
        /// Paths of the documents.
        files: Vec<PathBuf>,
    },
    /// Shows what `apply` would send.
    Diff {
        /// Path of the edited document.
        file: PathBuf,
        /// Compute edits against the document in force instead of the base file.
        replace: bool,
        /// Address and credentials of the admin API.
        entry: EntryOptions,
    },
    /// Sends the sections that were changed.
    Apply {
        /// Path of the edited document.
        file: PathBuf,
        /// Compute edits against the document in force instead of the base file.
        replace: bool,
        /// The id of an earlier change to send again. `None` means a new id.
        change_id: Option<ChangeId>,
        /// Options for sending the change.
        send: SendOptions,
    },
    /// Lists accepted changes.
    History {
        /// Address and credentials of the admin API.
        entry: EntryOptions,
    },
    /// Shows the document in force.
    Show {
        /// The file to write for editing. `None` means that the document is printed.
        to: Option<PathBuf>,
        /// Address and credentials of the admin API.
        entry: EntryOptions,
    },
}

/// Options of `key grant`.
#[derive(Debug, Clone)]
pub struct GrantOptions {
    /// The public name of the new key.
    pub key: KeyId,
    /// The organisation that requests with this key are run for.
    pub organisation: OrganisationId,
    /// A comment that is stored with the key in the document.
    pub note: Option<String>,
    /// Options for sending the change.
    pub send: SendOptions,
}

/// Options of `key withdraw`.
#[derive(Debug, Clone)]
pub struct WithdrawOptions {
    /// The public name of the key.
    pub key: KeyId,
    /// Options for sending the change.
    pub send: SendOptions,
}

/// Subcommands of `key`.
#[derive(Debug, Clone)]
pub enum KeyCommand {
    /// Creates a key and prints its secret, which is not stored.
    Grant(GrantOptions),
    /// Removes a key from the document.
    Withdraw(WithdrawOptions),
}

/// Commands for operators.
#[derive(Debug, Clone)]
pub enum OperatorCommand {
    /// Commands on the operators' document.
    Config(ConfigCommand),
    /// Commands on callers' keys.
    Key(KeyCommand),
    /// Shows the state of the fleet.
    Status(EntryOptions),
    /// Shows the error budget burn of the service-level objectives.
    Burn(EntryOptions),
    /// Checks settings files without connecting to a daemon.
    SettingsCheck {
        /// Paths of the settings files.
        files: Vec<PathBuf>,
    },
}

/// Returns the parser of all operator commands.
pub fn operator_command() -> impl Parser<OperatorCommand> {
    let config = config_command().command("config").map(OperatorCommand::Config);
    let key = key_command().command("key").map(OperatorCommand::Key);
    let status = options(entry_options(), "Show the state of the fleet")
        .command("status")
        .map(OperatorCommand::Status);
    let report = report_command().command("report");
    let settings = settings_command().command("settings");
    construct!([config, key, status, report, settings])
}

fn options<T: 'static>(parser: impl Parser<T> + 'static, description: &'static str) -> OptionParser<T> {
    parser.to_options().descr(description)
}

fn entry_options() -> impl Parser<EntryOptions> {
    let entry = long("entry")
        .env(ENTRY_VARIABLE)
        .help("Admin address of an entry daemon, such as 10.0.0.1:7001")
        .argument::<SocketAddr>("ADDRESS");
    let token_file = long("token-file")
        .help("File that contains the admin token; by default the token is read from JACINTHMOOR_ADMIN_TOKEN")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(EntryOptions { entry, token_file })
}

fn send_options() -> impl Parser<SendOptions> {
    let entry = entry_options();
    let actor = long("actor")
        .env("USER")
        .help("Author name to record in the history")
        .argument::<String>("NAME")
        .fallback("unknown".to_owned());
    construct!(SendOptions { entry, actor })
}

fn change_id() -> impl Parser<Option<ChangeId>> {
    long("change-id")
        .help("Id of an earlier change to send again when its outcome is unknown")
        .argument::<ChangeId>("ID")
        .optional()
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("The document")
}

fn files() -> impl Parser<Vec<PathBuf>> {
    let files = positional::<PathBuf>("FILE").help("Files to check");
    files.some("at least one FILE is required")
}

fn replace() -> impl Parser<bool> {
    long("replace")
        .help("Make the document in force equal to FILE and overwrite changes that others made since you read it")
        .switch()
}

fn config_command() -> OptionParser<ConfigCommand> {
    let check = options(
        construct!(ConfigCommand::Check { files() }),
        "Check documents without connecting to a daemon",
    )
    .command("check");
    let diff = config_diff().command("diff");
    let apply = config_apply().command("apply");
    let entry = entry_options();
    let history = options(
        construct!(ConfigCommand::History { entry }),
        "List accepted changes",
    )
    .command("history");
    let show = config_show().command("show");
    options(
        construct!([check, diff, apply, history, show]),
        "Manage the operators' document",
    )
}

fn config_diff() -> OptionParser<ConfigCommand> {
    let entry = entry_options();
    let parser = construct!(ConfigCommand::Diff { replace(), entry, file() });
    options(parser, "Show what apply would send")
}

fn config_apply() -> OptionParser<ConfigCommand> {
    let send = send_options();
    let parser = construct!(ConfigCommand::Apply { replace(), change_id(), send, file() });
    options(parser, "Send the sections that you changed")
}

fn config_show() -> OptionParser<ConfigCommand> {
    let to = long("to")
        .help("New file to write for editing; also writes FILE.base, against which diff and apply compute edits")
        .argument::<PathBuf>("FILE")
        .optional();
    let entry = entry_options();
    options(
        construct!(ConfigCommand::Show { to, entry }),
        "Show the document in force",
    )
}

fn key_id() -> impl Parser<KeyId> {
    positional::<KeyId>("KEY").help("Public name of the key")
}

fn key_command() -> OptionParser<KeyCommand> {
    let grant = key_grant().command("grant").map(KeyCommand::Grant);
    let key = key_id();
    let send = send_options();
    let withdraw = options(construct!(WithdrawOptions { send, key }), "Remove a key")
        .command("withdraw")
        .map(KeyCommand::Withdraw);
    options(construct!([grant, withdraw]), "Manage keys")
}

fn key_grant() -> OptionParser<GrantOptions> {
    let key = key_id();
    let organisation = long("organisation")
        .help("Organisation that requests with this key are run for")
        .argument::<OrganisationId>("ID");
    let note = long("note")
        .help("Comment to store with the key in the document")
        .argument::<String>("TEXT")
        .optional();
    let send = send_options();
    let parser = construct!(GrantOptions {
        organisation,
        note,
        send,
        key
    });
    options(parser, "Create a key and print its secret, which is not stored")
}

fn report_command() -> OptionParser<OperatorCommand> {
    let burn = options(
        entry_options(),
        "Show the error budget burn of the service-level objectives",
    )
    .command("burn")
    .map(OperatorCommand::Burn);
    options(burn, "Reports")
}

fn settings_command() -> OptionParser<OperatorCommand> {
    let check = options(
        construct!(OperatorCommand::SettingsCheck { files() }),
        "Check settings files without connecting to a daemon",
    )
    .command("check");
    options(check, "Check settings files")
}
