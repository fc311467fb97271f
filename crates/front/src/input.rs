//! What goes into a core and what comes out of it. No choice is made in this file.
use crate::keys::RequestOutcome;
use crankpaddle::{
    AttemptOutcome, CrossZonePolicy, Endpoint, EndpointListKind, LoadReport, RequestId, ServerId,
    SessionUpdate, Time,
};
use crankpaddle_recovery::{RecoveryStage, StageEvidence};

/// A player's connection, by whichever protocol it came; where sessions outlive connections, the session's own player.
/// Never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlayerId(pub u64);

/// A call of a player that wants one answer; `number` is the connection's own count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call {
    /// Who called.
    pub player: PlayerId,
    /// Which of its calls.
    pub number: u64,
}

/// One attempt to set a session up at a server; unique over the life of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// A player's request for a session, its names already looked up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenRequest {
    /// Chosen by the player, the same over its reconnects: it stands for one session.
    pub key: String,
    /// Who watches; the same when he comes again for another session.
    pub viewer: u64,
    /// Class, an index into the settings' classes.
    pub class: u8,
    /// Tenant, an index into the settings' tenants.
    pub tenant: u16,
    /// Title.
    pub title: u64,
    /// First cell that holds the title.
    pub first_cell: u32,
    /// Cells in a row that hold it.
    pub cell_count: u32,
    /// Highest rung that the player can use.
    pub max_rung: u8,
    /// How long the viewer waits, nanoseconds from now; cut to the class's own bound.
    pub max_wait: u64,
    /// A guess of how long it is watched, nanoseconds.
    pub duration_hint: Option<u64>,
    /// Whether the player says that it comes again.
    pub is_retry: bool,
    /// Whether the player says that it comes back from a move.
    pub is_migration: bool,
}

/// How a set-up came out.
#[derive(Clone, Debug, PartialEq)]
pub enum SetUpResult {
    /// The session plays; the report that came with the answer, empty if none did.
    Started(LoadReport),
    /// It did not come to play.
    Ended(AttemptOutcome, LoadReport),
}

/// What a core hears.
#[derive(Clone, Debug)]
pub enum Input {
    /// A player asks for a session. `received` is when its message was read off the socket.
    Open {
        /// The call to answer.
        call: Call,
        /// What it asks for.
        open: OpenRequest,
        /// When the message was read.
        received: Time,
    },
    /// A player takes its session, or the wait for it, up again.
    Resume {
        /// The call to answer.
        call: Call,
        /// The tenant that it was opened for.
        tenant: u16,
        /// The key that it was opened with.
        key: String,
    },
    /// A player ends its session.
    Close {
        /// The call to answer.
        call: Call,
        /// The session.
        session: RequestId,
    },
    /// A session that was under way before this front started plays at a server; nobody waits for an answer. Answered
    /// by [`Output::SessionAdopted`] unless its key is held already.
    Adopt {
        /// Whose it is.
        player: PlayerId,
        /// What was asked for.
        open: OpenRequest,
        /// Where it plays.
        server: ServerId,
    },
    /// A player gives up what it waits for and ends what plays for it, at once and without an answer.
    Leave(PlayerId),
    /// A player's connection is gone.
    PlayerDisconnected(PlayerId),
    /// A list of servers.
    EndpointList(EndpointListKind, Vec<Endpoint>),
    /// A set-up came out.
    SetUpCompleted(AttemptId, SetUpResult),
    /// An attempt waits for something of the front's own, and has not left (`true`); or it leaves now. It leaves at once where this is
    /// not told.
    SendDeferred(AttemptId, bool),
    /// A note on a playing session.
    SessionUpdated(AttemptId, SessionUpdate),
    /// A playing session ended at its server: `Ok` when it ran to its end, `Reset` when the server was lost.
    SessionEnded(AttemptId, AttemptOutcome, LoadReport),
    /// From now on a class may be served from a zone like this.
    CrossZonePolicyChanged {
        /// The zone of the servers.
        zone: u8,
        /// The class.
        class: u8,
        /// How.
        leave: CrossZonePolicy,
    },
    /// A playing session is to go down to its lowest rung, or (`false`) may rise as high as its viewer can use.
    RateCapped(AttemptId, bool),
    /// A probe came out.
    HealthCheckCompleted(ServerId, AttemptOutcome, LoadReport),
    /// So many fronts of the fleet are known, this one with them; those that may only be out of reach count too.
    FleetSizeChanged(u32),
    /// Servers are listed, so that they can be asked what a former life had begun.
    EndpointsKnown,
    /// Each of them told, or can't be reached.
    ReconciliationCompleted,
    /// After [`Output::StageReached`] told that service goes on: all that was found was told, so who was held can be served.
    ServiceResumed,
    /// A paid set-up of a former life may have run under this key.
    KeyUnresolved {
        /// Its tenant.
        tenant: u16,
        /// Its key.
        key: String,
    },
    /// What became of a paid key of a former life.
    KeyResolved {
        /// Its tenant.
        tenant: u16,
        /// Its key.
        key: String,
        /// Its class.
        class: u8,
        /// What it came to; `None`: it never ran.
        past: Option<RequestOutcome>,
    },
    /// A server holds a session that a former life set up. Answered by [`Output::FoundSessionHandled`].
    SessionFound {
        /// Names it in the answer.
        token: u64,
        /// What was asked for.
        open: OpenRequest,
        /// Where it plays.
        server: ServerId,
    },
    /// Take nothing new from now on.
    Drain,
    /// End what still plays: the front stops.
    Stop,
}

