//! The demonstration, a whole fleet in one process.

use std::process::Command;

/// Guards against a second binary in the package that makes the command `cargo run -- demo` of README ambiguous.
#[test]
fn default_binary() {
    let manifest = include_str!("../Cargo.toml");
    assert!(manifest.contains("default-run = \"jacinthmoor\""));
}

/// Guards against a demonstration that fails, violates an invariant or does not stop.
#[test]
fn demonstration_succeeds() {
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
