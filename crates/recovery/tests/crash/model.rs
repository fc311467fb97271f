//! The model: a front with one paid key and its disk, one server, and the network between them.
use crate::front::{key, Front, Guard, Guards, SERVER, SERVER_INCARNATION};
use crankpaddle_recovery::intents::AttemptResult;
use crankpaddle_recovery::{
    Intent, IntentOutcome, InventorySession, Key, SessionInventory, StoreWrite,
};
use stateright::{Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The name of the property that must hold in every state.
pub(crate) const SOLD_ONCE: &str = "no session is sold twice";

/// The maximum number of attempts, which bounds the state space.
const MAX_ATTEMPTS: u8 = 3;

/// The state of the whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub(crate) struct SystemState {
    disk: BTreeMap<Key, Intent>,
    /// Writes that are not synced to disk yet, in order.
    unsynced: Vec<StoreWrite>,
    /// The present incarnation of the front; `None` while there is no power.
    front: Option<Front>,
    attempts_begun: u8,
    /// The names of set-ups in transit to the server.
    set_ups_in_transit: BTreeSet<String>,
    /// The names of set-ups in progress at the server.
    in_progress: BTreeSet<String>,
    /// The names of sessions established at the server.
    established: BTreeSet<String>,
    /// The names that are fenced at the server. A set-up that arrives later is rejected.
    fenced: BTreeSet<String>,
    /// How often the server has billed the key.
    sold: u8,
    power_losses: u8,
}

/// One step of the system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Action {
    /// The front starts.
    Start,
    /// The viewer opens a session with the key.
    OpenSession,
    /// All unsynced writes are synced to disk.
    Sync,
    /// A set-up arrives at the server.
    SetUpArrives(String),
    /// The server completes a set-up and bills the key.
    SetUpCompletes(String),
    /// The response that the session is established arrives at the front.
    SetUpResponseArrives(String),
    /// The viewer closes the session.
    Close(String),
    /// The server takes its inventory and sends it.
    InventoryTaken,
    /// The inventory arrives at the front.
    InventoryArrives,
    /// A fence arrives at the server.
    FenceArrives(String),
    /// The confirmation of a fence arrives at the front.
    FenceConfirmationArrives(String),
    /// The power is lost. The first of the unsynced writes, this many, are on disk nevertheless.
    PowerLost(usize),
    /// The disk is found empty.
    DiskLost,
}

/// The action for each of the names.
fn action_for_each(names: &BTreeSet<String>, action: fn(String) -> Action) -> Vec<Action> {
    names.iter().cloned().map(action).collect()
}

impl SystemState {
    fn persist(&mut self, write: &StoreWrite) {
        match write {
            StoreWrite::Put(key, intent) => {
                self.disk.insert(key.clone(), intent.clone());
            }
            StoreWrite::Remove(key) => {
                self.disk.remove(key);
            }
            StoreWrite::FleetSize(_) | StoreWrite::Uptime(_) | StoreWrite::CleanShutdown => {}
        }
    }

    fn inventory(&self) -> SessionInventory {
        let session = |name: &String| InventorySession {
            name: name.clone(),
            key: key(),
            ..InventorySession::default()
        };
        SessionInventory {
            incarnations: vec![SERVER_INCARNATION.into()],
            sessions: self.established.iter().map(session).collect(),
            in_progress: self.in_progress.iter().cloned().collect(),
            completed: vec![key(); usize::from(self.sold > 0)],
        }
    }

    fn start(&mut self, guards: Guards) {
        let recovered: Vec<(Key, Intent)> = self.disk.clone().into_iter().collect();
        let mut front = Front::start(&recovered, guards);
        let requests = front.reconciliation.update_servers([SERVER]);
        front.apply_requests(requests, guards);
        self.front = Some(front);
    }

    fn open_session(&mut self, guards: Guards) -> Option<()> {
        let front = self.front.as_mut()?;
        self.attempts_begun += 1;
        let attempt_name = format!("n{}", self.attempts_begun);
        let write = front.ledger.begin_attempt(
            key(),
            "paid".into(),
            SERVER,
            attempt_name.clone(),
            SERVER_INCARNATION.into(),
        );
        front.own_attempts.insert(attempt_name.clone());
        self.unsynced.push(write);
        if guards.has(Guard::PersistBeforeSend) {
            front.waiting_for_sync = Some(attempt_name);
        } else {
            self.set_ups_in_transit.insert(attempt_name);
        }
        Some(())
    }

    fn sync(&mut self) -> Option<()> {
        for write in std::mem::take(&mut self.unsynced) {
            self.persist(&write);
        }
        let released = self.front.as_mut()?.waiting_for_sync.take();
        self.set_ups_in_transit.extend(released);
        Some(())
    }

    fn set_up_arrives(&mut self, attempt_name: String) {
        self.set_ups_in_transit.remove(&attempt_name);
        if !self.fenced.contains(&attempt_name) {
            self.in_progress.insert(attempt_name);
        }
    }

    fn set_up_completes(&mut self, attempt_name: String) {
        self.in_progress.remove(&attempt_name);
        self.established.insert(attempt_name);
        self.sold += 1;
    }

    fn set_up_response_arrives(&mut self, attempt_name: &str) -> Option<()> {
        let ledger = &mut self.front.as_mut()?.ledger;
        let write =
            ledger.attempt_ended(attempt_name, AttemptResult::Established, Duration::ZERO)?;
        self.unsynced.push(write);
        Some(())
    }

    fn close(&mut self, attempt_name: &str) -> Option<()> {
        self.established.remove(attempt_name);
        let ledger = &mut self.front.as_mut()?.ledger;
        let write = ledger.attempt_ended(attempt_name, AttemptResult::Ended, Duration::ZERO);
        self.unsynced.extend(write);
        Some(())
    }

