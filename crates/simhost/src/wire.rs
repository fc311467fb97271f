//! The bench's wire: framed little-endian records. It decodes batches and encodes replies, and decides nothing.
use crankpaddle::{
    Action, AttemptOutcome, Endpoint, Event, Lifecycle, LoadField, LoadReport, RequestId,
    SessionRequest, SessionUpdate,
};
use crankpaddle::{EndpointListKind, ServerId, Time};
use std::io::{self, Read, Write};

const EVENT_BYTES: usize = 72;
const ACTION_BYTES: usize = 32;
const ENTRY_BYTES: usize = 22;
/// No batch is larger; a length beyond this is a broken frame.
const MOST_BYTES: usize = 1 << 30;

/// A batch of events.
pub struct Batch {
    /// Its number.
    pub number: u32,
    /// The clock.
    pub now: Time,
    body: Vec<u8>,
    records: usize,
}

/// One record of a batch.
pub enum Record<'a> {
    /// An instance starts.
    Spawn {
        /// The instance.
        who: u32,
        /// For its random numbers.
        seed: u64,
        /// Its settings.
        facts: &'a [u8],
    },
    /// An instance is no more.
    Stop {
        /// The instance.
        who: u32,
    },
    /// A list of servers, for the events that name it.
    Directory {
        /// Its number.
        list: u8,
        /// The servers.
        entries: Vec<Endpoint>,
    },
    /// An instance is told a list.
    Topology {
        /// The instance.
        who: u32,
        /// How it is to be read.
        kind: EndpointListKind,
        /// The list's number.
        list: u8,
    },
    /// Any other event.
    Front {
        /// The instance.
        who: u32,
        /// What it hears.
        event: Event,
    },
    /// An event with a load report, whose fields only the instance's settings name.
    Reported {
        /// The instance.
        who: u32,
        /// What it hears.
        event: Event,
        /// The report's figures.
        values: Vec<f64>,
    },
}

/// Fills `buffer`; `Ok(false)` at the end of input before its first byte.
fn fill(input: &mut impl Read, buffer: &mut [u8], what: &str) -> Result<bool, String> {
    let mut have = 0;
    while have < buffer.len() {
        match input.read(&mut buffer[have..]) {
            Ok(0) if have == 0 => return Ok(false),
            Ok(0) => {
                return Err(format!(
                    "input ends after {have} of {} bytes of the {what}",
                    buffer.len()
                ))
            }
            Ok(n) => have += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("cannot read the {what}: {e}")),
        }
    }
    Ok(true)
}

impl Batch {
    /// The next batch, or `None` at the end of input between frames.
    pub fn read(input: &mut impl Read) -> Result<Option<Batch>, String> {
        let mut head = [0u8; 20];
        if !fill(input, &mut head, "batch header")? {
            return Ok(None);
        }
        let number = u32_at(&head, 0);
        let now = Time(u64_at(&head, 4));
        let size = u32_at(&head, 12) as usize;
        let records = u32_at(&head, 16) as usize;
        if !(4..=MOST_BYTES).contains(&size) {
            return Err(format!(
                "batch {number}: a length of {size} bytes is out of range"
            ));
        }
        if records.saturating_mul(EVENT_BYTES) > size - 4 {
            return Err(format!(
                "batch {number}: {records} records do not fit its length of {size} bytes"
            ));
        }
        // Grows with what really arrives, so that a wrong length cannot claim the memory at once.
        let mut body = Vec::new();
        let got = input.take(size as u64 - 4).read_to_end(&mut body);
        let got = got.map_err(|e| format!("batch {number}: cannot read the records: {e}"))?;
        if got < size - 4 {
            return Err(format!(
                "batch {number}: input ends after {got} of {} bytes",
                size - 4
            ));
        }
        Ok(Some(Batch {
            number,
            now,
            body,
            records,
        }))
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.records == 0
    }

    /// The record at `index`.
    pub fn record(&self, index: usize) -> Result<Record<'_>, String> {
        let at = index * EVENT_BYTES;
        let (r, tail) = (
            &self.body[at..at + EVENT_BYTES],
            &self.body[self.records * EVENT_BYTES..],
        );
        decode(r, tail)
            .map_err(|e| format!("batch {}, record {index} (code {}): {e}", self.number, r[0]))
    }
}

