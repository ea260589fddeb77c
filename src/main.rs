//! The jacinthmoor program: daemons, operator commands, the demonstration and stand-ins.

#![deny(missing_docs, unsafe_code)]

use std::{path::PathBuf, process::ExitCode};

use bpaf::{ParseFailure, Parser, construct, long};
use jacinthmoor::{
    cli::{OperatorCommand, USAGE_STATUS, operator_command},
    daemon::{StartError, run_process},
    demo::run_demo,
    standin::{StandInCommand, stand_in_command},
};
use jm_config::Role;
use jm_types::LogEvent;

enum Command {
    Daemon { roles: Vec<Role>, settings: PathBuf },
    Operator(OperatorCommand),
    Demo,
    StandIn(StandInCommand),
}

fn daemon(name: &'static str, description: &'static str, roles: Vec<Role>) -> impl Parser<Command> {
    let settings = long("settings")
        .help("File with the settings of the process")
        .argument::<PathBuf>("FILE");
    settings
        .map(move |settings| Command::Daemon {
            roles: roles.clone(),
            settings,
        })
        .to_options()
        .descr(description)
        .command(name)
}

fn command() -> impl Parser<Command> {
    let entry = daemon("entry", "Run the entry daemon", vec![Role::Entry]);
    let dispatch = daemon("dispatch", "Run the dispatch daemon", vec![Role::Dispatch]);
    let control = daemon("control", "Run the control daemon", vec![Role::Control]);
    let run = daemon(
        "run",
        "Run every daemon that the settings list, in one process",
        Vec::new(),
    );
    let operator = operator_command().map(Command::Operator);
    let demo = bpaf::pure(())
        .map(|()| Command::Demo)
        .to_options()
        .descr("Run a demonstration fleet with its back ends and callers in one process on loopback")
        .command("demo");
    let stand_in = stand_in_command().map(Command::StandIn);
    construct!([entry, dispatch, control, run, operator, demo, stand_in])
}

fn main() -> ExitCode {
    let parser = command()
        .to_options()
        .descr("A rollout service for reinforcement learning");
    match parser.run_inner(bpaf::Args::current_args()) {
        Ok(command) => async_std::task::block_on(run(command)),
        Err(failure) => {
            let is_error = matches!(failure, ParseFailure::Stderr(_));
            failure.print_message(100);
            if is_error {
                ExitCode::from(USAGE_STATUS)
            } else {
                ExitCode::SUCCESS
            }
        }
    }
}

async fn run(command: Command) -> ExitCode {
    match command {
        Command::Daemon { roles, settings } => {
            exit_code(run_process(&settings, roles).await.inspect_err(log_failure))
        }
        Command::Demo => exit_code(run_demo().await),
        Command::StandIn(command) => exit_code(command.run().await),
        Command::Operator(command) => match command.run().await {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                ExitCode::from(error.exit_status())
            }
        },
    }
}

fn log_failure(error: &StartError) {
    LogEvent::DaemonFailed.write(error);
}

fn exit_code(result: Result<(), impl std::fmt::Display>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
