//! `crankpaddle lab fleet` and `lab pairs`: a case of a fleet's membership, in simulated time or with processes.
use super::files::invalid_script;
use super::fleet_processes;
use crate::failure::{exit_code_of, CommandFailure};
use clap::Args;
use crankpaddle_fault_simulation::{Case, CaseResult, SendRate, SimulatedNetwork, CASES};
use std::path::PathBuf;
use std::process::ExitCode;

/// How a case of a fleet is played.
#[derive(Args)]
pub(crate) struct FleetArgs {
    /// A built-in name or a script's file.
    #[arg(required_unless_present = "list")]
    pub(super) name: Option<String>,
    /// List the built-in cases.
    #[arg(long)]
    pub(super) list: bool,
    /// In this process on a simulated clock and network, without sessions; default: with processes and sockets.
    #[arg(long = "virtual")]
    pub(super) virtually: bool,
    /// Fronts; up to 100 where they are processes.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u32).range(4..=5000))]
    pub(super) fronts: u32,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    pub(super) seed: u64,
    /// Write all records of sessions as JSON lines.
    #[arg(long, value_name = "FILE")]
    pub(super) report: Option<PathBuf>,
    /// Keep configurations and the fronts' logs here; default: a temporary folder that is removed on success.
    #[arg(long, value_name = "DIR")]
    pub(super) dir: Option<PathBuf>,
    /// Interval between two of a front's health checks of its peers.
    #[arg(long, default_value = "1s")]
    pub(super) probe_every: String,
    /// New sessions a second in the whole fleet; default: the scenario's.
    #[arg(long)]
    pub(super) rate: Option<f64>,
    /// Fronts form no membership: the cost of the same load without it. Claims on members fail then.
    #[arg(long)]
    pub(super) without_peers: bool,
    /// The earlier of two builds that are played against each other; set by `lab pairs`.
    #[arg(skip)]
    pub(super) old: Option<PathBuf>,
    /// The later of the two builds; default: this one.
    #[arg(skip)]
    pub(super) new: Option<PathBuf>,
    /// Where the case has power losses: what fronts persist. `all` plays the three in turn: kept, then the two baselines.
    #[arg(long, value_enum, default_value_t = RetentionArg::Preserved)]
    pub(super) memory: RetentionArg,
}

/// What fronts retain over a power loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum RetentionArg {
    /// Pending set-ups, reconciled with the servers; service resumes step by step.
    #[value(name = "kept")] // The flag's documented value.
    Preserved,
    /// Nothing; the endpoint list is taken as it is.
    Forgotten,
    /// Pending set-ups, not reconciled: service resumes at once.
    Trusted,
    /// Each of the three in turn; the verdict is that of the first.
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
    let clock = if args.virtually {
        ", in virtual time"
    } else {
        ""
    };
    eprintln!(
        "fleet {}: seed {}, {}{clock}",
        case.name, args.seed, case.description
    );
    if args.virtually {
        play_simulated(&case, args)
    } else {
        fleet_processes::play(&case, args)
    }
}

/// Plays a case with two builds of the program.
///
/// # Errors
///
/// As [`run`].
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
    for (name, _) in CASES {
        println!("{name:10} {}", read_case(name)?.description);
    }
    Ok(ExitCode::SUCCESS)
}

/// A case by its built-in name or its script's file.
fn read_case(name: &str) -> Result<Case, CommandFailure> {
    let built_in = CASES.iter().find(|(known, _)| *known == name);
    let text = match built_in {
        Some((_, text)) => (*text).to_owned(),
        None => read_script(name)?,
    };
    crankpaddle_fault_simulation::parse(&text).map_err(|problems| invalid_script(name, &problems))
}

fn read_script(name: &str) -> Result<String, CommandFailure> {
    std::fs::read_to_string(name).map_err(|error| {
        let known: Vec<&str> = CASES.iter().map(|(name, _)| *name).collect();
        let known = known.join(", ");
        CommandFailure::invalid_input(format_args!(
            "{name}: {error}; the built-in cases are {known}"
        ))
    })
}

fn play_simulated(case: &Case, args: &FleetArgs) -> Result<ExitCode, CommandFailure> {
    let mut net = SimulatedNetwork::for_case(case, args.fronts as usize, args.seed);
    let played = crankpaddle_fault_simulation::play(case, &mut net)
        .map_err(CommandFailure::invalid_input)?;
    let (passed, all) = print_claims(&played);
    println!(
        "fleet {}: fronts {}, claims kept {passed}/{all}",
        case.name, args.fronts
    );
    Ok(exit_code_of(passed == all))
}

/// Prints each claim with its verdict; returns how many hold, and how many there are.
pub(super) fn print_claims(played: &CaseResult) -> (usize, usize) {
    for claim in &played.claims {
        let verdict = if claim.holds { "kept" } else { "BROKEN" };
        eprintln!("{verdict}: {}: {}", claim.claim, claim.measured);
    }
    let SendRate { datagrams, bytes } = played.sent;
    eprintln!("sent by one front at most: {datagrams:.1} datagrams, {bytes:.0} bytes a second");
    played.satisfied_claims()
}
