//! Memory use of the current process.

const STATUS_FILE: &str = "/proc/self/status";

/// Resident memory in bytes; 0 when the system does not report it.
pub(super) fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string(STATUS_FILE).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line
        .and_then(|line| line.split_whitespace().nth(1))
        .and_then(|number| number.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}
