//! The state of one session at a stand-in server.
use crankpaddle_server_protocol::session_inventory::InventorySession;
use crankpaddle_server_protocol::sessions::SetUpBody;
use crankpaddle_time::Time;

/// A session that is being set up or plays.
pub(crate) struct Session {
    /// Its stream in the model of the fleet.
    pub(super) stream: u64,
    bill: String,
    tenant: String,
    title: String,
    /// Name of the front that it belongs to.
    pub(crate) front: String,
    /// Zone of the viewer; empty where the front did not state it.
    pub(crate) zone: String,
    /// Class by number.
    pub(crate) class: usize,
    class_name: String,
    pub(crate) rung: u8,
    /// Media bytes sent.
    pub(crate) bytes: u64,
    /// Whether its set-up is complete.
    pub(crate) plays: bool,
    /// When its last piece of media was due: pieces follow a clock, not each other.
    pub(super) media_due: Time,
}

impl Session {
    pub(super) fn new(stream: u64, class: usize, order: &SetUpBody) -> Session {
        Session {
            stream,
            bill: order.bill.clone(),
            tenant: order.tenant.clone(),
            title: order.title.clone(),
            front: order.front.clone(),
            zone: order.zone.clone(),
            class,
            class_name: order.class.clone(),
            rung: order.rung,
            bytes: 0,
            plays: false,
            media_due: Time::ZERO,
        }
    }

    /// Its entry in an inventory.
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
