//! Decoding of the records of a batch.
use super::error::RecordError;
use super::fields::Fields;
use super::{Record, ENTRY_BYTES};
use crankpaddle::{
    AttemptOutcome, Endpoint, EndpointListKind, Event, Lifecycle, LoadReport, RequestId, ServerId,
    SessionRequest, SessionUpdate, Time,
};

/// Codes of the records that the simulator sends.
mod code {
    pub(super) const REQUESTED: u8 = 10;
    pub(super) const DIRECTORY: u8 = 20;
    pub(super) const MESSAGE: u8 = 30;
    pub(super) const TIMER: u8 = 40;
    pub(super) const ATTEMPT_ENDED: u8 = 50;
    pub(super) const ESTABLISHED: u8 = 60;
    pub(super) const STOP: u8 = 70;
    pub(super) const SPAWN: u8 = 80;
    pub(super) const UPDATED: u8 = 90;
    pub(super) const CLIENT_LEFT: u8 = 100;
    pub(super) const ADOPTED: u8 = 110;
    pub(super) const HEALTH_CHECK: u8 = 120;
    pub(super) const TOPOLOGY: u8 = 130;
}

/// Flag bits of a request.
const HAS_DURATION_HINT: u16 = 1;
const IS_MIGRATION: u16 = 8;
const IS_RETRY: u16 = 16;

/// Decodes a record. `tail` is the part of the batch after its records, to which some records refer.
pub(super) fn decode<'a>(record: Fields<'a>, tail: &'a [u8]) -> Result<Record<'a>, RecordError> {
    let instance = record.u32(1);
    let event = match record.u8(0) {
        code::SPAWN => {
            return Ok(Record::Spawn {
                instance,
                seed: record.u64(5),
                settings: record.slice(tail, 13, 1)?,
            })
        }
        code::STOP => return Ok(Record::Stop { instance }),
        code::DIRECTORY => return directory(record, tail),
        code::TOPOLOGY => return topology(record, instance),
        code::ATTEMPT_ENDED => return attempt_ended(record, instance),
        code::HEALTH_CHECK => return health_check_completed(record, instance),
        code::REQUESTED => Event::SessionRequested(session_request(record)?),
        code::ADOPTED => {
            let request = adopted_request(record)?;
            Event::SessionAdopted(request, ServerId(record.u32(41)))
        }
        code::ESTABLISHED => Event::SessionEstablished {
            request: request_id(record),
            attempt: record.u8(13),
            server: ServerId(record.u32(14)),
            setup_time: record.u64(18),
        },
        code::UPDATED => Event::SessionUpdated {
            request: request_id(record),
            server: ServerId(record.u32(14)),
            update: session_update(record)?,
        },
        code::CLIENT_LEFT => Event::ClientLeft(request_id(record)),
        code::TIMER => Event::Timer(record.u32(5)),
        code::MESSAGE => Event::PeerMessage {
            from: record.u32(5),
            bytes: record.slice(tail, 9, 1)?.to_vec(),
        },
        code => return Err(RecordError::UnknownCode(code)),
    };
    Ok(Record::Front { instance, event })
}

fn request_id(record: Fields) -> RequestId {
    RequestId(record.u64(5))
}

fn directory<'a>(record: Fields<'a>, tail: &'a [u8]) -> Result<Record<'a>, RecordError> {
    let entries = record.slice(tail, 2, ENTRY_BYTES)?;
    let entries = entries
        .chunks_exact(ENTRY_BYTES)
        .map(|entry| endpoint(Fields(entry)))
        .collect::<Result<_, _>>()?;
    Ok(Record::Directory {
        list: record.u8(1),
        entries,
    })
}

fn endpoint(entry: Fields) -> Result<Endpoint, RecordError> {
    let lifecycle = match entry.u8(9) {
        0 => Lifecycle::Removed,
        1 => Lifecycle::Ready,
        2 => Lifecycle::Draining,
        unknown => return Err(RecordError::UnknownLifecycle(unknown)),
    };
    Ok(Endpoint {
        server: ServerId(entry.u32(0)),
        zone: entry.u8(4),
        kind: entry.u16(5),
        cell: entry.u16(7),
        lifecycle,
        weight: f64::from(entry.f32(10)),
        started_at: Time(entry.u64(14)),
    })
}

