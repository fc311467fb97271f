//! What goes into a [`Front`](crate::Front) and what comes out of it. No choice is made in this file.
//!
//! Times and durations are in nanoseconds; rates in kB a second; rungs count from 0, the lowest.

/// A media server, the same at every front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// One request for a session; a viewer who comes again has a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A point on a clock that only increases, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// What a set-up of a class may do if it is made twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May be set up again, and rejected, without harm.
    Free,
    /// Once an attempt may have run: again only in its group and within a time.
    Guarded(Group),
    /// Set up once: again, or rejected, only when no earlier attempt can have run.
    SingleShot,
}

/// The servers that may repeat an attempt of a guarded class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Any server.
    All,
    /// Those of the first attempt's zone.
    Zone,
    /// Those of its cell.
    Cell,
}

/// A class of sessions.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Wanted bound for a set-up.
    pub aim: u64,
    /// What a second set-up may do.
    pub effect: Effect,
    /// For guarded classes: how long after an attempt it may be repeated.
    pub repeat_within: u64,
    /// Worth of a second at a rung of worth 1.
    pub worth: f64,
    /// Lowest rung that may be set.
    pub floor: u8,
    /// Highest rung of the class.
    pub top: u8,
    /// Its rates over those of the ladder.
    pub rate_factor: f64,
    /// Sessions of one title that a front may hold; 0: no cap.
    pub seats: u32,
    /// Whether viewers of one title share a stream.
    pub live: bool,
}

/// One figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Streams run or being set up.
    Streams,
    /// Share of the link that is asked, 1 at most.
    LinkUtil,
    /// What is asked of the link over what it gives.
    LinkAsked,
    /// The same of the rack's uplink.
    UplinkAsked,
    /// Anything else.
    Other,
}

/// A load report: the figures that came, in no fixed order; empty when none came.
pub type Report = Vec<(LoadField, f64)>;

/// What holds for a front from its start. The default is all zero: name what your fleet has.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// This front's number among its siblings, itself included.
    pub index: u32,
    /// Number of fronts.
    pub siblings: u32,
    /// The front's zone.
    pub zone: u8,
    /// Classes of sessions.
    pub classes: Vec<Class>,
    /// Rates of the rungs.
    pub rung_kb: Vec<f64>,
    /// What each rung earns, 1 at most.
    pub rung_worth: Vec<f64>,
    /// Number of cells that titles are laid over.
    pub cells: u32,
    /// Number of racks; a server's rack is its cell modulo this.
    pub racks: u32,
    /// Streams a server of each kind runs at most.
    pub places: Vec<u32>,
    /// All links together at the start.
    pub fleet_kb: f64,
    /// Link of a server for each unit of its weight (rough).
    pub link_kb: f64,
    /// Mean uplink of a rack.
    pub uplink_kb: f64,
    /// A server rejects set-ups while so much of its link is asked; 0: never.
    pub server_guard: f64,
    /// What a further viewer of a live stream adds, as a part of the rate; 1: nothing is shared.
    pub join: f64,
    /// How late notes are.
    pub note_delay: u64,
    /// Time between notes of the link; 0: none.
    pub note_every: u64,
    /// Points of worth lost for each point of the rate missing under 98 in 100.
    pub shortfall_cost: f64,
    /// A change of rung costs so many seconds of the class's worth.
    pub switch_seconds: f64,
    /// Each tenant's requests a second within its share, over all fronts.
    pub tenant_quota: Vec<f64>,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_share_worth: f64,
    /// Whether discovery only speaks when asked.
    pub must_ask: bool,
    /// Where it must be asked: how long a front may go without.
    pub ask_within: u64,
    /// Most attempts for a request.
    pub attempts_cap: u32,
    /// Longest advice to stay away that clients follow; 0: none follow any.
    pub stay_away_cap: u64,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// Whether fronts may send each other messages.
    pub may_tell: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Time after which a server that started is warm.
    pub cold: u64,
    /// Part of its capacity that a server starts with at least.
    pub cold_share: f64,
    /// A cold server falls when sent more than this multiple of its present pace ...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall: u64,
    /// Further attempts allowed however light the traffic; `None`: no allowance is set.
    pub extra_floor: Option<f64>,
    /// Further attempts allowed for each request taken.
    pub extra_share: f64,
    /// Time over which the allowance is counted.
    pub extra_window: u64,
    /// Points of the result that a session's move between zones costs, as a fraction.
    pub cross_zone_price: f64,
    /// What moving every session once costs, as a fraction of the result.
    pub move_price: f64,
}

/// State of a server in a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Runs.
    Ready,
    /// Ends its work; nothing new may go there.
    Draining,
    /// Is no more.
    #[default]
    Gone,
}

