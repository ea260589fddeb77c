//! The main job in one process.

use std::process::Command;

/// Guards against a second program in the package that makes `cargo run -- demo` of README ambiguous.
#[test]
fn default_program() {
    let manifest = include_str!("../Cargo.toml");
    assert!(manifest.contains("default-run = \"jacinthmoor\""));
}

/// Guards against a main job that fails, breaks a rule or does not stop.
#[test]
fn main_job() {
    let output = Command::new(env!("CARGO_BIN_EXE_jacinthmoor"))
        .arg("demo")
        .output()
        .expect("the program starts");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    for line in [
        "live answer:",
        "order:",
        "training step: 64 samples",
        "\"burn_1h\"",
        "stopped",
    ] {
        assert!(text.contains(line), "{line} is missing in {text}");
    }
}
