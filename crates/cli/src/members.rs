//! `crankpaddle members`: prints the membership of a fleet as one of its fronts sees it.
use crate::failure::CommandFailure;
use crankpaddle_api::describe::Members;
use std::fmt::Write as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// A front that does not answer within this time counts as unreachable.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Formats the members as a table, followed by the counters that are not zero.
fn format_table(view: &Members) -> String {
    let mut text = format!("{} ({}): {:?}\n", view.name, view.address, view.standing);
    let _ = writeln!(
        text,
        "{:20} {:8} {:>10} {:>9}  {:20} address",
        "member", "state", "since", "rtt", "reported by"
    );
    for peer in &view.members {
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
        view.sent, view.heard, view.dropped
    );
    let counters: Vec<String> = view
        .counted
        .iter()
        .filter(|(_, count)| **count > 0)
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    if !counters.is_empty() {
        let _ = writeln!(text, "counted: {}", counters.join(", "));
    }
    text
}

fn fetch(front: &SocketAddr) -> Result<Members, CommandFailure> {
    let body = crankpaddle_traffic_report::fetch_path(front, "/members", FETCH_TIMEOUT)
        .map_err(|error| CommandFailure::failed(format_args!("{front}: {error}")))?;
    serde_json::from_slice(&body).map_err(|error| {
        CommandFailure::failed(format_args!(
            "{front}: the answer is not a list of members: {error}"
        ))
    })
}

/// Prints the members of the fleet as the front at this address sees them.
///
/// # Errors
///
/// The front can't be reached, or its answer is not a list of members.
pub(crate) fn run(front: &SocketAddr, json: bool) -> Result<ExitCode, CommandFailure> {
    let members = fetch(front)?;
    let text = if json {
        serde_json::to_string_pretty(&members)? + "\n"
    } else {
        format_table(&members)
    };
    std::io::stdout().write_all(text.as_bytes())?;
    Ok(ExitCode::SUCCESS)
}