/// One entry of the list of servers.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u8,
    /// Its kind, an index into [`Settings::places`].
    pub kind: u16,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub phase: Phase,
    /// Its size against other servers.
    pub weight: f64,
    /// Its last start; zero: long past.
    pub since: Time,
}

/// How a list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterKind {
    /// Only what changed.
    Delta,
    /// All there is.
    Full,
    /// All there was when last heard; may be outdated.
    Cached,
    /// A call to discovery failed; nothing is listed.
    Failed,
}

/// A viewer's request for a session.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// The request.
    pub request: RequestId,
    /// The viewer; the same when it comes again.
    pub viewer: u64,
    /// Class, an index into [`Settings::classes`].
    pub class: u8,
    /// Tenant, an index into [`Settings::tenant_quota`].
    pub tenant: u16,
    /// Title.
    pub title: u64,
    /// First cell that holds the title.
    pub first_cell: u32,
    /// Cells in a row that hold it.
    pub copies: u32,
    /// Highest rung the viewer can use.
    pub top: u8,
    /// When the viewer gives up.
    pub deadline: Time,
    /// A guess of how long it is watched, if there is one.
    pub hint: Option<u64>,
    /// Whether it is known to come again.
    pub again: bool,
    /// Whether it comes back from a move.
    pub moved: bool,
}

/// How an attempt, or a probe, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

/// A note on a playing session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Share of the rate delivered at the server.
    Delivered(f64),
    /// The rung in force.
    Rung(u8),
    /// What is asked of the link over what it gives.
    Link(f64),
    /// The same of the rack's uplink.
    Uplink(f64),
}

/// How sessions of a class may be served from another zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Leave {
    /// Like from any other.
    #[default]
    Free,
    /// Only where no free zone has room.
    Last,
    /// None starts there, none is raised there.
    Never,
}

/// What a front hears. `took` is the time since the attempt was sent.
#[derive(Clone, Debug)]
pub enum Event {
    /// A list of servers.
    Roster(RosterKind, Vec<Listing>),
    /// A viewer wants a session.
    Ask(Ask),
    /// A session that was under way at the start; its attempt has number 0.
    Adopted(Ask, ServerId),
    /// An attempt's session plays.
    Playing {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u8,
        /// The server.
        server: ServerId,
        /// Time since the attempt was sent.
        took: u64,
    },
    /// A note on one of this front's sessions.
    Note {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// What it tells.
        note: Note,
    },
    /// An attempt ended; `closed` tells that the request has its final answer.
    Ended {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u8,
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request has its final answer.
        closed: bool,
        /// The load report that came with it.
        report: Report,
    },
    /// From now on sessions of a class may be served from a zone like this; before it is told, freely.
    Crossing {
        /// The zone of the servers.
        zone: u8,
        /// The class.
        class: u8,
        /// How.
        leave: Leave,
    },
    /// The highest rung of a session, from now on; one that plays higher is lowered.
    Top {
        /// The request.
        request: RequestId,
        /// The rung.
        top: u8,
    },
    /// The viewer left; no answer is owed any more.
    Left(RequestId),
    /// A timer that the front set.
    Timer(u32),
    /// A probe's result.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came with it.
        report: Report,
    },
    /// So many fronts are in the fleet as far as is known, this one with them; in place of [`Settings::siblings`].
    Siblings(u32),
    /// A message of a sibling.
    Told {
        /// The sibling's number.
        from: u32,
        /// What it says.
        bytes: Vec<u8>,
    },
}

/// What a front wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set the session up at a server; 0: until the viewer gives up.
    Attempt {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time allowed; 0: until the viewer gives up.
        timeout: u64,
    },
    /// Set the rung, before an attempt or while it plays.
    Rung {
        /// The request.
        request: RequestId,
        /// The rung.
        rung: u8,
    },
    /// Final answer: rejected; come back after `stay_away` (0: no advice).
    Reject {
        /// The request.
        request: RequestId,
        /// When to come back; 0: no advice.
        stay_away: u64,
    },
    /// Final answer: failed, perhaps with effect.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u8,
    },
    /// Take the session off its server; it comes back as a new request.
    Move(RequestId),
    /// Call [`Event::Timer`] with this token at that time.
    Wake {
        /// When.
        at: Time,
        /// What the timer is called with.
        token: u32,
    },
    /// Probe a server.
    Probe(ServerId),
    /// Subscribe to changes of the list.
    Subscribe,
    /// Ask for the whole list once.
    FetchRoster,
    /// Send a message to all siblings.
    Tell(Vec<u8>),
    /// A line for the log.
    Log(String),
}
