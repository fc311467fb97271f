//! The directory's list in the module's terms.
use super::*;

impl Hub {
    pub(super) fn list(&mut self, list: List, kind: RosterKind) {
        let now = clock::now();
        let mut listings = Vec::new();
        let mut listed: BTreeMap<ServerId, Entry> = BTreeMap::new();
        for entry in list.entries {
            let id = server_id(&entry.name);
            if listed.contains_key(&id) {
                tracing::error!(server = entry.name, "two servers of one id in the list");
                continue;
            }
            listed.insert(id, entry);
        }
        let old = std::mem::take(&mut self.listings);
        for (id, entry) in old.iter().filter(|(id, _)| !listed.contains_key(id)) {
            listings.push(Listing { phase: Phase::Gone, ..self.listing(*id, entry) });
            self.unlisted(*id);
        }
        for (id, entry) in &listed {
            let before = old.get(id);
            if before == Some(entry) && kind == RosterKind::Delta {
                continue;
            }
            listings.push(self.listing(*id, entry));
            if before.is_some_and(|b| b.address != entry.address || b.started_ms < entry.started_ms) {
                self.unlisted(*id); // Another life: what ran in the one before is no more.
            }
            let note_every = self.shared.config.fleet.settings.note_every;
            let server = self.servers.entry(*id).or_insert_with(|| Server {
                address: entry.address,
                listed: true,
                health: Health::new(now, note_every),
                links: Vec::new(),
                held: HashMap::new(),
                standing: 0,
                abandoned: HashMap::new(),
                unsent: VecDeque::new(),
            });
            (server.address, server.listed) = (entry.address, true);
        }
        self.listings = listed;
        if !listings.is_empty() {
            self.tell_core(Input::Roster(kind, listings));
        }
    }

    /// The server of this name, if the list has it.
    pub(super) fn listed(&self, name: &str) -> Option<ServerId> {
        let id = server_id(name);
        self.listings.get(&id).filter(|entry| entry.name == name).map(|_| id)
    }

    fn listing(&self, server: ServerId, entry: &Entry) -> Listing {
        let fleet = &self.shared.config.fleet;
        let index = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0);
        Listing {
            server,
            zone: index(&fleet.zones, &entry.zone) as u8,
            kind: index(&fleet.kinds, &entry.kind) as u16,
            cell: entry.cell,
            phase: match entry.state {
                State::Ready => Phase::Ready,
                State::Draining => Phase::Draining,
            },
            weight: entry.weight,
            since: Time(entry.started_ms.saturating_mul(MILLISECOND)),
        }
    }

    /// A server is not in the list any more. Its links go on while something stands there, but a new connection to its
    /// address may meet another server, so none is made.
    fn unlisted(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.listed = false;
        if server.links.is_empty() {
            self.lose(id);
        }
    }
}

/// A server's number: its id is 8 hex digits behind a dash; any other id is hashed, alike at every front.
fn server_id(name: &str) -> ServerId {
    let digits = name.rsplit('-').next().filter(|d| d.len() == 8);
    let number = digits.and_then(|d| u32::from_str_radix(d, 16).ok());
    ServerId(number.unwrap_or_else(|| {
        name.bytes().fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
    }))
}
