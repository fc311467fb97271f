//! Cases of a fleet: `crankpaddle lab fleet`.
use super::{named, read_day, temporary, wrong};
use crate::{Failure, BAD_FILE};
use clap::Args;
use crankpaddle_fault_simulation::{Case, Net, Played, CASES};
use crankpaddle_testbed::fleet::{Memory, Plan};
use crankpaddle_testbed::scenario_runner;
use std::path::PathBuf;
use std::process::ExitCode;

/// How a case of a fleet is played.
#[derive(Args)]
pub(crate) struct FleetArgs {
    /// A built-in name or a script's file.
    #[arg(required_unless_present = "list")]
    name: Option<String>,
    /// Tell the cases.
    #[arg(long)]
    list: bool,
    /// In this process on a given clock and a net in memory, without sessions; else with processes and sockets.
    #[arg(long = "virtual")]
    virtually: bool,
    /// Fronts; up to 100 where they are processes.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u32).range(4..=5000))]
    fronts: u32,
    /// For all that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write all that was seen of sessions as JSON lines.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Keep configurations and the fronts' logs here; else in a temporary folder that goes when all was good.
    #[arg(long, value_name = "DIR")]
    dir: Option<PathBuf>,
    /// Time between two of a front's probes.
    #[arg(long, default_value = "1s")]
    probe_every: String,
    /// New sessions a second in the whole fleet; the day's where absent.
    #[arg(long)]
    rate: Option<f64>,
    /// Fronts do not know each other: what the same costs without. Claims on members are broken then.
    #[arg(long)]
    without_peers: bool,
    /// Two builds of the program are played against each other: the first, and below the other. See `lab pairs`.
    #[arg(skip)]
    old: Option<PathBuf>,
    /// The other; this one where it is absent.
    #[arg(skip)]
    new: Option<PathBuf>,
    /// Where power goes in the case: what fronts keep. For all three, one after the other: kept, and beside it the two baselines.
    #[arg(long, value_enum, default_value_t = Keeps::Kept)]
    memory: Keeps,
}

/// What fronts keep over a power loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(super) enum Keeps {
    /// What they began, settled with the servers; service returns in order.
    Kept,
    /// Nothing; the list is believed as it is told.
    Forgotten,
    /// What they began, and nobody is asked: service returns at once.
    Trusted,
    /// Each of the three, one after the other; the verdict is that of the first.
    All,
}

/// Processes at most: there is a socket for every ordered pair.
const MOST_PROCESSES: u32 = 100;

fn read_case(name: &str) -> Result<Case, Failure> {
    let built_in = CASES
        .iter()
        .find(|(known, _)| *known == name)
        .map(|(_, text)| (*text).to_owned());
    let text = match built_in {
        Some(text) => text,
        None => std::fs::read_to_string(name).map_err(|e| {
            let known: Vec<&str> = CASES.iter().map(|(name, _)| *name).collect();
            let what = format!("{name}: {e}; the built-in cases are {}", known.join(", "));
            Failure {
                what,
                status: BAD_FILE,
            }
        })?,
    };
    crankpaddle_fault_simulation::parse(&text).map_err(|p| wrong(name, &p))
}

pub(super) fn run(args: &FleetArgs) -> Result<ExitCode, Failure> {
    if args.list {
        for (name, _) in CASES {
            println!("{name:10} {}", read_case(name)?.what);
        }
        return Ok(ExitCode::SUCCESS);
    }
    let case = read_case(args.name.as_deref().unwrap_or_default())?;
    let how = if args.virtually {
        ", in virtual time"
    } else {
        ""
    };
    eprintln!(
        "fleet {}: seed {}, {}{how}",
        case.name, args.seed, case.what
    );
    if args.virtually {
        let mut net = Net::of(&case, args.fronts as usize, args.seed);
        let played =
            crankpaddle_fault_simulation::play(&case, &mut net).map_err(|what| Failure {
                what,
                status: BAD_FILE,
            })?;
        let (kept, all) = print_claims(&played);
        println!(
            "fleet {}: fronts {}, claims kept {kept}/{all}",
            case.name, args.fronts
        );
        return Ok(if kept == all {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        });
    }
    processes(&case, args)
}

/// Plays two builds against each other.
pub(super) fn pairs(
    old: PathBuf,
    new: Option<PathBuf>,
    args: FleetArgs,
) -> Result<ExitCode, Failure> {
    run(&FleetArgs {
        old: Some(old),
        new,
        ..args
    })
}

