//! The registry crate `foca` on the same net and by the same cases as the project's own members, to weigh one against the other:
//! `cargo run --release -p crankpaddle-fault-simulation --example foca -- CASE FRONTS SEED`. Its settings are those that it gives for a
//! local net, but for members that are down, which are asked every 2 s as ours are (65 s there). It has no standing of one's own, no
//! board, and no word for who left; claims on these are broken by that alone.
use crankpaddle_fault_simulation::{
    name, parse, play, Act, Case, Fronts, Rate, Turn, Weather, World, CASES, MS, SECOND,
};
use crankpaddle_membership::{LocalHealth, MemberState};
use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification,
    PeriodicParams, PostcardCodec, Timer,
};
use rand_for_foca::rngs::StdRng;
use rand_for_foca::SeedableRng;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

const USUAL: (u64, u64) = (MS / 5, 2 * MS);
const BACKLOG: usize = 200;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Id {
    number: u32,
    life: u64,
}

impl Identity for Id {
    type Addr = u32;

    fn renew(&self) -> Option<Id> {
        Some(Id {
            life: self.life + 1,
            ..self.clone()
        })
    }

    fn addr(&self) -> u32 {
        self.number
    }

    fn win_addr_conflict(&self, adversary: &Id) -> bool {
        self.life > adversary.life
    }
}

type Member = Foca<Id, PostcardCodec, StdRng, NoCustomBroadcast>;

struct Node {
    member: Member,
    up: bool,
    stopped: bool,
    life: u64,
    backlog: Vec<Vec<u8>>,
    late: Vec<Timer<Id>>, // Timers that fell due while it stood still.
    states: Vec<Option<(MemberState, u64)>>,
    sent: (u64, u64),
}

enum Event {
    Datagram(usize, Vec<u8>),
    Timer(usize, u64, Timer<Id>),
    Seek(usize, u64),
}

struct Queued(u64, u64, Event);

impl PartialEq for Queued {
    fn eq(&self, other: &Queued) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Queued) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Queued) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Net {
    now: u64,
    nodes: Vec<Node>,
    seeds: Vec<usize>,
    weather: Weather,
    queue: BinaryHeap<Reverse<Queued>>,
    count: u64,
    rng: oorandom::Rand64,
    turns: Vec<Turn>,
    lives: u64,
}

fn member(n: usize, i: usize, life: u64, seed: u64) -> Member {
    let size = NonZeroU32::new(n as u32).expect("fronts");
    let config = Config {
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: Duration::from_secs(2),
            num_members: NonZeroUsize::MIN,
        }),
        ..Config::new_lan(size)
    };
    let rng = StdRng::seed_from_u64(seed);
    Foca::new(
        Id {
            number: i as u32,
            life,
        },
        config,
        rng,
        PostcardCodec,
    )
}

impl Net {
    fn of(case: &Case, n: usize, seed: u64) -> Net {
        let mut net = Net {
            now: 100 * SECOND,
            nodes: Vec::new(),
            seeds: case.seeds.of(n),
            weather: Weather::fair(USUAL),
            queue: BinaryHeap::new(),
            count: 0,
            rng: oorandom::Rand64::new(u128::from(seed)),
            turns: Vec::new(),
            lives: 1000,
        };
        for i in 0..n {
            net.nodes.push(Node {
                member: member(n, i, 1, net.rng.rand_u64()),
                up: false,
                stopped: false,
                life: 1,
                backlog: Vec::new(),
                late: Vec::new(),
                states: vec![None; n],
                sent: (0, 0),
            });
        }
        case.first.of(n).into_iter().for_each(|i| net.start(i));
        net
    }

    fn start(&mut self, i: usize) {
        self.lives += 1000;
        let (n, life, seed) = (self.nodes.len(), self.lives, self.rng.rand_u64());
        let node = &mut self.nodes[i];
        (node.member, node.life, node.up) = (member(n, i, life, seed), life, true);
        node.states = vec![None; n];
        self.push(self.now, Event::Seek(i, life));
    }

    fn push(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.queue.push(Reverse(Queued(at, self.count, event)));
    }

    fn tell(&mut self, i: usize, what: impl FnOnce(&mut Member, &mut AccumulatingRuntime<Id>)) {
        let mut runtime = AccumulatingRuntime::new();
        what(&mut self.nodes[i].member, &mut runtime);
        let life = self.nodes[i].life;
        while let Some((to, bytes)) = runtime.to_send() {
            let to = to.number as usize;
            let sent = &mut self.nodes[i].sent;
            *sent = (sent.0 + 1, sent.1 + bytes.len() as u64);
            for at in self
                .weather
                .arrivals(self.now, (i, to), bytes.len(), &mut self.rng)
            {
                self.push(at, Event::Datagram(to, bytes.to_vec()));
            }
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.push(
                self.now + after.as_nanos() as u64,
                Event::Timer(i, life, timer),
            );
        }
        while let Some(word) = runtime.to_notify() {
            let (of, state) = match word {
                OwnedNotification::MemberUp(id) | OwnedNotification::Rename(_, id) => {
                    (id, MemberState::Alive)
                }
                OwnedNotification::MemberDown(id) => (id, MemberState::Dead),
                _ => continue,
            };
            let known = &mut self.nodes[i].states[of.number as usize];
            let restarted = known.is_some_and(|(_, life)| life != of.life);
            *known = Some((state, of.life));
            self.turns.push(Turn {
                at: self.now,
                by: i,
                of: of.number as usize,
                state,
                restarted,
            });
        }
    }

    fn hear(&mut self, i: usize, bytes: &[u8]) {
        // What it refuses (old lives, itself as sender) is dropped, as its rim would.
        self.tell(i, |m, runtime| drop(m.handle_data(bytes, runtime)));
    }

