//! The faults that a scenario switches on at a simulated server.
use std::time::Duration;

/// Faults of the messages that a server sends without a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseFault {
    /// Maximum extra delay. Each message draws its own delay up to this, so messages can overtake each other.
    pub late: Duration,
    /// Fraction of the messages that are lost.
    pub lost: f64,
    /// Fraction of the messages that arrive twice.
    pub duplicated: f64,
}

/// The active faults of a server. The default is a server without faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerFaults {
    /// Whether the server accepts set-ups but doesn't answer them. Paid set-ups are billed nevertheless, and no media is sent.
    pub hangs: bool,
    /// Whether the server neither receives nor sends.
    pub vanished: bool,
    /// Fraction of the set-ups that are answered with an immediate error.
    pub errors: f64,
    /// Fraction of the set-ups whose connection is reset after a paid one was billed.
    pub bills_and_resets: f64,
    /// Whether the server sends its responses one byte a second.
    pub trickles: bool,
    /// Faults of the messages that the server sends without a request.
    pub response_fault: ResponseFault,
}