/// Why a request was refused: nothing of it ran, it may be sent again anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// No server that holds the title has room or may be used now.
    NoCapacity,
    /// Its own zone has no room, and its class may not leave for another now.
    CrossZoneForbidden,
    /// The front itself has more to do than it can answer in time.
    Overload,
    /// Too many requests wait for an answer, in all or of this player.
    TooManyPending,
    /// The front is stopping.
    ShuttingDown,
    /// Service returns after a power loss, and others come first.
    Recovering,
}

/// Why a request failed: an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// A server was asked and did not answer in time.
    NoAnswer,
    /// A server answered with an error.
    ServerError,
    /// The connection to a server broke while an attempt was out.
    ConnectionLost,
    /// The attempt was withdrawn, for instance because its player left.
    Cancelled,
    /// The key stands for a paid session that played and is over; a new session wants a new key.
    KeySpent,
}

/// The one answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The session plays.
    Established {
        /// The session.
        session: RequestId,
        /// Its attempt, which names it at the server.
        attempt: AttemptId,
        /// The server.
        server: ServerId,
        /// The rung in force.
        rung: u8,
    },
    /// Refused; come back after so many nanoseconds (0: no advice).
    Rejected(RejectReason, u64),
    /// Failed, perhaps with effect.
    Failed(FailureReason),
    /// Another connection took the session up with its key and has the answer, or will.
    Superseded,
    /// The session was closed as asked.
    Closed,
    /// No such session, or not this player's.
    UnknownSession,
}

/// What a player is told without having asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notification {
    /// The rung of its session changes.
    RungChanged(u8),
    /// Its session is over; come back after so many nanoseconds (0: no advice).
    SessionEnded(SessionEndReason, u64),
    /// Its session moves: open it again with the same key.
    Migrate,
}

/// Why a session is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEndReason {
    /// It ran to its end.
    Finished,
    /// Its server was lost.
    ServerLost,
    /// Another connection took it up.
    Superseded,
    /// The front stops.
    ShuttingDown,
}

/// What a server is asked to set up.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUpOrder {
    /// The key that the player chose for the session.
    pub key: String,
    /// Class, an index into the settings' classes.
    pub class: u8,
    /// Tenant.
    pub tenant: u16,
    /// Title.
    pub title: u64,
    /// The rung to start at.
    pub rung: u8,
}

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer a call; its only answer.
    Answer(Call, Answer),
    /// Tell a player.
    Notify(PlayerId, RequestId, Notification),
    /// Send one attempt to a server. It must be answered by [`Input::SetUpCompleted`] unless it is abandoned first.
    StartSetUp {
        /// The attempt.
        attempt: AttemptId,
        /// Its request.
        request: RequestId,
        /// Its number within the request, from 0.
        number: u8,
        /// The server.
        server: ServerId,
        /// What to set up.
        order: SetUpOrder,
        /// When the attempt will be given up.
        until: Time,
    },
    /// A session that was adopted is held as this attempt from now on.
    SessionAdopted {
        /// Whose it is.
        player: PlayerId,
        /// Its attempt.
        attempt: AttemptId,
        /// Where it plays.
        server: ServerId,
    },
    /// A session that a server held is held as this attempt from now on; `None`: its key is another's, and it is to be ended.
    FoundSessionHandled {
        /// As it was asked with.
        token: u64,
        /// Its attempt.
        attempt: Option<AttemptId>,
        /// Where it plays.
        server: ServerId,
    },
    /// Service took a step on its way back.
    StageReached(RecoveryStage, StageEvidence),
    /// Stop waiting for an attempt and see that the server drops what it may have set up.
    AbandonAttempt(AttemptId, ServerId),
    /// Set the rung of a playing session.
    SetRung(AttemptId, ServerId, u8),
    /// End a playing session at its server.
    TearDown(AttemptId, ServerId),
    /// Probe a server; answered by [`Input::HealthCheckCompleted`].
    HealthCheck(ServerId),
    /// Subscribe to changes of the list of servers.
    SubscribeEndpoints,
    /// Ask for the whole list once.
    FetchEndpoints,
    /// A line of the decision module for the log.
    Log(String),
}
