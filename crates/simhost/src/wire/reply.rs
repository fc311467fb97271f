//! Encoding of the reply to a batch: the actions of all instances.
use super::ACTION_BYTES;
use crankpaddle::{Action, RequestId, ServerId};
use std::io::{self, Write};

/// Codes of the records that the simulator expects.
mod code {
    pub(super) const FAILED_INSTANCE: u8 = 10;
    pub(super) const FETCH_ENDPOINTS: u8 = 20;
    pub(super) const LOG: u8 = 30;
    pub(super) const FAIL: u8 = 40;
    pub(super) const SET_RUNG: u8 = 50;
    pub(super) const CANCEL_ATTEMPT: u8 = 60;
    pub(super) const MIGRATE_SESSION: u8 = 70;
    pub(super) const REJECT: u8 = 80;
    pub(super) const SEND_MESSAGE: u8 = 90;
    pub(super) const HEALTH_CHECK: u8 = 110;
    pub(super) const START_ATTEMPT: u8 = 120;
    pub(super) const SET_TIMER: u8 = 130;
    pub(super) const SUBSCRIBE: u8 = 140;
}

/// Receiver of a message that goes to all other instances.
const ALL_INSTANCES: u32 = u32::MAX;

/// Builds the reply to a batch.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Adds a report that the policy of an instance panicked.
    pub fn report_failure(&mut self, instance: u32, reason: &str) {
        let location = self.append_to_tail(reason.as_bytes());
        self.record(code::FAILED_INSTANCE, instance, &[&location]);
    }

    /// Adds an action of an instance.
    pub fn push(&mut self, instance: u32, action: &Action) {
        match action {
            Action::StartAttempt {
                request,
                server,
                timeout,
            } => self.start_attempt(instance, *request, *server, *timeout),
            Action::SetRung { request, rung } => {
                let request = request.0.to_le_bytes();
                self.record(code::SET_RUNG, instance, &[&request, &[*rung]]);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                let (request, retry_after) = (request.0.to_le_bytes(), retry_after.to_le_bytes());
                self.record(code::REJECT, instance, &[&request, &retry_after]);
            }
            Action::Fail(request) => self.record(code::FAIL, instance, &[&request.0.to_le_bytes()]),
            Action::CancelAttempt { request, attempt } => {
                let request = request.0.to_le_bytes();
                self.record(code::CANCEL_ATTEMPT, instance, &[&request, &[*attempt]]);
            }
            Action::MigrateSession(request) => {
                self.record(code::MIGRATE_SESSION, instance, &[&request.0.to_le_bytes()]);
            }
            Action::SetTimer { at, token } => {
                let (at, token) = (at.0.to_le_bytes(), token.to_le_bytes());
                self.record(code::SET_TIMER, instance, &[&at, &token]);
            }
            Action::HealthCheck(server) => {
                self.record(code::HEALTH_CHECK, instance, &[&server.0.to_le_bytes()]);
            }
            Action::SubscribeEndpoints => self.record(code::SUBSCRIBE, instance, &[&[1]]),
            Action::FetchEndpoints => self.record(code::FETCH_ENDPOINTS, instance, &[]),
            Action::Broadcast(bytes) => {
                let location = self.append_to_tail(bytes);
                let receiver = ALL_INSTANCES.to_le_bytes();
                self.record(code::SEND_MESSAGE, instance, &[&receiver, &location]);
            }
            Action::Log(line) => {
                let location = self.append_to_tail(line.as_bytes());
                self.record(code::LOG, instance, &[&location]);
            }
        }
    }

    /// Writes the reply to a batch, flushes the output and clears the reply for the next batch.
    ///
    /// # Errors
    /// Fails if the output cannot be written.
    pub fn send(&mut self, batch: u32, output: &mut impl Write) -> io::Result<()> {
        let count = (self.records.len() / ACTION_BYTES) as u32;
        let length = (self.records.len() + self.tail.len() + 4) as u32;
        for word in [batch, length, count] {
            output.write_all(&word.to_le_bytes())?;
        }
        output.write_all(&self.records)?;
        output.write_all(&self.tail)?;
        self.records.clear();
        self.tail.clear();
        output.flush()
    }

    fn start_attempt(&mut self, instance: u32, request: RequestId, server: ServerId, timeout: u64) {
        let (request, timeout) = (request.0.to_le_bytes(), timeout.to_le_bytes());
        let server = server.0.to_le_bytes();
        self.record(
            code::START_ATTEMPT,
            instance,
            &[&request, &timeout, &server],
        );
    }

    fn record(&mut self, code: u8, instance: u32, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_BYTES;
        self.records.push(code);
        self.records.extend_from_slice(&instance.to_le_bytes());
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(end, 0);
    }

    /// Appends bytes to the tail; returns their offset and length in the encoding by which records refer to them.
    fn append_to_tail(&mut self, bytes: &[u8]) -> [u8; 8] {
        let location = (self.tail.len() as u64) | (bytes.len() as u64) << 32;
        self.tail.extend_from_slice(bytes);
        location.to_le_bytes()
    }
}
