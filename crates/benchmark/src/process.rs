//! Processor time and memory of a process, from the kernel.
use std::fs;
use std::io;

/// Index of the time in user mode among the fields of `/proc/PID/stat` after the command's name.
const USER_TIME_FIELD: usize = 11;
/// Index of the time in the kernel among those fields.
const SYSTEM_TIME_FIELD: usize = 12;
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time that a process has used, seconds; the kernel counts in hundredths.
///
/// # Errors
/// The process is gone.
pub fn cpu_seconds(pid: u32) -> io::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The command's name may contain spaces; the fields after its closing bracket don't.
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    Ok((ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)) / TICKS_PER_SECOND)
}

/// Resident memory of a process, bytes.
///
/// # Errors
/// The process is gone.
pub fn resident(pid: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap_or("0");
    let kb: u64 = line
        .split_whitespace()
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    Ok(kb * 1024)
}
