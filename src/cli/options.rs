//! Command-line definitions.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::{OptionParser, Parser, construct, long, positional};
use jm_config::ChangeId;
use jm_types::{KeyId, OrganisationId};

use crate::cli::token::ENTRY_VARIABLE;

/// How to reach the admin API. The token is never an argument, because other users of a host can read arguments.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// The admin address of an entry daemon.
    pub entry: SocketAddr,
    /// The file that holds the admin token; the environment variable when absent.
    pub token_file: Option<PathBuf>,
}

/// How to send a change.
#[derive(Debug, Clone)]
pub struct SendOptions {
    /// How to reach the admin API.
    pub entry: EntryOptions,
    /// The name for the history.
    pub actor: String,
}

/// `config ...`
#[derive(Debug, Clone)]
pub enum ConfigCommand {
    /// Checks documents without connecting to a daemon.
    Check {
        /// The documents.
        files: Vec<PathBuf>,
    },
    /// Shows what `apply` would send.
    Diff {
        /// The edited document.
        file: PathBuf,
        /// Compare with the document in force instead of the one that was read.
        replace: bool,
        /// How to reach the admin API.
        entry: EntryOptions,
    },
    /// Sends the sections that were changed.
    Apply {
        /// The edited document.
        file: PathBuf,
        /// Compare with the document in force instead of the one that was read.
        replace: bool,
        /// The id of a change that is sent again; a new id when absent.
        change_id: Option<ChangeId>,
        /// How to send the change.
        send: SendOptions,
    },
    /// Lists accepted changes.
    History {
        /// How to reach the admin API.
        entry: EntryOptions,
    },
    /// Shows the document in force.
    Show {
        /// The file to write for editing; printed when absent.
        to: Option<PathBuf>,
        /// How to reach the admin API.
        entry: EntryOptions,
    },
}

/// `key grant`
#[derive(Debug, Clone)]
pub struct GrantOptions {
    /// The public name of the new key.
    pub key: KeyId,
    /// The organisation that requests with the key run for.
    pub organisation: OrganisationId,
    /// A remark in the document.
    pub note: Option<String>,
    /// How to send the change.
    pub send: SendOptions,
}

/// `key withdraw`
#[derive(Debug, Clone)]
pub struct WithdrawOptions {
    /// The public name of the key.
    pub key: KeyId,
    /// How to send the change.
    pub send: SendOptions,
}

/// `key ...`
#[derive(Debug, Clone)]
pub enum KeyCommand {
    /// Makes a key and prints its secret once.
    Grant(GrantOptions),
    /// Removes a key.
    Withdraw(WithdrawOptions),
}

/// A command of an operator.
#[derive(Debug, Clone)]
pub enum OperatorCommand {
    /// Work on the operators' document.
    Config(ConfigCommand),
    /// Work on keys.
    Key(KeyCommand),
    /// Shows the state of the fleet.
    Status(EntryOptions),
    /// Shows the burn of the service-level objectives.
    Burn(EntryOptions),
    /// Checks settings files without connecting to a daemon.
    SettingsCheck {
        /// The settings files.
        files: Vec<PathBuf>,
    },
}

/// The parser of all operator commands.
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
        .help("File that holds the admin token; without it the token is read from JACINTHMOOR_ADMIN_TOKEN")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(EntryOptions { entry, token_file })
}

fn send_options() -> impl Parser<SendOptions> {
    let entry = entry_options();
    let actor = long("actor")
        .env("USER")
        .help("Your name for the history")
        .argument::<String>("NAME")
        .fallback("unknown".to_owned());
    construct!(SendOptions { entry, actor })
}

fn change_id() -> impl Parser<Option<ChangeId>> {
    long("change-id")
        .help("Id of a change whose outcome is not known, to send it again")
        .argument::<ChangeId>("ID")
        .optional()
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("The document")
}

fn files() -> impl Parser<Vec<PathBuf>> {
    let files = positional::<PathBuf>("FILE").help("Files to check");
    files.some("at least one FILE is needed")
}

fn replace() -> impl Parser<bool> {
    long("replace")
        .help("Make the document in force equal to FILE, whatever others changed since you read it")
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
        "Work on the operators' document",
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
        .help("New file to write for editing; also writes FILE.base, which diff and apply compare with")
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
    options(construct!([grant, withdraw]), "Work on keys")
}

fn key_grant() -> OptionParser<GrantOptions> {
    let key = key_id();
    let organisation = long("organisation")
        .help("Organisation that requests with the key run for")
        .argument::<OrganisationId>("ID");
    let note = long("note")
        .help("Remark in the document")
        .argument::<String>("TEXT")
        .optional();
    let send = send_options();
    let parser = construct!(GrantOptions {
        organisation,
        note,
        send,
        key
    });
    options(parser, "Make a key and print its secret once")
}

fn report_command() -> OptionParser<OperatorCommand> {
    let burn = options(entry_options(), "Show the burn of the service-level objectives")
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
    options(check, "Work on settings files")
}
