//! Names of sessions at servers and on the players' wire.
use crankpaddle_config::Config;
use crankpaddle_front::{AttemptId, OpenRequest};
use crankpaddle_server_protocol::sessions;
use crankpaddle_session_api::jsonrpc::{Error, INVALID_PARAMS};
use crankpaddle_session_api::messages::{Named, UnknownName};
use crankpaddle_session_api::methods;
use std::hash::{BuildHasher, DefaultHasher, Hash, Hasher, RandomState};

/// Names attempts so that nobody who knows one can guess another: with a session's name its media can be fetched.
pub(crate) struct Names {
    keyed: RandomState,
    front: String,
}

impl Names {
    /// `front`: the same in all lives; where there is none, one is drawn.
    pub(crate) fn new(front: Option<String>) -> Names {
        let keyed = RandomState::new();
        let front = front.unwrap_or_else(|| format!("f{:016x}", keyed.hash_one("front")));
        Names { keyed, front }
    }

    /// This front, under which servers send it notes; without a store, this life of it.
    pub(crate) fn front(&self) -> &str {
        &self.front
    }

    /// An attempt's name at its server.
    pub(crate) fn attempt(&self, attempt: AttemptId) -> String {
        format!("{:016x}-{:x}", self.keyed.hash_one(attempt.0), attempt.0)
    }

    /// The attempt that a name stands for; `None` where this life of the front never gave it.
    pub(crate) fn attempt_of(&self, name: &str) -> Option<AttemptId> {
        let number = u64::from_str_radix(name.split_once('-')?.1, 16).ok()?;
        Some(AttemptId(number)).filter(|attempt| self.attempt(*attempt) == name)
    }
}

fn unknown(field: Named, name: &str) -> Error {
    let data = serde_json::to_value(UnknownName { field }).ok();
    let what = match field {
        Named::Title => "title",
        Named::Class => "class",
        Named::Tenant => "tenant",
    };
    Error {
        code: INVALID_PARAMS,
        message: format!("no {what} {name:?} here"),
        data,
    }
}

/// The tenant's number.
pub(crate) fn tenant(config: &Config, name: Option<&str>) -> Result<u16, Error> {
    match (config.tenants.is_empty(), name) {
        (true, None) => Ok(0),
        (_, Some(name)) => {
            let number = config.tenants.iter().position(|t| t == name);
            number
                .map(|n| n as u16)
                .ok_or_else(|| unknown(Named::Tenant, name))
        }
        (false, None) => Err(unknown(Named::Tenant, "")),
    }
}

/// A request in the core's terms.
pub(crate) fn open(config: &Config, open: methods::Open) -> Result<OpenRequest, Error> {
    let title = config
        .titles
        .get(&open.title)
        .ok_or_else(|| unknown(Named::Title, &open.title))?;
    let class = config.classes.iter().position(|c| *c == open.class);
    let class = class.ok_or_else(|| unknown(Named::Class, &open.class))?;
    let viewer = open.viewer.as_deref().unwrap_or(&open.key);
    let mut hasher = DefaultHasher::new(); // Not keyed: the same viewer is the same number at every front.
    viewer.hash(&mut hasher);
    let milliseconds = |ms: u64| ms.saturating_mul(1_000_000);
    Ok(OpenRequest {
        tenant: tenant(config, open.tenant.as_deref())?,
        viewer: hasher.finish(),
        class: class as u8,
        title: title.number,
        first_cell: title.first_cell,
        cell_count: title.copies,
        max_rung: open.top.unwrap_or(u8::MAX),
        max_wait: open.give_up_ms.map_or(u64::MAX, milliseconds),
        duration_hint: open.hint_ms.map(milliseconds),
        is_retry: open.again,
        is_migration: false, // The core knows by the key.
        // Neither the core nor a disk needs what the player alone may know.
        key: sessions::bill(&open.key),
    })
}