fn decode<'a>(r: &[u8], tail: &'a [u8]) -> Result<Record<'a>, String> {
    let who = u32_at(r, 1);
    let request = RequestId(u64_at(r, 5));
    let front = |event| Ok(Record::Front { who, event });
    match r[0] {
        80 => Ok(Record::Spawn {
            who,
            seed: u64_at(r, 5),
            facts: slice(tail, r, 13, 1)?,
        }),
        70 => Ok(Record::Stop { who }),
        20 => {
            let raw = slice(tail, r, 2, ENTRY_BYTES)?;
            let entries = raw
                .chunks_exact(ENTRY_BYTES)
                .map(listing)
                .collect::<Result<_, _>>()?;
            Ok(Record::Directory {
                list: r[1],
                entries,
            })
        }
        130 => {
            let kind = match r[5] {
                0 => EndpointListKind::Cached,
                1 => EndpointListKind::Delta,
                2 => EndpointListKind::Failed,
                3 => EndpointListKind::Full,
                k => return Err(format!("unknown list kind {k}")),
            };
            Ok(Record::Topology {
                who,
                kind,
                list: r[14],
            })
        }
        10 => {
            let flags = u16_at(r, 21);
            front(Event::SessionRequested(SessionRequest {
                request,
                viewer: u64_at(r, 13),
                deadline: Time(u64_at(r, 23)),
                cell_count: whole(r, 31)?,
                max_rung: whole(r, 35)?.min(255) as u8,
                duration_hint: (flags & 1 != 0).then(|| u64_at(r, 39)),
                tenant: u16_at(r, 47),
                title: u64_at(r, 49),
                class: r[57],
                first_cell: whole(r, 58)?,
                is_retry: flags & 16 != 0,
                is_migration: flags & 8 != 0,
            }))
        }
        110 => {
            let flags = u16_at(r, 55);
            let ask = SessionRequest {
                request,
                viewer: u64_at(r, 13),
                duration_hint: (flags & 1 != 0).then(|| u64_at(r, 21)),
                deadline: Time(u64_at(r, 29)),
                max_rung: whole(r, 37)?.min(255) as u8,
                title: u64_at(r, 45),
                tenant: u16_at(r, 53),
                first_cell: whole(r, 57)?,
                cell_count: whole(r, 61)?,
                class: r[65],
                is_retry: flags & 16 != 0,
                is_migration: flags & 8 != 0,
            };
            front(Event::SessionAdopted(ask, ServerId(u32_at(r, 41))))
        }
        60 => front(Event::SessionEstablished {
            request,
            attempt: r[13],
            server: ServerId(u32_at(r, 14)),
            setup_time: u64_at(r, 18),
        }),
        90 => {
            let value = f64::from(f32_at(r, 19));
            let note = match r[18] {
                1 => SessionUpdate::DeliveryRatio(value),
                2 => SessionUpdate::Rung(whole(r, 19)?.min(255) as u8),
                3 => SessionUpdate::LinkDemand(value),
                4 => SessionUpdate::UplinkDemand(value),
                k => return Err(format!("unknown note kind {k}")),
            };
            front(Event::SessionUpdated {
                request,
                server: ServerId(u32_at(r, 14)),
                update: note,
            })
        }
        50 => {
            let (server, outcome) = (ServerId(u32_at(r, 13)), outcome(u16_at(r, 26))?);
            let (attempt, closed, report) = (r[28], r[25] != 0, LoadReport::new());
            let event = Event::AttemptEnded {
                request,
                attempt,
                server,
                outcome,
                is_final: closed,
                report,
            };
            Ok(Record::Reported {
                who,
                event,
                values: values(r, 29)?,
            })
        }
        120 => {
            let (server, outcome) = (ServerId(u32_at(r, 5)), outcome(u16_at(r, 9))?);
            let event = Event::HealthCheckCompleted {
                server,
                outcome,
                report: LoadReport::new(),
            };
            Ok(Record::Reported {
                who,
                event,
                values: values(r, 19)?,
            })
        }
        100 => front(Event::ClientLeft(request)),
        40 => front(Event::Timer(u32_at(r, 5))),
        30 => front(Event::PeerMessage {
            from: u32_at(r, 5),
            bytes: slice(tail, r, 9, 1)?.to_vec(),
        }),
        code => Err(format!("unknown event code {code}")),
    }
}

/// Puts the fields' names to the values of a report.
pub fn name_report(event: &mut Event, values: &[f64], fields: &[LoadField]) {
    if let Event::AttemptEnded { report, .. } | Event::HealthCheckCompleted { report, .. } = event {
        *report = fields.iter().copied().zip(values.iter().copied()).collect();
    }
}

fn listing(e: &[u8]) -> Result<Endpoint, String> {
    let phase = match e[9] {
        0 => Lifecycle::Removed,
        1 => Lifecycle::Ready,
        2 => Lifecycle::Draining,
        p => return Err(format!("list entry: unknown phase {p}")),
    };
    Ok(Endpoint {
        server: ServerId(u32_at(e, 0)),
        zone: e[4],
        kind: u16_at(e, 5),
        cell: u16_at(e, 7),
        lifecycle: phase,
        weight: f64::from(f32_at(e, 10)),
        started_at: Time(u64_at(e, 14)),
    })
}

