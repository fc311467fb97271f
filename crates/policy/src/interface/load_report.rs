//! Load reports of servers, and the load that is estimated.
use super::ServerId;

/// One figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Streams that run or are being set up.
    Streams,
    /// Part of the link that is in use, 1 at most.
    LinkUtilization,
    /// What is asked of the link over its capacity.
    LinkDemand,
    /// What is asked of the rack's uplink over its capacity.
    UplinkDemand,
    /// Anything else.
    Other,
}

/// The figures of a load report, in no fixed order; empty if there was none.
pub type LoadReport = Vec<(LoadField, f64)>;

/// What is estimated of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEstimate {
    /// The server.
    pub server: ServerId,
    /// What is asked of its link over the link's capacity.
    pub link_fill: f64,
    /// The same of its uplink.
    pub uplink_fill: f64,
    /// Whether a set-up of an idempotent class may go there.
    pub usable: bool,
}
