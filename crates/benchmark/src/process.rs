//! What the kernel says of a process.
use std::fs;
use std::io;

/// Processor time that a process has used, seconds; the kernel counts in hundredths.
///
/// # Errors
/// The process is gone.
pub fn cpu_seconds(pid: u32) -> io::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The command's name may hold spaces; what follows its closing bracket is plain.
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |n: usize| {
        fields
            .get(n)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    Ok((ticks(11) + ticks(12)) / 100.0)
}

/// Memory that a process holds, bytes.
///
/// # Errors
/// The process is gone.
pub fn resident(pid: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .unwrap_or("0");
    let kb: u64 = line
        .split_whitespace()
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    Ok(kb * 1024)
}