    fn take_inventory(&mut self) -> Option<()> {
        let inventory = self.inventory();
        let front = self.front.as_mut()?;
        front.inventory_requested = false;
        front.inventory_response = Some(inventory);
        Some(())
    }

    fn inventory_arrives(&mut self, guards: Guards) -> Option<()> {
        let front = self.front.as_mut()?;
        let inventory = front.inventory_response.take()?;
        let own_attempts = &front.own_attempts;
        let outcome = front
            .reconciliation
            .receive_inventory(SERVER, &inventory, |name| own_attempts.contains(name));
        for resolution in outcome.resolutions {
            let write = front.apply_resolution(resolution, guards);
            self.unsynced.extend(write);
        }
        front.apply_requests(outcome.requests, guards);
        Some(())
    }

    fn fence_arrives(&mut self, attempt_name: String) -> Option<()> {
        self.in_progress.remove(&attempt_name);
        self.established.remove(&attempt_name);
        self.fenced.insert(attempt_name.clone());
        let front = self.front.as_mut()?;
        front.fence_requests.remove(&attempt_name);
        front.fence_responses.insert(attempt_name);
        Some(())
    }

    fn fence_confirmation_arrives(&mut self, attempt_name: &str, guards: Guards) -> Option<()> {
        let front = self.front.as_mut()?;
        front.fence_responses.remove(attempt_name);
        let request = front.reconciliation.fence_confirmed(SERVER, attempt_name);
        front.apply_requests(request.into_iter().collect(), guards);
        Some(())
    }

    fn lose_power(&mut self, persisted_writes: usize) {
        let unsynced = std::mem::take(&mut self.unsynced);
        for write in unsynced.iter().take(persisted_writes) {
            self.persist(write);
        }
        self.front = None;
        self.power_losses += 1;
    }

    /// Applies an action. Returns `None` if the action does not apply to this state.
    fn apply(&mut self, action: Action, guards: Guards) -> Option<()> {
        match action {
            Action::Start => self.start(guards),
            Action::OpenSession => self.open_session(guards)?,
            Action::Sync => self.sync()?,
            Action::SetUpArrives(name) => self.set_up_arrives(name),
            Action::SetUpCompletes(name) => self.set_up_completes(name),
            Action::SetUpResponseArrives(name) => self.set_up_response_arrives(&name)?,
            Action::Close(name) => self.close(&name)?,
            Action::InventoryTaken => self.take_inventory()?,
            Action::InventoryArrives => self.inventory_arrives(guards)?,
            Action::FenceArrives(name) => self.fence_arrives(name)?,
            Action::FenceConfirmationArrives(name) => {
                self.fence_confirmation_arrives(&name, guards)?;
            }
            Action::PowerLost(persisted_writes) => self.lose_power(persisted_writes),
            Action::DiskLost => self.disk.clear(),
        }
        Some(())
    }
}

/// The state machine that is checked.
pub(crate) struct PowerLossModel {
    /// Which guards the front has.
    pub(crate) guards: Guards,
    /// The maximum number of power losses, which bounds the state space.
    pub(crate) max_power_losses: u8,
}

impl PowerLossModel {
    fn actions_without_power(&self, state: &SystemState, actions: &mut Vec<Action>) {
        actions.push(Action::Start);
        // If the disk is lost while a set-up is in transit, neither the front nor its server knows of that set-up. The front
        // does not guard against this fault, as docs/power.md states, so the model loses the disk only while no set-up is in
        // transit.
        if self.guards.disk_may_be_lost
            && state.set_ups_in_transit.is_empty()
            && !state.disk.is_empty()
        {
            actions.push(Action::DiskLost);
        }
    }

    fn actions_with_power(&self, state: &SystemState, front: &Front, actions: &mut Vec<Action>) {
        if front.can_begin_attempt() && state.attempts_begun < MAX_ATTEMPTS {
            actions.push(Action::OpenSession);
        }
        if !state.unsynced.is_empty() {
            actions.push(Action::Sync);
        }
        match front.outcome() {
            Some(IntentOutcome::InFlight) => actions.extend(action_for_each(
                &state.established,
                Action::SetUpResponseArrives,
            )),
            Some(IntentOutcome::Established) => {
                actions.extend(action_for_each(&state.established, Action::Close));
            }
            Some(IntentOutcome::Completed | IntentOutcome::Failed) | None => {}
        }
        if front.inventory_requested {
            actions.push(Action::InventoryTaken);
        }
        if front.inventory_response.is_some() {
            actions.push(Action::InventoryArrives);
        }
        actions.extend(action_for_each(&front.fence_requests, Action::FenceArrives));
        actions.extend(action_for_each(
            &front.fence_responses,
            Action::FenceConfirmationArrives,
        ));
        if state.power_losses < self.max_power_losses {
            actions.extend((0..=state.unsynced.len()).map(Action::PowerLost));
        }
    }
}

impl Model for PowerLossModel {
    type State = SystemState;
    type Action = Action;

    fn init_states(&self) -> Vec<SystemState> {
        vec![SystemState::default()]
    }

    fn actions(&self, state: &SystemState, actions: &mut Vec<Action>) {
        actions.extend(action_for_each(
            &state.set_ups_in_transit,
            Action::SetUpArrives,
        ));
        actions.extend(action_for_each(&state.in_progress, Action::SetUpCompletes));
        match &state.front {
            Some(front) => self.actions_with_power(state, front, actions),
            None => self.actions_without_power(state, actions),
        }
    }

    fn next_state(&self, state: &SystemState, action: Action) -> Option<SystemState> {
        let mut next = state.clone();
        next.apply(action, self.guards)?;
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(SOLD_ONCE, |_, state: &SystemState| {
            state.sold <= 1
        })]
    }
}
