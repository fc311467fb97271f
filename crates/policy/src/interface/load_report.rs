//! Load reports of servers, and the estimates that are derived from them.
use super::ServerId;

/// A field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Number of streams that run or are being set up.
    Streams,
    /// Fraction of the link that is in use; capped at 1.
    LinkUtilization,
    /// Demand on the link divided by its capacity; may exceed 1.
    LinkDemand,
    /// Demand on the rack's uplink divided by its capacity; may exceed 1.
    UplinkDemand,
    /// Any other field; it is ignored.
    Other,
}

/// The fields of a load report with their values, in no fixed order; empty if there was no report.
pub type LoadReport = Vec<(LoadField, f64)>;

/// The load estimate of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEstimate {
    /// The server that the estimate is for.
    pub server: ServerId,
    /// Estimated demand on its link divided by the capacity; may exceed 1.
    pub link_fill: f64,
    /// Estimated demand on its rack's uplink divided by the capacity; may exceed 1.
    pub uplink_fill: f64,
    /// Whether a set-up of an idempotent class may be sent there now.
    pub usable: bool,
}
