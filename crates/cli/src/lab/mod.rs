//! The laboratory's commands.
mod fleet;

use crate::{Failure, BAD_FILE};
use clap::{Args, Subcommand};
use crankpaddle_benchmark::account;
use crankpaddle_benchmark::bench;
use crankpaddle_net::{clock, spawn, Stack};
use crankpaddle_testbed::import::{import, Fit};
use crankpaddle_testbed::invariant_checker::{judge, Rules};
use crankpaddle_testbed::list_service::{entry, ListService};
use crankpaddle_testbed::player::PlayerPool;
use crankpaddle_testbed::record::Recorder;
use crankpaddle_testbed::scenario_runner::{self, Play};
use crankpaddle_testbed::script::{self, Day};
use crankpaddle_testbed::server::Fleet;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Seconds over which what crosses is a mean.
const OVER: u64 = 3;

/// The laboratory's commands.
#[derive(Subcommand)]
pub(crate) enum Lab {
    /// Play a scripted day against front processes and judge it by what was on the sockets; exits 1 if a rule broke,
    /// or an answer is missing or doubled.
    #[command(
        after_help = "Built-in days: trouble (60 s), smoke (8 s), and for traffic between halls quiet (20 s), astray (24 s), hall (60 s).\n\nExamples:\n  crankpaddle lab day trouble\n  \
        crankpaddle lab day my-day.textproto --seed 3 --report day.jsonl"
    )]
    Day(DayArgs),
    /// Play a case of a fleet's members, with faults between them, and judge its claims; exits 1 if one is broken.
    #[command(
        after_help = "Examples:\n  crankpaddle lab fleet deaths\n  crankpaddle lab fleet my-case.textproto --fronts 12\n  crankpaddle lab fleet deaths --virtual --fronts 240 --seed 3\n  crankpaddle lab fleet --list"
    )]
    Fleet(fleet::FleetArgs),
    /// Play two builds of the program against each other in one fleet; exits 1 if a claim or a rule is broken.
    #[command(
        after_help = "The cases mixed (half and half, changing sides) and replace (one by the other under load, a tenth at a time, and back)\nare made for it.\n\nExample:\n  git worktree add ../earlier REVISION && (cd ../earlier && cargo build --release)\n  crankpaddle lab pairs ../earlier/target/release/crankpaddle replace --fronts 10"
    )]
    Pairs {
        /// The earlier build's program.
        old: PathBuf,
        /// The case, and how it is played.
        #[command(flatten)]
        args: fleet::FleetArgs,
        /// The later build's program; this one where it is absent.
        #[arg(long)]
        new: Option<PathBuf>,
    },
    /// Judge records that a day reported, without playing it again.
    Judge {
        /// The day that they are of: a built-in name or a script.
        day: String,
        /// What `lab day --report` wrote.
        records: PathBuf,
    },
    /// Run the stand-in servers and the list service of a day by hand, without faults; prints what a front needs.
    #[command(
        after_help = "Then start a front by hand with the printed list service in its configuration."
    )]
    Servers {
        /// The day whose fleet it is.
        #[arg(default_value = "trouble")]
        day: String,
        /// End after so many seconds.
        #[arg(long, default_value_t = 3600)]
        seconds: u64,
    },
    /// Run a day's players by hand against a front that runs; prints how their calls ended.
    Players {
        /// Where the front listens.
        front: std::net::SocketAddr,
        /// The day whose players they are; its faults but bursts and crowds are not played.
        #[arg(default_value = "trouble")]
        day: String,
        /// For all that is drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measure what a front costs beside a bare relay, in turns, against stand-ins that answer at once; some minutes.
    Bench {
        /// Rounds of each.
        #[arg(long, default_value_t = 11)]
        rounds: usize,
        /// Seconds of a round.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
        /// Idle connections.
        #[arg(long, default_value_t = 5000)]
        idle: usize,
        /// Sessions that play.
        #[arg(long, default_value_t = 1000)]
        sessions: usize,
        /// The front's log level.
        #[arg(long, default_value = "info")]
        log: String,
        /// Exit 1 if more than this share of either side's set-ups failed; they are counted and told in any case.
        #[arg(long, default_value_t = 0.001)]
        most_failed: f64,
    },
    /// Measure what the account of traffic costs a session second, beside none, in one process on a given clock.
    Account {
        /// Sessions that play.
        #[arg(long, default_value_t = 100_000, value_parser = clap::value_parser!(u64).range(600..=10_000_000))]
        sessions: u64,
        /// Seconds of the given clock.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
        seconds: u64,
        /// Rounds with and without, in turns.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=1000))]
        rounds: u64,
    },
    /// Run the bare relay that `lab bench` measures beside the front.
    #[command(hide = true)]
    Relay {
        /// The servers.
        servers: Vec<std::net::SocketAddr>,
    },
    /// Turn a day file of the bench into a script and its fleet.
    Import {
        /// The day file (JSON).
        file: PathBuf,
        /// Where to write NAME.textproto and NAME-fleet.textproto.
        #[arg(long, default_value = ".")]
        into: PathBuf,
        /// The day's name; the file's where absent.
        #[arg(long)]
        name: Option<String>,
        /// All rates are multiplied by this, so that a machine can carry them.
        #[arg(long, default_value_t = 0.1)]
        rates: f64,
        /// Servers at most.
        #[arg(long, default_value_t = 24)]
        servers: u32,
        /// Fronts at most.
        #[arg(long, default_value_t = 4)]
        fronts: u32,
    },
}