fn outcome(code: u16) -> Result<AttemptOutcome, String> {
    Ok(match code {
        200 => AttemptOutcome::Completed,
        500 => AttemptOutcome::ServerError,
        503 => AttemptOutcome::Rejected,
        504 => AttemptOutcome::Timeout,
        502 => AttemptOutcome::ConnectFailed,
        598 => AttemptOutcome::Reset,
        499 => AttemptOutcome::Cancelled,
        410 => AttemptOutcome::NotSent,
        c => return Err(format!("unknown outcome {c}")),
    })
}

fn values(r: &[u8], at: usize) -> Result<Vec<f64>, String> {
    match r[at] as usize {
        n if n > 4 => Err(format!("a load report of {n} values")),
        n => Ok((0..n)
            .map(|i| f64::from(f32_at(r, at + 1 + 4 * i)))
            .collect()),
    }
}

fn slice<'a>(tail: &'a [u8], r: &[u8], at: usize, unit: usize) -> Result<&'a [u8], String> {
    let (from, count) = (u32_at(r, at) as usize, u32_at(r, at + 4) as usize);
    let range = count
        .checked_mul(unit)
        .and_then(|n| from.checked_add(n))
        .and_then(|to| tail.get(from..to));
    range.ok_or_else(|| {
        format!(
            "offset {from} with {count} items lies outside the tail of {} bytes",
            tail.len()
        )
    })
}

fn whole(r: &[u8], at: usize) -> Result<u32, String> {
    let v = f32_at(r, at);
    if v.is_finite() && (0.0..65536.0).contains(&v) {
        Ok(v.round() as u32)
    } else {
        Err(format!("{v} at byte {at} is not a small whole number"))
    }
}

fn u16_at(b: &[u8], at: usize) -> u16 {
    u16::from_le_bytes([b[at], b[at + 1]])
}

fn u32_at(b: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([b[at], b[at + 1], b[at + 2], b[at + 3]])
}

fn u64_at(b: &[u8], at: usize) -> u64 {
    u64::from(u32_at(b, at)) | u64::from(u32_at(b, at + 4)) << 32
}

fn f32_at(b: &[u8], at: usize) -> f32 {
    f32::from_bits(u32_at(b, at))
}

/// A reply under way.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    fn record(&mut self, code: u8, who: u32, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_BYTES;
        self.records.push(code);
        self.records.extend_from_slice(&who.to_le_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(end, 0);
    }

    fn text(&mut self, bytes: &[u8]) -> [u8; 8] {
        let place = (self.tail.len() as u64) | (bytes.len() as u64) << 32;
        self.tail.extend_from_slice(bytes);
        place.to_le_bytes()
    }

    /// Declares that the decision code of an instance failed.
    pub fn die(&mut self, who: u32, why: &str) {
        let place = self.text(why.as_bytes());
        self.record(10, who, &[&place]);
    }

    /// Adds an instance's action.
    pub fn push(&mut self, who: u32, action: &Action) {
        let id = |r: &RequestId| r.0.to_le_bytes();
        match action {
            Action::StartAttempt {
                request,
                server,
                timeout,
            } => self.record(
                120,
                who,
                &[
                    &id(request),
                    &timeout.to_le_bytes(),
                    &server.0.to_le_bytes(),
                ],
            ),
            Action::SetRung { request, rung } => self.record(50, who, &[&id(request), &[*rung]]),
            Action::Reject {
                request,
                retry_after: stay_away,
            } => {
                self.record(80, who, &[&id(request), &stay_away.to_le_bytes()]);
            }
            Action::Fail(request) => self.record(40, who, &[&id(request)]),
            Action::CancelAttempt { request, attempt } => {
                self.record(60, who, &[&id(request), &[*attempt]]);
            }
            Action::MigrateSession(request) => self.record(70, who, &[&id(request)]),
            Action::SetTimer { at, token } => {
                self.record(130, who, &[&at.0.to_le_bytes(), &token.to_le_bytes()]);
            }
            Action::HealthCheck(server) => self.record(110, who, &[&server.0.to_le_bytes()]),
            Action::SubscribeEndpoints => self.record(140, who, &[&[1]]),
            Action::FetchEndpoints => self.record(20, who, &[]),
            Action::Broadcast(bytes) => {
                let place = self.text(bytes);
                self.record(90, who, &[&u32::MAX.to_le_bytes(), &place]);
            }
            Action::Log(line) => {
                let place = self.text(line.as_bytes());
                self.record(30, who, &[&place]);
            }
        }
    }

    /// Writes and flushes the reply to batch `number`, and empties itself.
    pub fn send(&mut self, number: u32, output: &mut impl Write) -> io::Result<()> {
        let count = (self.records.len() / ACTION_BYTES) as u32;
        let size = (self.records.len() + self.tail.len() + 4) as u32;
        for word in [number, size, count] {
            output.write_all(&word.to_le_bytes())?;
        }
        output.write_all(&self.records)?;
        output.write_all(&self.tail)?;
        self.records.clear();
        self.tail.clear();
        output.flush()
    }
}
