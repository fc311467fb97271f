//! Converts the claims of a case from the generated types of the schema.
use super::{or_default, schema, Parser};
use crate::scenario::{CaseStep, Claim};
use crankpaddle_membership::{LocalHealth, MemberState};

impl Parser<'_, '_> {
    fn claim(&mut self, path: &str, name: &str, claim: Claim) -> CaseStep {
        self.checks.require(
            !name.is_empty(),
            path,
            "has no claim: the text by which its result is reported",
        );
        CaseStep::Claim {
            name: name.to_owned(),
            claim,
        }
    }

    pub(super) fn members_seen_as(&mut self, path: &str, raw: &schema::See) -> CaseStep {
        let claim = Claim::MembersSeenAs {
            viewers: self.fronts(&format!("{path}.at"), &raw.at),
            viewed: self.fronts(&format!("{path}.of"), &raw.of),
            state: self.member_state(path, raw.state()),
            bound: self.bound(path, raw.bound.as_ref()),
        };
        self.claim(path, &raw.claim, claim)
    }

    fn member_state(&mut self, path: &str, raw: schema::State) -> MemberState {
        match raw {
            schema::State::Alive => MemberState::Alive,
            schema::State::Suspect => MemberState::Suspect,
            schema::State::Gone => MemberState::Dead,
            schema::State::Left => MemberState::Left,
            schema::State::Unstated => {
                self.checks
                    .report_problem(path, "has no state: ALIVE, SUSPECT, GONE or LEFT");
                MemberState::Alive
            }
        }
    }

    pub(super) fn false_accusations(&mut self, path: &str, raw: &schema::Accused) -> CaseStep {
        let claim = Claim::FalseAccusations {
            accusers: self.fronts(&format!("{path}.by"), &raw.by),
            except: self.fronts(&format!("{path}.but"), or_default(&raw.but, "none")),
            max_accusations: raw.most,
            max_accusations_per_front: self.checks.number_in_range(
                &format!("{path}.a_front"),
                raw.a_front,
                0.0,
                1000.0,
            ),
        };
        self.claim(path, &raw.claim, claim)
    }

    pub(super) fn local_health(&mut self, path: &str, raw: &schema::Stands) -> CaseStep {
        let health = match raw.r#as() {
            schema::Standing::Alone => LocalHealth::Alone,
            schema::Standing::Connected => LocalHealth::Connected,
            schema::Standing::Doubtful => LocalHealth::Degraded,
            schema::Standing::CutOff => LocalHealth::Isolated,
            schema::Standing::Replaced => LocalHealth::Replaced,
            schema::Standing::Unknown => {
                self.checks.report_problem(
                    path,
                    "has no as: ALONE, CONNECTED, DOUBTFUL, CUT_OFF or REPLACED",
                );
                LocalHealth::Alone
            }
        };
        let claim = Claim::LocalHealth {
            fronts: self.fronts(&format!("{path}.at"), &raw.at),
            health,
            bound: self.bound(path, raw.bound.as_ref()),
        };
        self.claim(path, &raw.claim, claim)
    }

    pub(super) fn restarts_seen(&mut self, path: &str, raw: &schema::News) -> CaseStep {
        let claim = Claim::RestartsSeen {
            viewers: self.fronts(&format!("{path}.at"), &raw.at),
            restarted: self.fronts(&format!("{path}.of"), &raw.of),
            bound: self.bound(path, raw.bound.as_ref()),
        };
        self.claim(path, &raw.claim, claim)
    }

    pub(super) fn sessions_recovered(&mut self, path: &str, raw: &schema::Back) -> CaseStep {
        let claim = Claim::SessionsRecovered {
            paid: raw.paid,
            min_fraction: self
                .checks
                .number_in_range(&format!("{path}.part"), raw.part, 0.01, 1.0),
            bound: self.bound(path, raw.bound.as_ref()),
        };
        self.claim(path, &raw.claim, claim)
    }

    pub(super) fn entry_known(&mut self, path: &str, raw: &schema::Holds) -> CaseStep {
        let claim = Claim::EntryKnown {
            min_fraction: self.fraction(&format!("{path}.part"), raw.part),
            bound: self.bound(path, raw.bound.as_ref()),
            max_age_error: self.time(&format!("{path}.age_within"), &raw.age_within),
        };
        self.claim(path, &raw.claim, claim)
    }
}