    fn timer(&mut self, i: usize, timer: Timer<Id>) {
        self.tell(i, |m, runtime| drop(m.handle_timer(timer, runtime)));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Datagram(to, bytes) => {
                let node = &mut self.nodes[to];
                match (node.up, node.stopped) {
                    (true, false) => self.hear(to, &bytes),
                    (true, true) if node.backlog.len() < BACKLOG => node.backlog.push(bytes),
                    _ => {}
                }
            }
            Event::Timer(i, life, timer) => {
                let node = &mut self.nodes[i];
                match (node.up && node.life == life, node.stopped) {
                    (true, false) => self.timer(i, timer),
                    (true, true) => node.late.push(timer),
                    _ => {}
                }
            }
            // A fair rim asks the seeds again until somebody answers.
            Event::Seek(i, life) => {
                let node = &self.nodes[i];
                if !node.up || node.life != life || node.member.num_members() > 0 {
                    return;
                }
                for seed in self.seeds.clone().into_iter().filter(|seed| *seed != i) {
                    let to = Id {
                        number: seed as u32,
                        life: 0,
                    };
                    self.tell(i, |m, runtime| drop(m.announce(to, runtime)));
                }
                self.push(self.now + 2 * SECOND, Event::Seek(i, life));
            }
        }
    }

    fn go(&mut self, time: u64) {
        let until = self.now + time;
        while self.queue.peek().is_some_and(|Reverse(q)| q.0 <= until) {
            let Some(Reverse(Queued(at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.step(event);
        }
        self.now = until;
    }
}

impl World for Net {
    fn fronts(&self) -> usize {
        self.nodes.len()
    }

    fn now(&self) -> u64 {
        self.now
    }

    fn run(&mut self, time: u64) {
        self.go(time);
    }

    fn act(&mut self, act: &Act) -> Result<(), String> {
        let n = self.nodes.len();
        let each = |fronts: &Fronts| fronts.of(n);
        match act {
            Act::Start(fronts) => {
                let down: Vec<usize> = each(fronts)
                    .into_iter()
                    .filter(|i| !self.nodes[*i].up)
                    .collect();
                down.into_iter().for_each(|i| self.start(i));
            }
            Act::Kill(fronts) => each(fronts)
                .into_iter()
                .for_each(|i| self.nodes[i].up = false),
            Act::End(fronts) => {
                for i in each(fronts) {
                    self.tell(i, |m, runtime| drop(m.leave_cluster(runtime)));
                    self.nodes[i].up = false;
                }
            }
            Act::Stop(fronts) => each(fronts)
                .into_iter()
                .for_each(|i| self.nodes[i].stopped = true),
            Act::GoOn(fronts) => {
                for i in each(fronts) {
                    let node = &mut self.nodes[i];
                    node.stopped = false;
                    let (heard, late) = (
                        std::mem::take(&mut node.backlog),
                        std::mem::take(&mut node.late),
                    );
                    heard.into_iter().for_each(|bytes| self.hear(i, &bytes));
                    late.into_iter().for_each(|timer| self.timer(i, timer));
                }
            }
            Act::Restart(fronts, after) => {
                let again = each(fronts);
                again.iter().for_each(|i| self.nodes[*i].up = false);
                self.go(*after);
                again.into_iter().for_each(|i| self.start(i));
            }
            Act::Net { .. } | Act::Cut { .. } | Act::Heal | Act::Flood(..) => {
                self.weather.act(act, n, USUAL);
            }
            Act::Runs(..) => {}
            Act::Power(_) => return Err("only processes have disks".to_owned()),
            Act::Write(i) => return Err(format!("{} has no board", name(*i))),
        }
        Ok(())
    }

    fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        self.nodes[at].states[of].map(|(state, _)| state)
    }

    fn standing(&self, _: usize) -> Option<LocalHealth> {
        None
    }

    fn turns(&self, from: u64) -> Vec<Turn> {
        let since = self.turns.partition_point(|t| t.at < from);
        self.turns[since..].to_vec()
    }

    fn entry(&self, _: usize) -> Option<(u64, u64)> {
        None
    }

    fn sent(&self) -> Rate {
        let time = (self.now - 100 * SECOND).max(1) as f64 / SECOND as f64;
        let most = |most: Rate, sent: (u64, u64)| {
            (
                most.0.max(sent.0 as f64 / time),
                most.1.max(sent.1 as f64 / time),
            )
        };
        self.nodes.iter().map(|n| n.sent).fold((0.0, 0.0), most)
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let wanted = args.first().map_or("deaths", String::as_str);
    let number =
        |i: usize, default: u64| args.get(i).and_then(|a| a.parse().ok()).unwrap_or(default);
    let (fronts, seed) = (number(1, 40) as usize, number(2, 1));
    let Some((_, text)) = CASES.iter().find(|(known, _)| *known == wanted) else {
        return eprintln!("{wanted}: no such case");
    };
    let case = parse(text).expect("a built-in case");
    match play(&case, &mut Net::of(&case, fronts, seed)) {
        Err(what) => eprintln!("{wanted}: {what}"),
        Ok(played) => {
            for c in &played.claims {
                println!(
                    "{}: {}: {}",
                    if c.kept { "kept" } else { "BROKEN" },
                    c.what,
                    c.measured
                );
            }
            let ((kept, all), sent) = (played.kept(), played.sent);
            println!("foca {wanted}: fronts {fronts}, claims kept {kept}/{all}, {:.1} datagrams, {:.0} bytes a second", sent.0, sent.1);
        }
    }
}
