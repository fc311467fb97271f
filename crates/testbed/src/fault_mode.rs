//! How stand-in servers misbehave.

/// How what is told goes astray.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseFault {
    /// It comes so much later, each time by a part of this that is drawn: so some overtake others. Nanoseconds.
    pub late: u64,
    /// Part of it that never comes.
    pub lost: f64,
    /// Part of it that comes twice.
    pub duplicated: f64,
}

/// How a server misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mode {
    /// Takes set-ups and answers nothing.
    pub hangs: bool,
    /// Silent both ways.
    pub vanished: bool,
    /// Part of the set-ups that fail at once.
    pub errors: f64,
    /// Part of the set-ups that are billed and then reset.
    pub bills_and_resets: f64,
    /// Answers come a byte a second.
    pub trickles: bool,
    /// How what it tells unasked goes astray.
    pub response_fault: ResponseFault,
}
