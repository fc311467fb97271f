//! What becomes of paid set-ups that a former life left open, and of sessions that servers still hold for it.
//!
//! Each server on the list is asked for its book: which of this front's sessions it holds, and which bills it ran. Danger: a set-up
//! that is still on its way may run after the book was read. Covered: an attempt that the book does not have is ended by its name
//! (a server refuses a set-up that comes after its end), and the book is read once more; only then it never ran. A book that does
//! not reach back to the life of the server that the attempt was sent to proves nothing, and the key counts as run.
use crate::intents::{Intent, IntentOutcome, Key};
use std::collections::{BTreeMap, BTreeSet};

/// A session that a server holds for this front.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct InventorySession {
    /// Its name there.
    pub name: String,
    /// Whose it is and what it is billed under.
    pub key: Key,
    /// Class by name.
    pub class: String,
    /// Title by name.
    pub title: String,
    /// The rung in force.
    pub rung: u8,
}

/// A server's word on one front.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct SessionInventory {
    /// Lives of the server that the book reaches over without a gap, the present one last.
    pub incarnations: Vec<String>,
    /// Sessions that it holds.
    pub sessions: Vec<InventorySession>,
    /// Names of set-ups that it works on.
    pub in_progress: Vec<String>,
    /// Paid keys that it ran in those lives, held or not.
    pub completed: Vec<Key>,
}

/// What a book proves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The session plays at this server: it is taken up, and waits for its viewer.
    Adopt(u32, InventorySession),
    /// The session plays at this server, and its viewer was told already that it failed: it is ended.
    TearDown(u32, String),
    /// The key's session ran and is over.
    Completed(Key),
    /// It may have run, and nobody can say any more that it did not.
    Unprovable(Key),
    /// It never ran, and never will.
    NeverRan(Key),
}

