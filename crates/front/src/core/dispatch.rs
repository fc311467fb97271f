//! Dispatch of inputs to their handlers.
use super::Core;
use crate::input::Input;
use crate::output::Output;
use crankpaddle::{AttemptOutcome, CrossZonePolicy, Event, LoadReport, ServerId, Time};

impl Core {
    /// Handles `input` at `now` and appends to `out` the outputs that do not depend on the policy: answers to requests
    /// whose servers have answered, ends of sessions, and withdrawals. The caller carries them out, handles the other
    /// inputs that are ready, and then calls [`Core::decide`]. Between an input and its decision it may only pass
    /// further inputs to the core.
    ///
    /// The separation from the policy shortens the time until an answer is sent. If an answer waited until the policy
    /// had processed this event and those before it (sizing, promotions), it could reach a viewer that has just left:
    /// on a small share of a CPU, some tens of microseconds become half a millisecond. The same applies to ends of
    /// sessions. The disadvantage is that the policy handles no input of a batch before the whole batch was received.
    pub fn handle_input(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.now = now;
        self.dispatch(input, out);
    }

    fn dispatch(&mut self, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Open {
                call,
                request,
                received_at,
            } => self.open_received(call, request, received_at, out),
            Input::Resume { call, tenant, key } => self.resume(call, tenant, key, out),
            Input::Close { call, session } => self.close(call, session, out),
            Input::AdoptSession {
                player,
                open,
                server,
            } => self.adopt(player, open, server, out),
            Input::PlayerLeft(player) => self.leave(player, out),
            Input::PlayerDisconnected(player) => self.player_disconnected(player),
            Input::EndpointList(kind, list) => self.emit(Event::EndpointList(kind, list)),
            Input::SetUpCompleted(id, result) => self.set_up_completed(id, result, out),
            Input::SendStateChanged(id, state) => self.send_state_changed(id, state),
            Input::SessionUpdated(id, update) => self.session_updated(id, update),
            Input::SessionEnded(id, outcome, report) => self.end_session(id, outcome, report, out),
            Input::CrossZonePolicyChanged {
                zone,
                class,
                policy,
            } => self.cross_zone_policy_changed(zone, class, policy),
            Input::RateCapChanged(id, cap) => self.rate_cap_changed(id, cap),
            Input::HealthCheckCompleted(server, outcome, report) => {
                self.health_check_completed(server, outcome, report);
            }
            Input::FleetSizeChanged(known_fronts) => self.fleet_size_changed(known_fronts),
            Input::EndpointsKnown => self.endpoints_known(out),
            Input::ReconciliationCompleted => self.reconciliation_completed(out),
            Input::ServiceResumed => self.serve_queued(out),
            Input::KeyUnresolved { tenant, key } => self.key_unresolved(tenant, key),
            Input::KeyResolved {
                tenant,
                key,
                class,
                outcome,
            } => self.key_resolved(tenant, key, class, outcome),
            Input::SessionFound {
                token,
                open,
                server,
            } => self.session_found(token, open, server, out),
            Input::Drain => self.draining = true,
            Input::Stop => self.stop(out),
        }
    }

    fn cross_zone_policy_changed(&mut self, zone: u8, class: u8, policy: CrossZonePolicy) {
        match policy {
            CrossZonePolicy::Forbidden => {
                self.cross_zone_forbidden.insert((zone, class));
            }
            CrossZonePolicy::Allowed | CrossZonePolicy::LastResort => {
                self.cross_zone_forbidden.remove(&(zone, class));
            }
        }
        self.emit(Event::CrossZonePolicyChanged {
            zone,
            class,
            policy,
        });
    }

    fn health_check_completed(
        &mut self,
        server: ServerId,
        outcome: AttemptOutcome,
        report: LoadReport,
    ) {
        self.emit(Event::HealthCheckCompleted {
            server,
            outcome,
            report,
        });
    }
}
