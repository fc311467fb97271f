//! The command on the members of a fleet.
use crate::Failure;
use crankpaddle_api::describe::Members;
use std::fmt::Write as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// A front answers within this time, or counts as not there.
const WITHIN: Duration = Duration::from_secs(3);

fn table(of: &Members) -> String {
    let mut text = format!("{} ({}): {:?}\n", of.name, of.address, of.standing);
    let _ = writeln!(
        text,
        "{:20} {:8} {:>10} {:>9}  {:20} address",
        "member", "state", "since", "rtt", "said by"
    );
    for peer in &of.members {
        let rtt = peer.rtt_us.map_or("-".to_owned(), |us| format!("{us} us"));
        let since = format!("{:.1} s", peer.since_ms as f64 / 1000.0);
        let state = format!("{:?}", peer.state).to_lowercase();
        let _ = writeln!(
            text,
            "{:20} {state:8} {since:>10} {rtt:>9}  {:20} {}",
            peer.name, peer.by, peer.address
        );
    }
    let _ = writeln!(
        text,
        "datagrams: sent {}, heard {}, dropped {}",
        of.sent, of.heard, of.dropped
    );
    let counted = of
        .counted
        .iter()
        .filter(|(_, n)| **n > 0)
        .map(|(name, n)| format!("{name} {n}"));
    let counted: Vec<String> = counted.collect();
    if !counted.is_empty() {
        let _ = writeln!(text, "counted: {}", counted.join(", "));
    }
    text
}

/// Prints what a front knows of the others.
pub(crate) fn run(front: &SocketAddr, json: bool) -> Result<ExitCode, Failure> {
    let of_front = |what: String| Failure {
        what: format!("{front}: {what}"),
        status: 1,
    };
    let body = crankpaddle_traffic_report::get(front, "/members", WITHIN)
        .map_err(|e| of_front(e.to_string()))?;
    let members: Members = serde_json::from_slice(&body)
        .map_err(|e| of_front(format!("is no word on members: {e}")))?;
    let text = if json {
        serde_json::to_string_pretty(&members)? + "\n"
    } else {
        table(&members)
    };
    std::io::stdout().write_all(text.as_bytes())?;
    Ok(ExitCode::SUCCESS)
}
