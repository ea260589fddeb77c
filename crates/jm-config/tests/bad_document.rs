//! Guards against invalid documents that are accepted, or that are refused with the wrong line or code.

use jm_config::{ConfigError, Document, SectionKind};
use jm_types::ResultCode;

const SAMPLE: &str = include_str!("../../../config/document.ini");

const BASE: &str = "\
[organisation acme]
[zone z1]
region = r1
[service chat]
kind = engine
model = m1
access = keyed
timeout = 5s
[service desk]
kind = plain
access = open
timeout = 5s
";

const BASE_LINES: usize = 12;

fn errors(text: &str) -> Vec<ConfigError> {
    match Document::parse("doc.ini", text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.errors().to_vec(),
    }
}

/// Appends `extra` to a valid document and compares the errors as (line within `extra`, code).
#[track_caller]
fn expect_errors(extra: &str, expected: &[(usize, ResultCode)]) {
    let found = errors(&format!("{BASE}{extra}"));
    let places: Vec<_> = found
        .iter()
        .map(|error| (error.line - BASE_LINES, error.code))
        .collect();
    assert_eq!(places, expected, "{found:#?}");
    for error in &found {
        assert_eq!(error.file, "doc.ini");
        assert!(
            !error.allowed.is_empty() && !error.message.is_empty(),
            "{error:?}"
        );
    }
}

const HASH: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

#[test]
fn sample_is_valid_and_has_every_kind() {
    let document = Document::parse("document.ini", SAMPLE).expect("the sample is valid");
    for kind in SectionKind::ALL {
        let mut names = document.sections().map(|(name, _)| name.kind());
        assert!(
            names.any(|found| found == *kind),
            "no section of kind {}",
            kind.word()
        );
    }
    let again = Document::parse("document.ini", &document.to_text()).expect("its text is valid");
    assert_eq!(document, again);
}

#[test]
fn malformed_lines() {
    expect_errors("no equals sign\n", &[(1, ResultCode::MalformedIni)]);
    expect_errors("= no key\n", &[(1, ResultCode::MalformedIni)]);
    expect_errors("[organisation b\n", &[(1, ResultCode::MalformedIni)]);
    expect_errors("[organisation b] name = x\n", &[(1, ResultCode::MalformedIni)]);
    expect_errors("[]\n", &[(1, ResultCode::MalformedIni)]);
    expect_errors(
        "[organisation b]\n  # indented comment\n",
        &[(2, ResultCode::MalformedIni)],
    );
    expect_errors(
        "[organisation b]\nname = a\u{1}b\n",
        &[(2, ResultCode::MalformedIni)],
    );
    expect_errors(
        "[organisation b]\nname = a\rnote = b\n",
        &[(2, ResultCode::MalformedIni)],
    );
}

#[test]
fn key_before_the_first_section() {
    let found = errors("name = x\n[organisation a]\n");
    assert_eq!(found.len(), 1);
    assert_eq!((found[0].line, found[0].code), (1, ResultCode::MalformedIni));
}

/// Guards against a lost key: `rust-ini` alone would parse `stray` as the start of the next key.
#[test]
fn stray_line_does_not_hide_the_next_key() {
    expect_errors(
        "[organisation b]\nstray\nname = x\n",
        &[(2, ResultCode::MalformedIni)],
    );
}

/// Guards against a hidden key: `rust-ini` joins a line that ends in a backslash to the next line.
#[test]
fn line_continuation_is_refused() {
    expect_errors(
        "[organisation b]\nname = a\\\nnote = b\n",
        &[(1, ResultCode::MalformedIni)],
    );
}

#[test]
fn unknown_sections_and_keys() {
    expect_errors("[organization b]\n", &[(1, ResultCode::UnknownSection)]);
    expect_errors("[organisation]\n", &[(1, ResultCode::UnknownSection)]);
    expect_errors("[organisation a b]\n", &[(1, ResultCode::UnknownSection)]);
    expect_errors("[organisation ../x]\n", &[(1, ResultCode::UnknownSection)]);
    expect_errors("[Organisation b]\n", &[(1, ResultCode::UnknownSection)]);
    expect_errors(
        "[organisation b]\ncolour = red\n",
        &[(2, ResultCode::UnknownSetting)],
    );
}

#[test]
fn duplicates() {
    expect_errors("[organisation acme]\n", &[(1, ResultCode::Duplicate)]);
    expect_errors("[organisation   acme]\n", &[(1, ResultCode::Duplicate)]);
    expect_errors(
        "[organisation b]\nname = x\nname = x\n",
        &[(3, ResultCode::Duplicate)],
    );
    let key = format!("organisation = acme\nsha256 = {HASH}\n");
    expect_errors(
        &format!("[key a]\n{key}[key b]\n{key}"),
        &[(6, ResultCode::Duplicate)],
    );
}