fn print_claims(played: &Played) -> (usize, usize) {
    for claim in &played.claims {
        eprintln!(
            "{}: {}: {}",
            if claim.kept { "kept" } else { "BROKEN" },
            claim.what,
            claim.measured
        );
    }
    let (datagrams, bytes) = played.sent;
    eprintln!("sent by one front at most: {datagrams:.1} datagrams, {bytes:.0} bytes a second");
    played.kept()
}

fn processes(case: &Case, args: &FleetArgs) -> Result<ExitCode, Failure> {
    let memories = match args.memory {
        Keeps::Kept => vec![Memory::Preserved],
        Keeps::Forgotten => vec![Memory::Forgotten],
        Keeps::Trusted => vec![Memory::Trusted],
        Keeps::All => vec![Memory::Preserved, Memory::Forgotten, Memory::Trusted],
    };
    let mut verdicts = Vec::new();
    for memory in memories {
        if case.needs_disks() {
            eprintln!("-- what fronts keep: {memory:?}");
        }
        verdicts.push(play_once(case, args, memory)?);
    }
    Ok(verdicts.into_iter().next().unwrap_or(ExitCode::FAILURE))
}

fn play_once(case: &Case, args: &FleetArgs, memory: Memory) -> Result<ExitCode, Failure> {
    let cannot = |what: &str| Failure {
        what: format!("{}: {what}", case.name),
        status: BAD_FILE,
    };
    if args.fronts > MOST_PROCESSES {
        return Err(cannot(
            "up to 100 fronts can be processes here; more in virtual time",
        ));
    }
    if case.needs_board() {
        return Err(cannot(
            "it writes on the board, which no front does yet; play it with --virtual",
        ));
    }
    crankpaddle_net::start(None);
    let mut day = read_day(&case.day)?;
    day.rate = args.rate.unwrap_or(day.rate);
    let plan = Plan {
        exe: args.old.clone().map_or_else(std::env::current_exe, Ok)?,
        other: args
            .old
            .is_some()
            .then(|| args.new.clone().map_or_else(std::env::current_exe, Ok))
            .transpose()?,
        seed: args.seed,
        dir: args.dir.clone().unwrap_or_else(temporary),
        fronts: args.fronts,
        workers: 1,
        probe_every: args.probe_every.clone(),
        peers: !args.without_peers,
        memory,
    };
    let outcome = crankpaddle_testbed::fleet::run(case, &day, &plan)?;
    if let Some(file) = &args.report {
        scenario_runner::write_records(file, &outcome.records).map_err(|e| named(file, &e))?;
    }
    let (kept, all) = print_claims(&outcome.played);
    let verdict = &outcome.verdict;
    verdict
        .breaches
        .iter()
        .take(20)
        .for_each(|b| eprintln!("rule {}: {}", b.rule, b.what));
    outcome
        .faults
        .iter()
        .take(20)
        .for_each(|what| eprintln!("fault: {what}"));
    eprintln!(
        "sessions: {} asked for, {} answered once, {} played, {} refused, {} failed",
        verdict.sessions, verdict.answered_once, verdict.played, verdict.refused, verdict.failed
    );
    eprintln!("billed twice: {}", verdict.billed_twice);
    let ms = |time: u64| time as f64 / 1e6;
    let cost = outcome.cost;
    eprintln!(
        "cost: half of the answers 'plays' within {:.1} ms, 99 of 100 within {:.1} ms; processor time of all fronts {:.2} s, \
         {:.2} ms a session asked for",
        ms(cost.answered.0),
        ms(cost.answered.1),
        cost.cpu as f64 / 1e9,
        ms(cost.cpu) / verdict.sessions.max(1) as f64
    );
    println!(
        "fleet {}: fronts {}, sessions {}, rules kept {}/6, claims kept {kept}/{all}",
        case.name,
        args.fronts,
        verdict.sessions,
        verdict.passed_rule_count()
    );
    if !outcome.good() {
        eprintln!("configurations and logs: {}", plan.dir.display());
        return Ok(ExitCode::FAILURE);
    }
    if args.dir.is_none() {
        let _ = std::fs::remove_dir_all(&plan.dir); // A folder left behind harms nobody.
    }
    Ok(ExitCode::SUCCESS)
}
