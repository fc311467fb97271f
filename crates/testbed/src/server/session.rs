//! The state of one session at a simulated server.
use crankpaddle_server_protocol::session_inventory::InventorySession;
use crankpaddle_server_protocol::sessions::SetUpBody;
use crankpaddle_time::Time;

/// A session that is being set up or plays.
pub(crate) struct SimulatedSession {
    /// Number of the session's stream in the model of the fleet.
    pub(super) stream: u64,
    bill: String,
    tenant: String,
    title: String,
    /// Name of the front that set the session up.
    pub(crate) front: String,
    /// Name of the viewer's zone; empty where the front did not state it.
    pub(crate) zone: String,
    /// Number of the class.
    pub(crate) class: usize,
    class_name: String,
    pub(crate) rung: u8,
    /// Number of media bytes sent so far.
    pub(crate) bytes: u64,
    /// Whether its set-up is complete.
    pub(crate) plays: bool,
    /// When the last piece of media was due. Pieces are sent on a schedule that does not depend on when the previous piece
    /// was sent.
    pub(super) media_due: Time,
}

impl SimulatedSession {
    pub(super) fn new(stream: u64, class: usize, request: &SetUpBody) -> SimulatedSession {
        SimulatedSession {
            stream,
            bill: request.bill.clone(),
            tenant: request.tenant.clone(),
            title: request.title.clone(),
            front: request.front.clone(),
            zone: request.zone.clone(),
            class,
            class_name: request.class.clone(),
            rung: request.rung,
            bytes: 0,
            plays: false,
            media_due: Time::ZERO,
        }
    }

    /// The session's entry in the server's inventory.
    pub(super) fn inventory_entry(&self, name: &str) -> InventorySession {
        InventorySession {
            session: name.to_owned(),
            bill: self.bill.clone(),
            tenant: self.tenant.clone(),
            class: self.class_name.clone(),
            title: self.title.clone(),
            rung: self.rung,
        }
    }
}