#[test]
fn missing_keys() {
    expect_errors("[zone z2]\n", &[(1, ResultCode::MissingSetting)]);
    let three = [(1, ResultCode::MissingSetting); 3];
    expect_errors("[service s]\n", &three);
    expect_errors(
        "[service s]\nkind = engine\naccess = open\ntimeout = 1s\n",
        &[(1, ResultCode::MissingSetting)],
    );
    expect_errors(
        "[capacity c]\nservice = chat\n",
        &[(1, ResultCode::MissingSetting); 4],
    );
    expect_errors("[training t]\n", &[(1, ResultCode::MissingSetting); 4]);
    expect_errors("[sharing s]\n", &[(1, ResultCode::MissingSetting); 4]);
    expect_errors("[route r]\n", &[(1, ResultCode::MissingSetting); 4]);
    expect_errors("[key k]\n", &[(1, ResultCode::MissingSetting); 2]);
    expect_errors("[target t]\n", &[(1, ResultCode::MissingSetting); 5]);
}

#[test]
fn bad_values() {
    let service = |line: &str| format!("[service s]\nkind = plain\naccess = open\n{line}\n");
    for line in [
        "timeout = 5",
        "timeout = 5 parsecs",
        "timeout = s",
        "timeout = -1s",
        "timeout =",
    ] {
        expect_errors(&service(line), &[(4, ResultCode::BadValue)]);
    }
    expect_errors(&service("timeout = 5s ; comment"), &[(4, ResultCode::BadValue)]);
    expect_errors(&service("timeout = 0s"), &[(4, ResultCode::OutOfRange)]);
    expect_errors(&service("timeout = 2h"), &[(4, ResultCode::OutOfRange)]);
    expect_errors(&service("timeout = 1s\nmodel = m1"), &[(5, ResultCode::BadValue)]);
    expect_errors("[organisation b]\nname =\n", &[(2, ResultCode::BadValue)]);
}

#[test]
fn objective_keys_are_paired_and_in_range() {
    let service = |lines: &str| format!("[service s]\nkind = plain\naccess = open\ntimeout = 1s\n{lines}\n");
    expect_errors(
        &service("objective_percent = 99"),
        &[(5, ResultCode::MissingSetting)],
    );
    expect_errors(
        &service("objective_latency = 1s"),
        &[(5, ResultCode::MissingSetting)],
    );
    let pair = |percent: &str| service(&format!("objective_latency = 1s\nobjective_percent = {percent}"));
    expect_errors(&pair("99.9"), &[]);
    expect_errors(&pair("100"), &[(6, ResultCode::OutOfRange)]);
    expect_errors(&pair("NaN"), &[(6, ResultCode::OutOfRange)]);
    expect_errors(&pair("most"), &[(6, ResultCode::BadValue)]);
}

fn target(address: &str, kind: &str) -> String {
    format!("service = chat\nzone = z1\naddress = {address}\nkind = {kind}\nchecks_orders = yes\n")
}

#[test]
fn bad_targets() {
    expect_errors(&format!("[target t]\n{}", target("10.0.0.1:80", "cheap")), &[]);
    for address in ["10.0.0.1", "engine.example:80", "10.0.0.1:99999"] {
        expect_errors(
            &format!("[target t]\n{}", target(address, "cheap")),
            &[(4, ResultCode::BadValue)],
        );
    }
    for address in ["0.0.0.0:80", "10.0.0.1:0"] {
        expect_errors(
            &format!("[target t]\n{}", target(address, "cheap")),
            &[(4, ResultCode::OutOfRange)],
        );
    }
    expect_errors(
        &format!("[target t]\n{}", target("10.0.0.1:80", "free")),
        &[(5, ResultCode::BadValue)],
    );
    let valid = target("10.0.0.1:80", "cheap");
    expect_errors(
        &format!("[target t]\n{valid}[target u]\n{valid}"),
        &[(10, ResultCode::Duplicate)],
    );
    expect_errors(
        &format!("[target t]\n{valid}state = gone\n"),
        &[(7, ResultCode::BadValue)],
    );
    expect_errors(
        &format!("[target t]\n{valid}window_tokens = 0\n"),
        &[(7, ResultCode::OutOfRange)],
    );
}

