//! `crankpaddle lab fleet` and `lab pairs`: plays a case of a fleet's membership, in simulated time or with processes.
use super::files::invalid_script;
use super::fleet_processes;
use crate::failure::{exit_code_of, CommandFailure};
use clap::Args;
use crankpaddle_fault_simulation::{
    CaseResult, FleetCase, SendRate, SimulatedNetwork, BUILT_IN_CASES,
};
use std::path::PathBuf;
use std::process::ExitCode;

/// The case of a fleet's membership, and how it is played.
#[derive(Args)]
pub(crate) struct FleetArgs {
    /// A built-in case or the path of a script.
    #[arg(required_unless_present = "list")]
    pub(super) name: Option<String>,
    /// List the built-in cases.
    #[arg(long)]
    pub(super) list: bool,
    /// Play the case in this process on a simulated clock and network, without sessions; default: with processes and sockets.
    #[arg(long = "virtual")]
    pub(super) simulated: bool,
    /// Number of fronts; at most 100 if they are processes.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u32).range(4..=5000))]
    pub(super) fronts: u32,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Write all records of sessions to this file as JSON lines.
    #[arg(long, value_name = "FILE")]
    pub(super) report: Option<PathBuf>,
    /// Directory for the fronts' configurations and logs; default: a temporary directory that is removed on success.
    #[arg(long, value_name = "DIR")]
    pub(super) dir: Option<PathBuf>,
    /// Interval between two health checks that a front makes of its peers.
    #[arg(long, default_value = "1s")]
    pub(super) probe_every: String,
    /// New sessions per second in the whole fleet; default: the rate of the scenario.
    #[arg(long)]
    pub(super) rate: Option<f64>,
    /// Run the fronts without a membership, to measure the cost of the same load without it. Claims on members fail then.
    #[arg(long)]
    pub(super) without_peers: bool,
    /// The earlier of two builds that are played against each other. Only `lab pairs` sets it.
    #[arg(skip)]
    pub(super) old: Option<PathBuf>,
    /// The later of the two builds. `None` for this program.
    #[arg(skip)]
    pub(super) new: Option<PathBuf>,
    /// What fronts retain over the case's power losses. `all` plays the case with each kind: kept, then the two baselines.
    #[arg(long, value_enum, default_value_t = RetentionArg::Preserved)]
    pub(super) memory: RetentionArg,
}

/// What fronts retain over a power loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum RetentionArg {
    /// Pending set-ups, which are reconciled with the servers. Service resumes in stages.
    #[value(name = "kept")] // The flag's documented value.
    Preserved,
    /// Nothing. The endpoint list is used as it is.
    Forgotten,
    /// Pending set-ups, which are not reconciled. Service resumes at once.
    Trusted,
    /// Each of the three in turn. The exit status is that of the first.
    All,
}

/// Plays a case, or lists the built-in ones.
///
/// # Errors
///
/// The case can't be read or played.
pub(super) fn run(args: &FleetArgs) -> Result<ExitCode, CommandFailure> {
    if args.list {
        return list_cases();
    }
    let case = read_case(args.name.as_deref().unwrap_or_default())?;
    let clock = if args.simulated {
        ", in virtual time"
    } else {
        ""
    };
    eprintln!(
        "fleet {}: seed {}, {}{clock}",
        case.name, args.seed, case.description
    );
    if args.simulated {
        play_simulated(&case, args)
    } else {
        fleet_processes::play(&case, args)
    }
}

/// Plays a case with two builds of the program in one fleet.
///
/// # Errors
///
/// The same as those of [`run`].
pub(super) fn run_pair(
    old: PathBuf,
    new: Option<PathBuf>,
    args: FleetArgs,
) -> Result<ExitCode, CommandFailure> {
    run(&FleetArgs {
        old: Some(old),
        new,
        ..args
    })
}

fn list_cases() -> Result<ExitCode, CommandFailure> {
    for (name, _) in BUILT_IN_CASES {
        println!("{name:10} {}", read_case(name)?.description);
    }
    Ok(ExitCode::SUCCESS)
}

/// Reads a case, given by its built-in name or the path of its script.
fn read_case(name: &str) -> Result<FleetCase, CommandFailure> {
    let built_in = BUILT_IN_CASES.iter().find(|(known, _)| *known == name);
    let text = match built_in {
        Some((_, text)) => (*text).to_owned(),
        None => read_script(name)?,
    };
    crankpaddle_fault_simulation::parse_case(&text)
        .map_err(|problems| invalid_script(name, &problems))
}

fn read_script(name: &str) -> Result<String, CommandFailure> {
    std::fs::read_to_string(name).map_err(|error| {
        let known: Vec<&str> = BUILT_IN_CASES.iter().map(|(name, _)| *name).collect();
        let known = known.join(", ");
        CommandFailure::invalid_input(format_args!(
            "{name}: {error}; the built-in cases are {known}"
        ))
    })
}

fn play_simulated(case: &FleetCase, args: &FleetArgs) -> Result<ExitCode, CommandFailure> {
    let mut network = SimulatedNetwork::for_case(case, args.fronts as usize, args.seed);
    let played = crankpaddle_fault_simulation::run_case(case, &mut network)
        .map_err(CommandFailure::invalid_input)?;
    let (passed, all) = print_claims(&played);
    println!(
        "fleet {}: fronts {}, claims kept {passed}/{all}",
        case.name, args.fronts
    );
    Ok(exit_code_of(passed == all))
}

/// Prints each claim with its verdict. Returns the number of claims that hold and the number of all claims.
pub(super) fn print_claims(played: &CaseResult) -> (usize, usize) {
    for claim in &played.claims {
        let verdict = if claim.holds { "kept" } else { "BROKEN" };
        eprintln!("{verdict}: {}: {}", claim.description, claim.measurement);
    }
    let SendRate { datagrams, bytes } = played.max_send_rate;
    eprintln!("sent by one front at most: {datagrams:.1} datagrams, {bytes:.0} bytes a second");
    played.satisfied_claims()
}