/// What is to be asked of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReconciliationStep {
    /// Ask for its book.
    RequestInventory(u32),
    /// End the attempt of this name there, then ask for the book again.
    Fence(u32, String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Asked {
    UnderWay,
    Told,
    OutOfReach,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Open {
    key: Key,
    server: u32,
    boot: String,
    plays: bool,
    fenced: bool,
    given_up: bool, // Its viewer is told that it failed; a book may still tell more.
}

/// Settles what former lives left open.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Reconciliation {
    open: BTreeMap<String, Open>, // By the attempt's name.
    servers: BTreeMap<u32, Asked>,
    fencing: BTreeMap<u32, BTreeSet<String>>, // Ends under way.
}

impl Reconciliation {
    /// Of what was kept.
    pub fn new(past: &[(Key, Intent)]) -> Reconciliation {
        let left = past.iter().filter(|(_, i)| {
            matches!(
                i.outcome,
                IntentOutcome::InFlight | IntentOutcome::Established
            )
        });
        let open = left.map(|(key, i)| {
            let (key, server, boot) = (key.clone(), i.server, i.server_incarnation.clone());
            let plays = i.outcome == IntentOutcome::Established;
            (
                i.attempt_name.clone(),
                Open {
                    key,
                    server,
                    boot,
                    plays,
                    fenced: false,
                    given_up: false,
                },
            )
        });
        Reconciliation {
            open: open.collect(),
            ..Reconciliation::default()
        }
    }

    /// Attempts of former lives of which nobody has told what became.
    pub fn unresolved_count(&self) -> usize {
        self.open.len()
    }

    /// Servers that told, that are out of reach, and that are being asked.
    pub fn counts(&self) -> (usize, usize, usize) {
        let count = |of| self.servers.values().filter(|a| **a == of).count();
        (
            count(Asked::Told),
            count(Asked::OutOfReach),
            count(Asked::UnderWay),
        )
    }

    /// Whether each server that is listed told all it was asked, or can't be reached.
    pub fn is_complete(&self) -> bool {
        self.fencing.is_empty() && !self.servers.values().any(|a| *a == Asked::UnderWay)
    }

    /// These servers are listed.
    pub fn update_servers(
        &mut self,
        servers: impl IntoIterator<Item = u32>,
    ) -> Vec<ReconciliationStep> {
        let mut steps = Vec::new();
        for server in servers {
            self.servers.entry(server).or_insert_with(|| {
                steps.push(ReconciliationStep::RequestInventory(server));
                Asked::UnderWay
            });
        }
        steps
    }

    /// A server can't be reached, or does not tell.
    pub fn server_unreachable(&mut self, server: u32) {
        self.fencing.remove(&server);
        if let Some(asked) = self
            .servers
            .get_mut(&server)
            .filter(|a| **a == Asked::UnderWay)
        {
            *asked = Asked::OutOfReach;
        }
    }

    /// A server that was out of reach is there: it is asked after all.
    pub fn server_reachable(&mut self, server: u32) -> Option<ReconciliationStep> {
        let asked = self
            .servers
            .get_mut(&server)
            .filter(|a| **a == Asked::OutOfReach)?;
        *asked = Asked::UnderWay;
        Some(ReconciliationStep::RequestInventory(server))
    }

    /// What is open still counts as run from now on: its viewers do not wait any longer. Gives those keys.
    pub fn time_out(&mut self) -> Vec<Key> {
        let left = self.open.values_mut().filter(|o| !o.given_up);
        left.map(|o| {
            o.given_up = true;
            o.key.clone()
        })
        .collect()
    }

    /// An attempt was ended at its server, so that it can't run any more. `None`: more ends are awaited there.
    pub fn fence_confirmed(&mut self, server: u32, name: &str) -> Option<ReconciliationStep> {
        if let Some(open) = self.open.get_mut(name) {
            open.fenced = true;
        }
        let left = self.fencing.get_mut(&server)?;
        left.remove(name);
        if !left.is_empty() {
            return None;
        }
        self.fencing.remove(&server);
        Some(ReconciliationStep::RequestInventory(server))
    }

    /// A server told its book. `own`: whether this life of the front gave a name; such sessions are none of the past's.
    pub fn receive_inventory(
        &mut self,
        server: u32,
        book: &SessionInventory,
        own: impl Fn(&str) -> bool,
    ) -> (Vec<Resolution>, Vec<ReconciliationStep>) {
        let (mut verdicts, mut steps) = (Vec::new(), Vec::new());
        let ran: BTreeSet<&Key> = book.completed.iter().collect();
        let mut told: BTreeSet<Key> = BTreeSet::new();
        for held in book.sessions.iter().filter(|h| !own(&h.name)) {
            let given_up = self.open.remove(&held.name).is_some_and(|o| o.given_up);
            told.insert(held.key.clone());
            verdicts.push(if given_up {
                Resolution::TearDown(server, held.name.clone())
            } else {
                Resolution::Adopt(server, held.clone())
            });
        }
        // Danger: a disk that was lost does not know of a set-up that a server still works on; it would run after this look, and its key
        // be sold again. It is ended, or has run by the next look.
        for name in book
            .in_progress
            .iter()
            .filter(|name| !own(name) && !self.open.contains_key(*name))
        {
            self.fencing.entry(server).or_default().insert(name.clone());
            steps.push(ReconciliationStep::Fence(server, name.clone()));
        }
        let names: Vec<String> = self
            .open
            .iter()
            .filter(|(_, o)| o.server == server)
            .map(|(n, _)| n.clone())
            .collect();
        for name in names {
            let open = &self.open[&name];
            let known = !open.boot.is_empty() && book.incarnations.contains(&open.boot);
            let verdict = if open.plays {
                Resolution::Completed(open.key.clone())
            } else if ran.contains(&open.key) || !known {
                Resolution::Unprovable(open.key.clone())
            } else if open.fenced {
                Resolution::NeverRan(open.key.clone())
            } else {
                self.fencing.entry(server).or_default().insert(name.clone());
                steps.push(ReconciliationStep::Fence(server, name));
                continue;
            };
            told.insert(open.key.clone());
            self.open.remove(&name);
            verdicts.push(verdict);
        }
        // Danger: the disk may have lost its last words, or all. What a server ran is not set up again, whatever was kept.
        let waits = |key: &Key| self.open.values().any(|o| o.key == *key);
        let unheard = book
            .completed
            .iter()
            .filter(|key| !told.contains(*key) && !waits(key))
            .cloned();
        verdicts.extend(unheard.map(Resolution::Completed));
        if steps.is_empty() {
            self.servers.insert(server, Asked::Told);
        }
        (verdicts, steps)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn key(n: u32) -> Key {
        Key {
            tenant: String::new(),
            bill: format!("b{n}"),
        }
    }

    fn left(n: u32, server: u32, fate: IntentOutcome) -> (Key, Intent) {
        let (class, name, boot) = ("paid".to_owned(), format!("n{n}"), "4".to_owned());
        (
            key(n),
            Intent {
                class,
                server,
                attempt_name: name,
                server_incarnation: boot,
                outcome: fate,
                retained_until: u64::MAX,
            },
        )
    }

    fn book(boots: &[&str], held: &[u32], ran: &[u32]) -> SessionInventory {
        let held = held.iter().map(|n| InventorySession {
            name: format!("n{n}"),
            key: key(*n),
            ..InventorySession::default()
        });
        SessionInventory {
            incarnations: boots.iter().map(|b| (*b).to_owned()).collect(),
            sessions: held.collect(),
            completed: ran.iter().map(|n| key(*n)).collect(),
            in_progress: Vec::new(),
        }
    }

    fn none(_: &str) -> bool {
        false
    }

    #[test]
    fn never_ran_is_proven_only_after_the_end_and_a_second_look() {
        let mut s = Reconciliation::new(&[left(1, 7, IntentOutcome::InFlight)]);
        assert_eq!(
            s.update_servers([7]),
            [ReconciliationStep::RequestInventory(7)]
        );
        let empty = book(&["4"], &[], &[]);
        assert_eq!(
            s.receive_inventory(7, &empty, none),
            (vec![], vec![ReconciliationStep::Fence(7, "n1".into())])
        );
        assert!(!s.is_complete());
        assert_eq!(
            s.fence_confirmed(7, "n1"),
            Some(ReconciliationStep::RequestInventory(7))
        );
        assert_eq!(
            s.receive_inventory(7, &empty, none).0,
            [Resolution::NeverRan(key(1))]
        );
        assert!(s.is_complete() && s.unresolved_count() == 0);
    }

    #[test]
    fn what_ran_between_the_two_looks_has_run() {
        let mut s = Reconciliation::new(&[left(1, 7, IntentOutcome::InFlight)]);
        s.update_servers([7]);
        s.receive_inventory(7, &book(&["4"], &[], &[]), none);
        s.fence_confirmed(7, "n1");
        assert_eq!(
            s.receive_inventory(7, &book(&["4"], &[], &[1]), none).0,
            [Resolution::Unprovable(key(1))]
        );
    }

    #[test]
    fn a_book_that_does_not_reach_back_proves_nothing() {
        for boots in [&["5"][..], &[]] {
            let mut s = Reconciliation::new(&[left(1, 7, IntentOutcome::InFlight)]);
            s.update_servers([7]);
            assert_eq!(
                s.receive_inventory(7, &book(boots, &[], &[]), none).0,
                [Resolution::Unprovable(key(1))]
            );
        }
        let mut s = Reconciliation::new(&[left(1, 7, IntentOutcome::InFlight)]);
        assert!(
            matches!(
                s.receive_inventory(7, &book(&["4", "5"], &[], &[]), none).1[..],
                [ReconciliationStep::Fence(..)]
            ),
            "it reaches over both"
        );
    }

    #[test]
    fn what_is_held_is_taken_up_and_what_is_over_is_spent() {
        let mut s = Reconciliation::new(&[
            left(1, 7, IntentOutcome::InFlight),
            left(2, 7, IntentOutcome::Established),
            left(3, 8, IntentOutcome::Established),
        ]);
        s.update_servers([7, 8]);
        let (verdicts, _) = s.receive_inventory(7, &book(&["4"], &[1, 9], &[1]), none);
        let adopted = |v: &Resolution| {
            if let Resolution::Adopt(7, held) = v {
                Some(held.name.clone())
            } else {
                None
            }
        };
        assert_eq!(
            verdicts.iter().filter_map(adopted).collect::<Vec<_>>(),
            ["n1", "n9"]
        );
        assert!(verdicts.contains(&Resolution::Completed(key(2))) && verdicts.len() == 3);
        assert_eq!(s.unresolved_count(), 1, "the one at the other server");
    }

    #[test]
    fn sessions_of_this_life_are_left_alone() {
        let mut s = Reconciliation::new(&[]);
        assert_eq!(
            s.receive_inventory(7, &book(&["4"], &[1], &[]), |name| name == "n1")
                .0,
            []
        );
    }

    #[test]
    fn a_lost_disk_is_made_good_by_what_servers_ran() {
        let mut s = Reconciliation::new(&[]);
        s.update_servers([7]);
        assert_eq!(
            s.receive_inventory(7, &book(&["4"], &[], &[1, 2]), none).0,
            [Resolution::Completed(key(1)), Resolution::Completed(key(2))]
        );
    }

    #[test]
    fn a_set_up_under_way_that_nobody_remembers_is_ended_before_anything_is_served() {
        let mut s = Reconciliation::new(&[]);
        s.update_servers([7]);
        let works = SessionInventory {
            in_progress: vec!["n5".into()],
            ..book(&["4"], &[], &[])
        };
        assert_eq!(
            s.receive_inventory(7, &works, none),
            (vec![], vec![ReconciliationStep::Fence(7, "n5".into())])
        );
        assert!(!s.is_complete());
        assert_eq!(
            s.fence_confirmed(7, "n5"),
            Some(ReconciliationStep::RequestInventory(7))
        );
        assert_eq!(
            s.receive_inventory(7, &book(&["4"], &[], &[5]), none).0,
            [Resolution::Completed(key(5))],
            "it ran meanwhile"
        );
        assert!(s.is_complete());
    }

    #[test]
    fn a_server_out_of_reach_holds_nobody_up_and_is_asked_when_it_is_back() {
        let mut s = Reconciliation::new(&[left(1, 7, IntentOutcome::InFlight)]);
        s.update_servers([7, 8]);
        s.receive_inventory(8, &book(&["1"], &[], &[]), none);
        assert!(!s.is_complete());
        s.server_unreachable(7);
        assert!(s.is_complete() && s.counts() == (1, 1, 0));
        assert_eq!(s.time_out(), [key(1)]);
        assert_eq!(s.time_out(), [], "said once");
        assert_eq!(
            (
                s.server_reachable(7),
                s.server_reachable(7),
                s.server_reachable(8)
            ),
            (Some(ReconciliationStep::RequestInventory(7)), None, None)
        );
        // Its viewer was told that it failed, so nobody comes for it.
        assert_eq!(
            s.receive_inventory(7, &book(&["4"], &[1], &[1]), none).0,
            [Resolution::TearDown(7, "n1".into())]
        );
    }

    #[test]
    fn a_bill_of_one_server_does_not_decide_on_an_attempt_at_another() {
        // The first attempt never ran at 8, by its own word; the second is open at 7. What 8 ran under this key was before.
        let mut s = Reconciliation::new(&[left(1, 7, IntentOutcome::InFlight)]);
        s.update_servers([7, 8]);
        assert_eq!(
            s.receive_inventory(8, &book(&["4"], &[], &[1]), none).0,
            [],
            "7 is still to tell"
        );
        s.receive_inventory(7, &book(&["4"], &[], &[]), none);
        s.fence_confirmed(7, "n1");
        let (verdicts, _) = s.receive_inventory(7, &book(&["4"], &[], &[]), none);
        assert_eq!(verdicts, [Resolution::NeverRan(key(1))]);
    }
}