#[test]
fn dangling_references() {
    let key = format!("[key k]\norganisation = nobody\nsha256 = {HASH}\n");
    expect_errors(&key, &[(2, ResultCode::DanglingReference)]);
    let target =
        "[target t]\nservice = x\nzone = y\naddress = 10.0.0.1:1\nkind = cheap\nchecks_orders = no\n";
    let both = [
        (2, ResultCode::DanglingReference),
        (3, ResultCode::DanglingReference),
    ];
    expect_errors(target, &both);
    expect_errors(
        "[sharing s]\nservice = x\norganisation = y\nweight = 1\nmax_queued = 1\n",
        &both,
    );
    let training = "[training t]\nservice = x\norganisation = y\nmax_staleness = 1\nmax_group_size = 1\n";
    expect_errors(training, &both);
    let route = "[route r]\nservice = chat\nmethod = POST\npath = /\norganisations = acme, x\n";
    expect_errors(route, &[(5, ResultCode::DanglingReference)]);
    let capacity =
        "[capacity c]\nservice = x\nregular_min = 0\nregular_max = 0\ncheap_min = 0\ncheap_max = 0\n";
    expect_errors(capacity, &[(2, ResultCode::DanglingReference)]);
}

/// Guards against a second, misleading error: a section with an error still exists, so references to it are valid.
#[test]
fn reference_to_an_invalid_section_is_not_dangling() {
    let text = "[zone z2]\n[target t]\nservice = chat\nzone = z2\naddress = 10.0.0.1:1\nkind = cheap\nchecks_orders = no\n";
    expect_errors(text, &[(1, ResultCode::MissingSetting)]);
}

#[test]
fn bad_routes() {
    let route = |method: &str, path: &str| {
        format!("[route r]\nservice = chat\norganisations = all\nmethod = {method}\npath = {path}\n")
    };
    expect_errors(&route("POST", "/a/b"), &[]);
    expect_errors(&route("post", "/a"), &[(4, ResultCode::BadValue)]);
    for path in ["a", "/a//b", "/a/../b", "/./a", "/a%2fb", "/a%zz", "/%2e%2e/a"] {
        expect_errors(&route("POST", path), &[(5, ResultCode::BadValue)]);
    }
    let same = format!(
        "{}[route q]\n{}",
        route("POST", "/a"),
        &route("POST", "/%61/")["[route r]\n".len()..]
    );
    expect_errors(&same, &[(10, ResultCode::Duplicate)]);
    let listed = "[route r]\nservice = chat\norganisations = acme, acme\nmethod = GET\npath = /\n";
    expect_errors(listed, &[(3, ResultCode::BadValue)]);
}

/// Guards against a route that appears restricted but is not: callers of an open service have no key, so a list of
/// organisations would have no effect.
#[test]
fn open_service_refuses_a_list_of_organisations() {
    let route = "[route r]\nservice = desk\norganisations = acme\nmethod = GET\npath = /\n";
    expect_errors(route, &[(3, ResultCode::BadValue)]);
}

#[test]
fn contradictory_bounds() {
    let capacity =
        "[capacity c]\nservice = chat\nregular_min = 5\nregular_max = 4\ncheap_min = 0\ncheap_max = 0\n";
    expect_errors(capacity, &[(4, ResultCode::OutOfRange)]);
    let sharing = |weight: &str| {
        format!("[sharing s]\nservice = chat\norganisation = acme\nweight = {weight}\nmax_queued = 1\n")
    };
    expect_errors(&sharing("0"), &[(4, ResultCode::OutOfRange)]);
    expect_errors(&sharing("-1"), &[(4, ResultCode::BadValue)]);
    expect_errors(&sharing("inf"), &[(4, ResultCode::BadValue)]);
    let training =
        "[training t]\nservice = desk\norganisation = acme\nmax_staleness = 1\nmax_group_size = 1\n";
    expect_errors(training, &[(2, ResultCode::BadValue)]);
}

#[test]
fn all_errors_are_reported_together() {
    expect_errors(
        "[zone z2]\nregion = r 2\nstray\n[shelf x]\n[organisation acme]\n[key k]\norganisation = acme\nsha256 = 12\n",
        &[
            (2, ResultCode::BadValue),
            (3, ResultCode::MalformedIni),
            (4, ResultCode::UnknownSection),
            (5, ResultCode::Duplicate),
            (8, ResultCode::BadValue),
        ],
    );
}

/// Guards against a secret in an error message, if an operator enters the secret in place of its hash.
#[test]
fn message_omits_a_secret() {
    let found = errors("[organisation a]\n[key k]\norganisation = a\nsha256 = jmk_pasted_secret\n");
    assert_eq!(found.len(), 1);
    assert!(!format!("{:?} {}", found[0], found[0]).contains("pasted_secret"));
}

#[test]
fn message_contains_line_code_and_allowed_values() {
    let found = errors("[zone z]\nregion = r\n[target t]\nzone = q\n");
    let text = found.last().expect("errors").to_string();
    assert_eq!(
        text,
        "doc.ini:4: JM5008 DanglingReference: there is no section [zone q]; allowed: the id of a [zone ID] section in this document"
    );
}