/// How a day is played.
#[derive(Args)]
pub(crate) struct DayArgs {
    /// A built-in name or a script's file.
    day: String,
    /// For all that is drawn; without it one is drawn and printed.
    #[arg(long)]
    seed: Option<u64>,
    /// Write all that was seen as JSON lines.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Keep configurations and the fronts' logs here; else in a temporary folder that goes when the day was good.
    #[arg(long, value_name = "DIR")]
    dir: Option<PathBuf>,
    /// Worker threads of each front.
    #[arg(long, default_value_t = 1)]
    workers: u32,
    /// Leave out the day's budgets for what crosses between halls.
    #[arg(long)]
    without_budgets: bool,
    /// The fronts know of each other.
    #[arg(long)]
    peers: bool,
    /// Breaches to print at most.
    #[arg(long, default_value_t = 20)]
    most: usize,
}

/// Runs a command.
pub(crate) fn run(lab: Lab) -> Result<ExitCode, Failure> {
    match lab {
        Lab::Day(args) => play(&args),
        Lab::Fleet(args) => fleet::run(&args),
        Lab::Pairs { old, args, new } => fleet::pairs(old, new, args),
        Lab::Judge { day, records } => {
            let day = read_day(&day)?;
            let config = script::fleet_config(&day.fleet).map_err(|p| wrong("fleet", &p))?;
            let verdict = judge(
                &Rules::of(
                    &config,
                    scenario_runner::DRAIN_GRACE,
                    scenario_runner::TIMING_TOLERANCE,
                ),
                &scenario_runner::read_records(&records)?,
            );
            verdict
                .breaches
                .iter()
                .for_each(|b| println!("rule {}: {}", b.rule, b.what));
            println!("day {}: {verdict}", day.name);
            Ok(if verdict.breaches.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
        Lab::Bench {
            rounds,
            seconds,
            idle,
            sessions,
            log,
            most_failed,
        } => {
            crankpaddle_net::start(Some(2));
            let (exe, dir) = (std::env::current_exe()?, temporary());
            let plan = bench::Plan {
                exe,
                dir: dir.clone(),
                rounds,
                seconds,
                idle,
                sessions,
                log,
            };
            let measured = bench::run(&plan)?;
            println!("{}", measured.text);
            let _ = std::fs::remove_dir_all(dir); // A folder left behind harms nobody.
            Ok(if measured.failed <= most_failed {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
        Lab::Account {
            sessions,
            seconds,
            rounds,
        } => {
            let plan = account::Plan {
                sessions,
                seconds,
                rounds: rounds as usize,
            };
            println!("{}", account::run(&plan)?);
            Ok(ExitCode::SUCCESS)
        }
        Lab::Players { front, day, seed } => players(front, &read_day(&day)?, seed),
        Lab::Relay { servers } => {
            crankpaddle_net::start(Some(1));
            println!(
                "listening {}",
                crankpaddle_benchmark::relay::start(servers)?
            );
            loop {
                std::thread::park();
            }
        }
        Lab::Servers { day, seconds } => serve(&read_day(&day)?, seconds),
        Lab::Import {
            file,
            into,
            name,
            rates,
            servers,
            fronts,
        } => {
            let text = std::fs::read_to_string(&file).map_err(|e| named(&file, &e))?;
            let stem = file
                .file_stem()
                .map(|s| s.to_string_lossy().into_owned())
                .unwrap_or_default();
            let name = name.unwrap_or(stem);
            let fleet_name = format!("{name}-fleet.textproto");
            let made = import(
                &text,
                &name,
                &fleet_name,
                Fit {
                    rates,
                    servers,
                    fronts,
                },
            )
            .map_err(|what| Failure {
                what: format!("{}: {what}", file.display()),
                status: BAD_FILE,
            })?;
            let day = into.join(format!("{name}.textproto"));
            std::fs::write(&day, &made.day).map_err(|e| named(&day, &e))?;
            std::fs::write(into.join(&fleet_name), &made.fleet)
                .map_err(|e| named(&into.join(&fleet_name), &e))?;
            made.left_out
                .iter()
                .for_each(|kind| eprintln!("left out, it has no like here: {kind}"));
            println!("{}", day.display());
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn temporary() -> PathBuf {
    std::env::temp_dir().join(format!("crankpaddle-{}", std::process::id()))
}

fn named(path: &Path, e: &std::io::Error) -> Failure {
    Failure {
        what: format!("{}: {e}", path.display()),
        status: BAD_FILE,
    }
}

fn wrong(path: &str, problems: &[crankpaddle_config::Problem]) -> Failure {
    let lines: Vec<String> = problems.iter().map(|p| format!("{path}:{p}")).collect();
    Failure {
        what: lines.join("\n"),
        status: BAD_FILE,
    }
}

fn read_day(name: &str) -> Result<Day, Failure> {
    if let Some((_, text)) = script::DAYS.iter().find(|(known, _)| *known == name) {
        return script::parse(text, |fleet| {
            script::built_in_fleet(fleet).ok_or_else(|| format!("{fleet:?} is no built-in fleet"))
        })
        .map_err(|p| wrong(name, &p));
    }
    let path = Path::new(name);
    let text = std::fs::read_to_string(path).map_err(|e| {
        let known: Vec<&str> = script::DAYS.iter().map(|(name, _)| *name).collect();
        Failure {
            what: format!("{name}: {e}; built-in days: {}", known.join(", ")),
            status: BAD_FILE,
        }
    })?;
    let fleet = |fleet: &str| {
        if let Some(fleet) = script::built_in_fleet(fleet) {
            return Ok(fleet);
        }
        let path = path.parent().unwrap_or(Path::new(".")).join(fleet);
        std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))
    };
    script::parse(&text, fleet).map_err(|p| wrong(name, &p))
}

fn play(args: &DayArgs) -> Result<ExitCode, Failure> {
    let mut day = read_day(&args.day)?;
    if args.without_budgets {
        day.fleet = day.fleet_without_budgets.clone();
    }
    let day = day;
    let seed = args.seed.unwrap_or_else(|| rand::random::<u32>().into());
    let own = temporary();
    let dir = args.dir.clone().unwrap_or_else(|| own.clone());
    crankpaddle_net::start(None);
    eprintln!(
        "day {}: seed {seed}, {} fronts, {} servers, {:.0} s",
        day.name,
        day.fronts,
        day.servers,
        day.seconds()
    );
    let exe = std::env::current_exe()?;
    let play = Play {
        exe,
        seed,
        dir: dir.clone(),
        workers: args.workers,
        peers: args.peers,
    };
    let outcome = scenario_runner::play(&day, &play)?;
    if let Some(report) = &args.report {
        scenario_runner::write_records(report, &outcome.records).map_err(|e| named(report, &e))?;
    }
    let verdict = &outcome.verdict;
    verdict
        .breaches
        .iter()
        .take(args.most)
        .for_each(|b| println!("rule {}: {}", b.rule, b.what));
    outcome
        .faults
        .iter()
        .for_each(|what| println!("fault: {what}"));
    eprintln!(
        "played {}, refused {}, failed {}; media bytes sent {} read {}; simulated servers, loopback",
        verdict.played, verdict.refused, verdict.failed, outcome.bytes.0, outcome.bytes.1
    );
    for (flow, (sent, told)) in &outcome.flows() {
        let (from, to, class) = (&flow.from, &flow.to, &flow.class);
        let off = (*told as f64 / (*sent).max(1) as f64 - 1.0) * 100.0;
        eprintln!("traffic {from} > {to}, {class}: servers sent {sent}, fronts report {told} ({off:+.2}%)");
    }
    crossing(&day, &outcome);
    println!("day {}: {verdict}", day.name);
    if outcome.good() {
        if args.dir.is_none() {
            let _ = std::fs::remove_dir_all(&own); // A folder left behind harms nobody.
        }
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("the fronts' logs are in {}", dir.display());
    Ok(ExitCode::FAILURE)
}

/// What crossed against the budgets, by the servers' records and the fronts' reports, and what the day was worth.
fn crossing(day: &Day, outcome: &scenario_runner::Outcome) {
    for (class, worth) in &outcome.crossed.utility {
        eprintln!("worth {class}: {worth:.0}");
    }
    let end = outcome.start + day.length;
    let (all, rest) = outcome.crossed.peak(outcome.start, end, OVER);
    eprintln!("crossing: at most {all:.0} kB/s over {OVER} s, {rest:.0} of it not paid for");
    let budget: f64 = outcome.reported.budgets.iter().map(|b| b.rate_kb).sum();
    for b in &outcome.reported.budgets {
        let over = b.overdraft_zone_down_bytes + b.overdraft_zone_full_bytes;
        let (from, to, off) = (&b.from, &b.to, b.written_off_bytes);
        eprintln!(
            "budget {from} > {to}: {:.0} kB/s, overdrafts {over}, written off {off} bytes",
            b.rate_kb
        );
    }
    if let Some(back) = day
        .faults
        .iter()
        .filter(|f| f.kind == script::Kind::Crash)
        .map(|f| f.at + f.length)
        .max()
    {
        let rate = if budget > 0.0 { budget } else { return };
        let below = outcome.crossed.below(rate, outcome.start + back, end, OVER);
        let recovery_text = below.map_or("not before the day's end".to_owned(), |s| {
            format!("{s} s after")
        });
        eprintln!("crossing is back under {rate:.0} kB/s {recovery_text} the hall came back");
    }
}

fn serve(day: &Day, seconds: u64) -> Result<ExitCode, Failure> {
    crankpaddle_net::start(None);
    let config = Arc::new(script::fleet_config(&day.fleet).map_err(|p| wrong("fleet", &p))?);
    let recorder = Recorder::default();
    let fleet = Fleet::start(
        config.clone(),
        &scenario_runner::layout(day, 1),
        recorder.clone(),
    )?;
    let state = crankpaddle_testbed::list_service::EndpointState::Ready;
    let entries = fleet
        .servers
        .iter()
        .map(|s| entry(&config, s.id, s.address, state, 0))
        .collect();
    let list = ListService::start(entries, day.list_delay, recorder)?;
    let block = script::front_block(0, 1, &config.zones[0], &list.address.to_string(), "");
    println!(
        "# {} servers; the list service is at {}. A front for them:",
        day.servers, list.address
    );
    println!("{block}{}", day.fleet);
    std::thread::sleep(Duration::from_secs(seconds));
    Ok(ExitCode::SUCCESS)
}

/// Plays the arrivals of a day against one front.
fn players(front: std::net::SocketAddr, day: &Day, seed: u64) -> Result<ExitCode, Failure> {
    crankpaddle_net::start(None);
    let config = script::fleet_config(&day.fleet).map_err(|p| wrong("fleet", &p))?;
    let recorder = Recorder::default();
    let player_pool = Arc::new(PlayerPool::new(
        recorder.clone(),
        scenario_runner::habits(day),
    ));
    let start = clock::now();
    let until = start + day.length;
    for (at, mut visit) in scenario_runner::arrivals(day, &config, seed) {
        std::thread::sleep(Duration::from_nanos(
            (start + at).saturating_sub(clock::now()),
        ));
        visit.fronts = vec![(0, front)];
        visit.watch = visit.watch.min(day.length - at);
        let player_pool = player_pool.clone();
        spawn(Stack::Usual, move || player_pool.visit(&visit, until));
    }
    while player_pool.there() > 0 {
        std::thread::sleep(Duration::from_millis(50));
    }
    let verdict = judge(
        &Rules::of(
            &config,
            scenario_runner::DRAIN_GRACE,
            scenario_runner::TIMING_TOLERANCE,
        ),
        &recorder.all(),
    );
    verdict
        .breaches
        .iter()
        .filter(|b| b.rule == 1)
        .for_each(|b| println!("rule 1: {}", b.what));
    let (calls, once) = (verdict.sessions, verdict.answered_once);
    let (played, refused, failed) = (verdict.played, verdict.refused, verdict.failed);
    println!(
        "calls {calls}, answered once {once}: played {played}, refused {refused}, failed {failed}"
    );
    println!(
        "tries that found no front: {}",
        player_pool.found_no_front()
    );
    Ok(if calls == once && calls > 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
