//! Processor time and memory use of a process, read from `/proc`.
use std::fs;
use std::io;

/// Index of the user-mode time among the fields of `/proc/PID/stat` that follow the command's name.
const USER_TIME_FIELD: usize = 11;
/// Index of the kernel-mode time among the same fields.
const SYSTEM_TIME_FIELD: usize = 12;
/// Unit of these times: Linux reports them in hundredths of a second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time in seconds that a process has used since its start, with a resolution of 10 ms.
///
/// # Errors
/// The file of the process can't be read, for example because the process has ended.
pub fn cpu_seconds(pid: u32) -> io::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The command's name may contain spaces, so the fields are split only after the bracket that closes it.
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

/// Resident memory of a process in bytes.
///
/// # Errors
/// The file of the process can't be read, for example because the process has ended.
pub fn resident_bytes(pid: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap_or("0");
    let kilobytes: u64 = line
        .split_whitespace()
        .next()
        .and_then(|count| count.parse().ok())
        .unwrap_or(0);
    Ok(kilobytes * 1024)
}
