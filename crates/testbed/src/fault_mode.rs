//! The faults that a scenario switches on at a stand-in server.
use std::time::Duration;

/// Faults of the messages that a server sends on its own.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseFault {
    /// Longest extra delay. Each message draws a part of it, so some overtake others.
    pub late: Duration,
    /// Part of the messages that are lost.
    pub lost: f64,
    /// Part of the messages that arrive twice.
    pub duplicated: f64,
}

/// The faults of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mode {
    /// Accepts set-ups and answers nothing.
    pub hangs: bool,
    /// Neither receives nor sends.
    pub vanished: bool,
    /// Part of the set-ups that fail at once.
    pub errors: f64,
    /// Part of the set-ups that are billed and whose connection is then reset.
    pub bills_and_resets: f64,
    /// Sends responses one byte a second.
    pub trickles: bool,
    /// Faults of the messages that it sends on its own.
    pub response_fault: ResponseFault,
}
