//! `config` commands against a stand-in. Guards against edits that revert changes of other operators, and against a
//! wrong report of the outcome of a change.

use crate::common::{Fixture, parse};
use jacinthmoor::cli::CliError;
use jm_config::Team;
use jm_types::{ResultCode, Revision};

const SAMPLE: &str = include_str!("../../config/document.ini");

/// Starts a stand-in whose revision 1 is the sample document.
fn with_sample(name: &str) -> Fixture {
    let fixture = Fixture::start(name);
    let file = fixture.write("first.ini", SAMPLE);
    let output = fixture
        .run(&["config", "apply", "--replace", &file])
        .expect("accepted");
    assert!(output.contains("is revision 1, in force"), "{output}");
    fixture
}

/// Writes the document in force to the file `name` and replaces text in it.
fn edit(fixture: &Fixture, name: &str, from: &str, to: &str) -> String {
    let file = fixture.path(name);
    fixture.run(&["config", "show", "--to", &file]).expect("shown");
    let text = fixture.read(name);
    assert!(text.contains(from));
    fixture.write(name, &text.replace(from, to))
}

#[track_caller]
fn expect_refusal(result: Result<String, CliError>, expected: ResultCode) -> String {
    let error = result.expect_err("refused");
    assert_eq!(error.exit_status(), 1);
    let text = error.to_string();
    assert!(
        text.contains(&format!("{expected} {}", expected.name())),
        "{text}"
    );
    text
}

fn regular_max(fixture: &Fixture, section: &str) -> String {
    let name = section.parse().expect("a section name");
    let state = fixture.state();
    let section = state.log.section(&name).expect("a section");
    section.body.get("regular_max").expect("a key").to_owned()
}

#[test]
fn shown_document_is_valid_and_has_no_difference() {
    let fixture = with_sample("shown_document");
    let text = fixture.run(&["config", "show"]).expect("shown");
    let file = fixture.write("shown.ini", &text);
    let command = parse(&["config", "check", &file]).expect("a valid command");
    let output = async_std::task::block_on(command.output()).expect("valid");
    assert!(output.contains("valid"), "{output}");
    let output = fixture
        .run(&["config", "diff", "--replace", &file])
        .expect("compared");
    assert_eq!(output, "no difference\n");
}

#[test]
fn only_the_edited_section_is_sent() {
    let fixture = with_sample("only_edited");
    let file = edit(&fixture, "a.ini", "regular_max = 3", "regular_max = 4");
    let output = fixture.run(&["config", "diff", &file]).expect("compared");
    assert_eq!(
        output,
        "[capacity order-desk] changed\n- regular_max = 3\n+ regular_max = 4\n"
    );
    fixture
        .run(&["config", "apply", &file, "--actor", "maria"])
        .expect("accepted");
    assert_eq!(regular_max(&fixture, "capacity order-desk"), "4");
    let history = fixture.run(&["config", "history"]).expect("listed");
    let last = history.lines().last().expect("two changes");
    assert!(
        last.starts_with("2 ") && last.ends_with(" maria: [capacity order-desk]"),
        "{last}"
    );
}

/// Guards against an edit that reverts the change of another operator. Edits that are computed against the document in
/// force would contain the previous text of the section that the other operator changed.
#[test]
fn concurrent_edits_to_different_sections_are_both_accepted() {
    let fixture = with_sample("different_sections");
    let left = edit(&fixture, "left.ini", "regular_max = 3", "regular_max = 4");
    let right = edit(&fixture, "right.ini", "regular_max = 10", "regular_max = 11");
    fixture.run(&["config", "apply", &left]).expect("accepted");
    fixture.run(&["config", "apply", &right]).expect("accepted");
    assert_eq!(regular_max(&fixture, "capacity order-desk"), "4");
    assert_eq!(regular_max(&fixture, "capacity drafts"), "11");
}

#[test]
fn second_of_two_concurrent_edits_to_one_section_is_refused() {
    let fixture = with_sample("one_section");
    let left = edit(&fixture, "left.ini", "regular_max = 3", "regular_max = 4");
    let right = edit(&fixture, "right.ini", "regular_max = 3", "regular_max = 5");
    fixture.run(&["config", "apply", &left]).expect("accepted");
    let shown = fixture.run(&["config", "diff", &right]).expect("compared");
    assert!(
        shown.contains("! JM5009 SectionConflict: changed since you read it, at revision 2 now"),
        "{shown}"
    );
    let text = expect_refusal(
        fixture.run(&["config", "apply", &right]),
        ResultCode::SectionConflict,
    );
    assert!(text.contains("not run") && text.contains("revision 2"), "{text}");
    assert_eq!(regular_max(&fixture, "capacity order-desk"), "4");
}

/// Guards against an apply that leaves the file unusable for the next edit, and against a next edit that reverts
/// changes made in between.
#[test]
fn file_can_be_edited_and_applied_again() {
    let fixture = with_sample("applied_again");
    let mine = edit(&fixture, "mine.ini", "regular_max = 3", "regular_max = 4");
    let other = edit(&fixture, "other.ini", "regular_max = 10", "regular_max = 11");
    fixture.run(&["config", "apply", &mine]).expect("accepted");
    fixture.run(&["config", "apply", &other]).expect("accepted");
    let text = fixture
        .read("mine.ini")
        .replace("regular_max = 4", "regular_max = 6");
    fixture.write("mine.ini", &text);
    fixture.run(&["config", "apply", &mine]).expect("accepted");
    assert_eq!(regular_max(&fixture, "capacity order-desk"), "6");
    assert_eq!(regular_max(&fixture, "capacity drafts"), "11");
    assert_eq!(
        fixture.run(&["config", "apply", &mine]).expect("nothing to do"),
        "no difference\n"
    );
}