fn topology(record: Fields, instance: u32) -> Result<Record<'static>, RecordError> {
    let kind = match record.u8(5) {
        0 => EndpointListKind::Cached,
        1 => EndpointListKind::Delta,
        2 => EndpointListKind::Failed,
        3 => EndpointListKind::Full,
        unknown => return Err(RecordError::UnknownListKind(unknown)),
    };
    Ok(Record::Topology {
        instance,
        kind,
        list: record.u8(14),
    })
}

fn session_request(record: Fields) -> Result<SessionRequest, RecordError> {
    let flags = record.u16(21);
    Ok(SessionRequest {
        request: request_id(record),
        viewer: record.u64(13),
        deadline: Time(record.u64(23)),
        cell_count: record.small_integer(31)?,
        max_rung: record.rung(35)?,
        duration_hint: (flags & HAS_DURATION_HINT != 0).then(|| record.u64(39)),
        tenant: record.u16(47),
        title: record.u64(49),
        class: record.u8(57),
        first_cell: record.small_integer(58)?,
        is_retry: flags & IS_RETRY != 0,
        is_migration: flags & IS_MIGRATION != 0,
    })
}

fn adopted_request(record: Fields) -> Result<SessionRequest, RecordError> {
    let flags = record.u16(55);
    Ok(SessionRequest {
        request: request_id(record),
        viewer: record.u64(13),
        duration_hint: (flags & HAS_DURATION_HINT != 0).then(|| record.u64(21)),
        deadline: Time(record.u64(29)),
        max_rung: record.rung(37)?,
        title: record.u64(45),
        tenant: record.u16(53),
        first_cell: record.small_integer(57)?,
        cell_count: record.small_integer(61)?,
        class: record.u8(65),
        is_retry: flags & IS_RETRY != 0,
        is_migration: flags & IS_MIGRATION != 0,
    })
}

fn session_update(record: Fields) -> Result<SessionUpdate, RecordError> {
    let value = f64::from(record.f32(19));
    match record.u8(18) {
        1 => Ok(SessionUpdate::DeliveryRatio(value)),
        2 => Ok(SessionUpdate::Rung(record.rung(19)?)),
        3 => Ok(SessionUpdate::LinkDemand(value)),
        4 => Ok(SessionUpdate::UplinkDemand(value)),
        unknown => Err(RecordError::UnknownUpdate(unknown)),
    }
}

fn attempt_ended(record: Fields, instance: u32) -> Result<Record<'static>, RecordError> {
    let event = Event::AttemptEnded {
        request: request_id(record),
        attempt: record.u8(28),
        server: ServerId(record.u32(13)),
        outcome: outcome(record.u16(26))?,
        is_final: record.u8(25) != 0,
        report: LoadReport::new(),
    };
    Ok(Record::Reported {
        instance,
        event,
        values: record.report_values(29)?,
    })
}

fn health_check_completed(record: Fields, instance: u32) -> Result<Record<'static>, RecordError> {
    let event = Event::HealthCheckCompleted {
        server: ServerId(record.u32(5)),
        outcome: outcome(record.u16(9))?,
        report: LoadReport::new(),
    };
    Ok(Record::Reported {
        instance,
        event,
        values: record.report_values(19)?,
    })
}

fn outcome(code: u16) -> Result<AttemptOutcome, RecordError> {
    Ok(match code {
        200 => AttemptOutcome::Completed,
        410 => AttemptOutcome::NotSent,
        499 => AttemptOutcome::Cancelled,
        500 => AttemptOutcome::ServerError,
        502 => AttemptOutcome::ConnectFailed,
        503 => AttemptOutcome::Rejected,
        504 => AttemptOutcome::Timeout,
        598 => AttemptOutcome::Reset,
        unknown => return Err(RecordError::UnknownOutcome(unknown)),
    })
}
