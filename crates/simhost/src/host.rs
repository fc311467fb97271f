//! The instances of the decision module that the simulator has started, and the handling of its records.
use crankpaddle::{Action, Endpoint, EndpointListKind, Event, LoadField, PlacementPolicy, Time};
use crankpaddle_settings::SettingsError;
use crankpaddle_simhost::wire::{self, Record, Reply};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use thiserror::Error;

/// The reason why a record could not be handled.
#[derive(Debug, Error)]
pub(crate) enum HostError {
    /// The settings of an instance cannot be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A record refers to an endpoint list that was not sent before.
    #[error("endpoint list {0} was never sent")]
    UnknownList(u8),
    /// A record is for an instance that is not running.
    #[error("instance {0} was never started")]
    UnknownInstance(u32),
}

/// A policy that runs for the simulator.
struct Instance {
    policy: PlacementPolicy,
    /// Fields of a load report, in the order in which the simulator sends their values.
    report_fields: Vec<LoadField>,
}

/// All instances, and the reply to the current batch.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u32, Instance>,
    /// Endpoint lists by their number.
    lists: BTreeMap<u8, Vec<Endpoint>>,
    actions: Vec<Action>,
    pub(crate) reply: Reply,
}

impl Host {
    /// Handles a record and adds the resulting actions to the reply.
    pub(crate) fn handle_record(&mut self, now: Time, record: Record) -> Result<(), HostError> {
        match record {
            Record::Spawn {
                instance,
                seed,
                settings,
            } => self.spawn(now, instance, seed, settings),
            Record::Stop { instance } => {
                self.instances.remove(&instance);
                Ok(())
            }
            Record::Directory { list, entries } => {
                self.lists.insert(list, entries);
                Ok(())
            }
            Record::Topology {
                instance,
                kind,
                list,
            } => {
                let entries = self.entries(kind, list)?;
                self.handle_event(instance, now, Event::EndpointList(kind, entries), &[])
            }
            Record::Front { instance, event } => self.handle_event(instance, now, event, &[]),
            Record::Reported {
                instance,
                event,
                values,
            } => self.handle_event(instance, now, event, &values),
        }
    }

    fn spawn(
        &mut self,
        now: Time,
        instance: u32,
        seed: u64,
        settings: &[u8],
    ) -> Result<(), HostError> {
        let fleet = crankpaddle_settings::parse_settings(settings)?;
        let report_fields = fleet.fields.into_iter().map(|(_, field)| field).collect();
        let settings = fleet.settings;
        let Ok(policy) = catch_unwind(|| PlacementPolicy::new(settings, seed, now)) else {
            self.reply.report_failure(instance, "panic while starting");
            return Ok(());
        };
        let started = Instance {
            policy,
            report_fields,
        };
        self.instances.insert(instance, started);
        Ok(())
    }

    /// The entries of an endpoint list; none if the list stands for a failed discovery request.
    fn entries(&self, kind: EndpointListKind, list: u8) -> Result<Vec<Endpoint>, HostError> {
        if kind == EndpointListKind::Failed {
            return Ok(Vec::new());
        }
        let entries = self.lists.get(&list).ok_or(HostError::UnknownList(list))?;
        Ok(entries.clone())
    }

    /// Passes an event to an instance. A panic of the policy is reported in the reply and does not end the adapter.
    fn handle_event(
        &mut self,
        id: u32,
        now: Time,
        mut event: Event,
        values: &[f64],
    ) -> Result<(), HostError> {
        let instance = self
            .instances
            .get_mut(&id)
            .ok_or(HostError::UnknownInstance(id))?;
        wire::attach_report_values(&mut event, values, &instance.report_fields);
        self.actions.clear();
        let handled = catch_unwind(AssertUnwindSafe(|| {
            instance.policy.handle(now, event, &mut self.actions);
        }));
        if handled.is_err() {
            self.reply.report_failure(id, "panic while deciding");
            return Ok(());
        }
        for action in &self.actions {
            self.reply.push(id, action);
        }
        Ok(())
    }
}
