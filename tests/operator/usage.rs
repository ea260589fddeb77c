//! Command lines, sample files and exit statuses. Guards against sample files that no longer parse and against tokens
//! in arguments.

use crate::common::{Fixture, parse};
use async_std::task;
use jacinthmoor::cli::{CliError, USAGE_STATUS};

fn run(args: &[&str]) -> Result<String, CliError> {
    task::block_on(parse(args).expect("a valid command").output())
}

#[test]
fn sample_files_are_accepted() {
    let hosts = ["config/host-a.ini", "config/host-b.ini", "config/host-c.ini"];
    let output = run(&[&["settings", "check"][..], &hosts].concat()).expect("valid");
    for (file, host) in hosts.iter().zip(["host-a", "host-b", "host-c"]) {
        assert!(
            output.contains(&format!("{file}: valid, daemon {host}\n")),
            "{output}"
        );
    }
    let output = run(&["config", "check", "config/document.ini"]).expect("valid");
    assert!(output.starts_with("config/document.ini: valid, "), "{output}");
}

#[test]
fn faults_of_all_files_are_reported() {
    let fixture = Fixture::start("all_files");
    let first = fixture.write("first.ini", "[shelf x]\n[zone z]\n");
    let second = fixture.write("second.ini", "stray\n");
    let error = run(&["config", "check", &first, &second]).expect_err("faults");
    assert_eq!(error.exit_status(), 1);
    let text = error.to_string();
    for part in [
        "first.ini:1: JM5002",
        "first.ini:2: JM5007",
        "second.ini:1: JM5001",
    ] {
        assert!(text.contains(part), "{text}");
    }
    let error = run(&["settings", "check", &second]).expect_err("faults");
    assert_eq!(error.exit_status(), 1);
    assert!(error.to_string().contains("JM5007 MissingSetting"), "{error}");
}

#[test]
fn missing_inputs_are_usage_errors() {
    let error = run(&["config", "check", "config/no-such-file.ini"]).expect_err("no file");
    assert_eq!(error.exit_status(), USAGE_STATUS);
    let fixture = Fixture::start("no_token");
    let empty = fixture.write("empty", "\n");
    let spaced = fixture.write("spaced", "two words\n");
    for token in [&empty, &spaced, &fixture.path("absent")] {
        let args = ["status", "--entry", "127.0.0.1:1", "--token-file", token];
        let error = run(&args).expect_err("no token");
        assert_eq!(error.exit_status(), USAGE_STATUS);
        assert!(!error.to_string().contains("two words"), "{error}");
    }
}

/// Guards against a token in the arguments of a process, which other users of the host can read.
#[test]
fn token_is_not_accepted_as_an_argument() {
    let args = ["status", "--entry", "127.0.0.1:1", "--token", "secret"];
    assert!(parse(&args).is_err());
}

#[test]
fn invalid_command_lines_are_refused() {
    for args in [
        &["config"][..],
        &["config", "check"],
        &["config", "frobnicate"],
        &["key", "grant", "k", "--entry", "127.0.0.1:1"],
        &[
            "key",
            "grant",
            "a b",
            "--organisation",
            "o",
            "--entry",
            "127.0.0.1:1",
        ],
        &["status", "--entry", "somewhere"],
        &[
            "config",
            "apply",
            "f",
            "--entry",
            "127.0.0.1:1",
            "--change-id",
            "a/b",
        ],
    ] {
        let failure = parse(args).expect_err("not a command");
        assert!(matches!(failure, bpaf::ParseFailure::Stderr(_)), "{args:?}");
    }
}

#[test]
fn help_is_not_an_error() {
    for args in [&["--help"][..], &["config", "apply", "--help"]] {
        let failure = parse(args).expect_err("help");
        assert!(matches!(failure, bpaf::ParseFailure::Stdout(..)), "{args:?}");
    }
}
