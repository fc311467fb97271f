//! Hosts [`Front`]s on the bench's wire. An adapter only: every decision is the library's.
use crankpaddle::{Action, Endpoint, EndpointListKind, Event, LoadField, PlacementPolicy, Time};
use crankpaddle_simhost::wire::{self, Batch, Record, Reply};
use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

struct Instance {
    front: PlacementPolicy,
    fields: Vec<LoadField>,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u8, Vec<Endpoint>>,
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    fn record(&mut self, now: Time, record: Record) -> Result<(), String> {
        match record {
            Record::Spawn { who, seed, facts } => {
                let fleet =
                    crankpaddle_settings::parse(facts).map_err(|e| format!("settings: {e}"))?;
                let fields = fleet.fields.into_iter().map(|(_, field)| field).collect();
                let settings = fleet.settings;
                self.actions.clear();
                match catch_unwind(|| PlacementPolicy::new(settings, seed, now)) {
                    Ok(front) => drop(self.instances.insert(who, Instance { front, fields })),
                    Err(_) => self.reply.die(who, "panic while starting"),
                }
            }
            Record::Stop { who } => drop(self.instances.remove(&who)),
            Record::Directory { list, entries } => drop(self.lists.insert(list, entries)),
            Record::Topology { who, kind, list } => {
                let entries = match kind {
                    EndpointListKind::Failed => Vec::new(),
                    _ => self
                        .lists
                        .get(&list)
                        .ok_or(format!("list {list} was never sent"))?
                        .clone(),
                };
                self.front(who, now, Event::EndpointList(kind, entries), &[])?;
            }
            Record::Front { who, event } => self.front(who, now, event, &[])?,
            Record::Reported { who, event, values } => self.front(who, now, event, &values)?,
        }
        Ok(())
    }

    fn front(
        &mut self,
        who: u32,
        now: Time,
        mut event: Event,
        values: &[f64],
    ) -> Result<(), String> {
        let Some(Instance { front, fields }) = self.instances.get_mut(&who) else {
            return Err(format!("instance {who} was never started"));
        };
        wire::name_report(&mut event, values, fields);
        self.actions.clear();
        match catch_unwind(AssertUnwindSafe(|| {
            front.handle(now, event, &mut self.actions);
        })) {
            Ok(()) => self
                .actions
                .iter()
                .for_each(|action| self.reply.push(who, action)),
            Err(_) => self.reply.die(who, "panic while deciding"),
        }
        Ok(())
    }
}

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut host = Host::default();
    while let Some(batch) = Batch::read(&mut input)? {
        for index in 0..batch.len() {
            let record = batch.record(index)?;
            let done = host.record(batch.now, record);
            done.map_err(|e| format!("batch {}, record {index}: {e}", batch.number))?;
        }
        host.reply
            .send(batch.number, &mut output)
            .map_err(|e| format!("cannot write the reply: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("crankpaddle-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}
