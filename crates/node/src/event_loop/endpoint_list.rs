//! The directory's list in the module's terms.
use super::{
    clock, BTreeMap, Endpoint, EndpointListKind, Entry, EventLoop, HashMap, Health, Input,
    Lifecycle, List, Server, ServerId, State, Time, VecDeque, MILLISECOND,
};

impl EventLoop {
    pub(super) fn list(&mut self, list: List, kind: EndpointListKind) {
        let now = clock::now();
        let (mut listings, mut strange) = (Vec::new(), Vec::new());
        let mut listed: BTreeMap<ServerId, Entry> = BTreeMap::new();
        for entry in list.entries {
            let id = server_id(&entry.name);
            if let Err(field) = self.listing(id, &entry) {
                strange.push((entry.name, field));
                continue;
            }
            if listed.contains_key(&id) {
                tracing::error!(server = entry.name, "two servers of one id in the list");
                continue;
            }
            listed.insert(id, entry);
        }
        if !self.is_ours(&strange, listed.is_empty()) {
            return;
        }
        let old = std::mem::take(&mut self.listings);
        for (id, entry) in old.iter().filter(|(id, _)| !listed.contains_key(id)) {
            listings.extend(self.listing(*id, entry).map(|l| Endpoint {
                lifecycle: Lifecycle::Removed,
                ..l
            }));
            self.unlisted(*id);
        }
        for (id, entry) in &listed {
            let before = old.get(id);
            if before == Some(entry) && kind == EndpointListKind::Delta {
                continue;
            }
            listings.extend(self.listing(*id, entry));
            let elsewhere = before.is_some_and(|b| b.address != entry.address);
            if elsewhere || before.is_some_and(|b| b.started_ms < entry.started_ms) {
                self.another_life(*id, entry.started_ms.saturating_mul(MILLISECOND), elsewhere);
            }
            let note_every = self.shared.config.fleet.settings.update_interval;
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
        let drains = listings
            .iter()
            .filter(|l| l.lifecycle == Lifecycle::Draining)
            .map(|l| l.server);
        let drains: Vec<ServerId> = drains.collect();
        if !listings.is_empty() {
            self.tell_core(Input::EndpointList(kind, listings));
        }
        drains.into_iter().for_each(|id| self.waits_no_more(id));
    }

    /// The server of this name, if the list has it.
    pub(super) fn listed(&self, name: &str) -> Option<ServerId> {
        let id = server_id(name);
        self.listings
            .get(&id)
            .filter(|entry| entry.name == name)
            .map(|_| id)
    }

    /// Whether a list may be ours; `strange`: servers in it that do not fit our settings, with the field, `alone`: it has no others.
    ///
    /// Danger: taken for the first that the settings name, what belongs to another deployment would be counted and sent to as
    /// ours; and a list of nothing but such servers, as of a directory that is not ours, would end all that we hold. Harm: a
    /// server that is listed with a zone or kind that the settings lack takes no part until they name it.
    fn is_ours(&mut self, strange: &[(String, &'static str)], alone: bool) -> bool {
        let refused = alone && !strange.is_empty() && !self.listings.is_empty();
        let news = self.strange.as_slice() != strange;
        for (server, field) in strange.iter().filter(|_| news) {
            tracing::error!(
                server,
                field,
                "a listed server does not fit the settings and is left out"
            );
        }
        if news && refused {
            tracing::error!(
                "no server in the list fits the settings: it is another deployment's; the one in force stays"
            );
        }
        self.strange = strange.to_vec();
        !refused
    }

    /// A server in the module's terms, or the field that the settings do not know.
    fn listing(&self, server: ServerId, entry: &Entry) -> Result<Endpoint, &'static str> {
        let fleet = &self.shared.config.fleet;
        // A deployment that names none has one.
        let index = |names: &[String], name: &str| match names.iter().position(|n| n == name) {
            None if names.is_empty() => Some(0),
            found => found,
        };
        Ok(Endpoint {
            server,
            zone: index(&fleet.zones, &entry.zone).ok_or("zone")? as u8,
            kind: index(&fleet.kinds, &entry.kind).ok_or("kind")? as u16,
            cell: Some(entry.cell)
                .filter(|c| u32::from(*c) < fleet.settings.cells)
                .ok_or("cell")?,
            lifecycle: match entry.state {
                State::Ready => Lifecycle::Ready,
                State::Draining => Lifecycle::Draining,
            },
            weight: entry.weight,
            started_at: Time(entry.started_ms.saturating_mul(MILLISECOND)),
        })
    }

    /// A server is not in the list any more. Its links go on while something stands there, but a new connection to its
    /// address may meet another server, so none is made.
    fn unlisted(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.listed = false;
        self.stop_connecting(id);
        if self
            .servers
            .get(&id)
            .is_some_and(|server| server.links.is_empty())
        {
            self.lose(id);
        }
    }
}

/// A server's number: its id is 8 hex digits behind a dash; any other id is hashed, alike at every front.
fn server_id(name: &str) -> ServerId {
    let digits = name.rsplit('-').next().filter(|d| d.len() == 8);
    let number = digits.and_then(|d| u32::from_str_radix(d, 16).ok());
    ServerId(number.unwrap_or_else(|| {
        name.bytes().fold(0x811c_9dc5, |h, b| {
            (h ^ u32::from(b)).wrapping_mul(0x0100_0193)
        })
    }))
}