#[test]
fn show_does_not_overwrite_edits() {
    let fixture = with_sample("no_overwrite");
    let file = fixture.write("mine.ini", "unsaved work");
    let error = fixture
        .run(&["config", "show", "--to", &file])
        .expect_err("the file exists");
    assert_eq!(error.exit_status(), 2);
    assert_eq!(fixture.read("mine.ini"), "unsaved work");
}

#[test]
fn apply_without_base_needs_replace() {
    let fixture = with_sample("no_base");
    let file = fixture.write("other.ini", SAMPLE);
    let error = fixture.run(&["config", "apply", &file]).expect_err("no base");
    assert_eq!(error.exit_status(), 2);
    assert!(error.to_string().contains("--replace"), "{error}");
}

#[test]
fn lost_answer_is_resolved_by_the_change_id() {
    let fixture = with_sample("lost_answer");
    let file = edit(&fixture, "a.ini", "regular_max = 3", "regular_max = 4");
    fixture.state().lost_answers = 1;
    let output = fixture.run(&["config", "apply", &file]).expect("resolved");
    assert!(output.contains("is revision 2"), "{output}");
    assert_eq!(fixture.state().log.revision(), Revision::new(2));
    assert_eq!(fixture.state().history.len(), 2);
}

#[test]
fn unknown_outcome_is_reported_with_the_change_id() {
    let fixture = with_sample("unknown_outcome");
    let file = edit(&fixture, "a.ini", "regular_max = 3", "regular_max = 4");
    fixture.state().lost_answers = 3;
    let text = expect_refusal(
        fixture.run(&["config", "apply", &file]),
        ResultCode::ChangeUnknown,
    );
    let id = fixture.state().history[1].change_id.to_string();
    assert!(text.contains(&id) && text.contains("outcome unknown"), "{text}");
    let output = fixture
        .run(&["config", "apply", &file, "--change-id", &id])
        .expect("resolved");
    assert!(output.contains("is revision 2"), "{output}");
    assert_eq!(fixture.state().history.len(), 2);
}

/// Guards against a refusal that is reported although an earlier attempt may have been stored.
#[test]
fn refusal_after_an_unknown_attempt_stays_unknown() {
    let fixture = with_sample("stays_unknown");
    let file = edit(&fixture, "a.ini", "parish, kurpju", "parish");
    fixture.state().team = Some(Team::Sales);
    fixture.state().lost_changes = 1;
    expect_refusal(
        fixture.run(&["config", "apply", &file]),
        ResultCode::ChangeUnknown,
    );
    expect_refusal(fixture.run(&["config", "apply", &file]), ResultCode::WrongTeam);
}

#[test]
fn history_prints_no_control_sequences() {
    let fixture = with_sample("control_sequences");
    let file = edit(&fixture, "a.ini", "regular_max = 3", "regular_max = 4");
    let actor = "J\u{101}nis\u{1b}[2J\nforged";
    fixture
        .run(&["config", "apply", &file, "--actor", actor])
        .expect("accepted");
    let history = fixture.run(&["config", "history"]).expect("listed");
    assert!(
        history.contains("J\u{101}nis") && !history.contains('\u{1b}'),
        "{history}"
    );
    assert_eq!(history.lines().count(), 2);
}

#[test]
fn unconfirmed_change_is_not_an_error() {
    let fixture = with_sample("unconfirmed");
    let file = edit(&fixture, "a.ini", "regular_max = 3", "regular_max = 4");
    fixture.state().in_force = false;
    let output = fixture.run(&["config", "apply", &file]).expect("accepted");
    assert!(output.contains("JM5010 NotYetConfirmed"), "{output}");
}

#[test]
fn invalid_document_is_not_sent() {
    let fixture = with_sample("invalid");
    let file = edit(&fixture, "a.ini", "kind = engine", "kind = motor");
    let text = expect_refusal(fixture.run(&["config", "apply", &file]), ResultCode::BadValue);
    assert!(
        text.contains("a.ini:") && text.contains("allowed: engine, plain"),
        "{text}"
    );
    assert_eq!(fixture.state().bodies.len(), 1);
}

#[test]
fn refusals_name_code_and_execution() {
    let fixture = with_sample("refusals");
    for code in [
        ResultCode::StoreUnavailable,
        ResultCode::MissingKey,
        ResultCode::Internal,
    ] {
        fixture.state().refuse = Some(code);
        for args in [["config", "show"], ["config", "history"], ["report", "burn"]] {
            let text = expect_refusal(fixture.run(&args), code);
            assert!(text.contains(&code.execution().to_string()), "{text}");
        }
    }
}

#[test]
fn unreachable_daemon_is_reported_as_not_run() {
    let fixture = with_sample("unreachable");
    let token = fixture.path("token");
    // No process listens on port 1 of this loopback address.
    let args = ["status", "--entry", "127.0.0.99:1", "--token-file", &token];
    let command = parse(&args).expect("a valid command");
    let text = expect_refusal(
        async_std::task::block_on(command.output()),
        ResultCode::EntryUnreachable,
    );
    assert!(text.contains("not run"), "{text}");
}

#[test]
fn reports_are_printed() {
    let fixture = Fixture::start("reports");
    assert!(fixture.run(&["status"]).expect("printed").contains("one member"));
    assert!(
        fixture
            .run(&["report", "burn"])
            .expect("printed")
            .contains("no burn")
    );
}
