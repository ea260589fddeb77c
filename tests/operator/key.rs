//! `key` commands against a stand-in. Guards against secrets that appear anywhere except in the output of the command.

use crate::common::Fixture;
use jm_config::KeySecret;
use jm_types::ResultCode;

fn with_organisation(name: &str) -> Fixture {
    let fixture = Fixture::start(name);
    let file = fixture.write("first.ini", "[organisation acme]\n");
    fixture
        .run(&["config", "apply", "--replace", &file])
        .expect("accepted");
    fixture
}

const GRANT: [&str; 5] = ["key", "grant", "desk", "--organisation", "acme"];

#[test]
fn secret_is_printed_once_and_only_its_hash_is_sent() {
    let fixture = with_organisation("secret_once");
    let output = fixture.run(&GRANT).expect("granted");
    let secrets: Vec<_> = output
        .split_whitespace()
        .filter(|word| word.starts_with("jmk_"))
        .collect();
    let [secret] = secrets[..] else {
        panic!("one secret in {output:?}");
    };
    let body = fixture.state().bodies.last().expect("a change").clone();
    assert!(!body.contains("jmk_") && !body.contains(&secret["jmk_".len()..]));
    assert!(body.contains(&KeySecret::from_text(secret).hash().to_string()));
    let shown = fixture.run(&["config", "show"]).expect("shown");
    assert!(shown.contains("[key desk]") && !shown.contains("jmk_"), "{shown}");
}

#[test]
fn secrets_differ() {
    let fixture = with_organisation("secrets_differ");
    let first = fixture.run(&GRANT).expect("granted");
    let second = fixture
        .run(&["key", "grant", "other", "--organisation", "acme"])
        .expect("granted");
    let secret = |output: &str| output.split_whitespace().last().map(str::to_owned);
    assert_ne!(secret(&first), secret(&second));
}

/// Guards against a printed secret whose hash was not stored, which would look like a valid key.
#[test]
fn refused_grant_prints_no_secret() {
    let fixture = with_organisation("refused_grant");
    fixture.run(&GRANT).expect("granted");
    let error = fixture.run(&GRANT).expect_err("the key exists");
    assert!(error.to_string().contains("JM5009 SectionConflict"), "{error}");
    assert!(!format!("{error} {error:?}").contains("jmk_"));
    let unknown = fixture.run(&["key", "grant", "b", "--organisation", "nobody"]);
    let error = unknown.expect_err("no such organisation");
    assert!(error.to_string().contains("JM5008 DanglingReference"), "{error}");
}

#[test]
fn lost_answer_still_prints_the_stored_secret() {
    let fixture = with_organisation("lost_grant");
    fixture.state().lost_answers = 1;
    let output = fixture.run(&GRANT).expect("resolved");
    let secret = output.split_whitespace().last().expect("a secret");
    let hash = KeySecret::from_text(secret).hash().to_string();
    let name = "key desk".parse().expect("a section name");
    let state = fixture.state();
    assert_eq!(
        state.log.section(&name).expect("stored").body.get("sha256"),
        Some(hash.as_str())
    );
}

#[test]
fn withdrawn_key_is_gone() {
    let fixture = with_organisation("withdrawn");
    fixture.run(&GRANT).expect("granted");
    fixture.run(&["key", "withdraw", "desk"]).expect("withdrawn");
    let name = "key desk".parse().expect("a section name");
    assert!(fixture.state().log.section(&name).is_none());
    let error = fixture.run(&["key", "withdraw", "desk"]).expect_err("gone");
    assert_eq!(error.exit_status(), 1);
    assert!(
        error
            .to_string()
            .contains(&ResultCode::DanglingReference.to_string()),
        "{error}"
    );
}

/// Guards against a line break in a note, which could add settings to the section.
#[test]
fn note_must_be_a_single_line() {
    let fixture = with_organisation("note");
    let with_note = |note: &str| fixture.run(&[&GRANT[..], &["--note", note]].concat());
    let error = with_note("a\norganisation = b").expect_err("two lines");
    assert!(error.to_string().contains("JM5004 BadValue"), "{error}");
    with_note("for the order desk").expect("granted");
    let shown = fixture.run(&["config", "show"]).expect("shown");
    assert!(shown.contains("note = for the order desk"), "{shown}");
}
