//! Names of attempts at servers, and the configured names that players use in their calls.
use crankpaddle_config::Config;
use crankpaddle_front::{AttemptId, OpenRequest};
use crankpaddle_server_protocol::sessions;
use crankpaddle_session_api::jsonrpc::{Error, INVALID_PARAMS};
use crankpaddle_session_api::messages::{Named, UnknownName};
use crankpaddle_session_api::methods;
use std::hash::{BuildHasher, DefaultHasher, Hash, Hasher, RandomState};
use std::time::Duration;

/// Names attempts so that nobody who knows one can guess another: with a session's name its media can be
/// fetched.
pub(crate) struct AttemptNames {
    hash_key: RandomState,
    front: String,
}

impl AttemptNames {
    /// `front`: the front's name at servers, the same in all its incarnations; where there is none, one is
    /// drawn.
    pub(crate) fn new(front: Option<String>) -> AttemptNames {
        let hash_key = RandomState::new();
        let front = front.unwrap_or_else(|| format!("f{:016x}", hash_key.hash_one("front")));
        AttemptNames { hash_key, front }
    }

    /// The front's name, by which servers address their events; without a store it is this incarnation's.
    pub(crate) fn front(&self) -> &str {
        &self.front
    }

    /// An attempt's name at its server.
    pub(crate) fn attempt(&self, attempt: AttemptId) -> String {
        let hash = self.hash_key.hash_one(attempt.0);
        format!("{hash:016x}-{:x}", attempt.0)
    }

    /// The attempt of a name; `None` where this incarnation of the front did not give it.
    pub(crate) fn attempt_of(&self, name: &str) -> Option<AttemptId> {
        let (_, digits) = name.split_once('-')?;
        let attempt = AttemptId(u64::from_str_radix(digits, 16).ok()?);
        (self.attempt(attempt) == name).then_some(attempt)
    }
}

/// The number of a tenant that a call names; where none is configured, none need be named.
///
/// # Errors
/// No such tenant is configured, or none is named and there are some.
pub(crate) fn tenant(config: &Config, name: Option<&str>) -> Result<u16, Error> {
    let Some(name) = name else {
        if config.tenants.is_empty() {
            return Ok(0);
        }
        return Err(unknown_name(Named::Tenant, ""));
    };
    let index = config.tenants.iter().position(|tenant| tenant == name);
    let index = index.ok_or_else(|| unknown_name(Named::Tenant, name))?;
    Ok(index as u16)
}

/// A player's request in the core's terms.
///
/// # Errors
/// It names a title, class or tenant that is not configured.
pub(crate) fn open_request(config: &Config, open: methods::Open) -> Result<OpenRequest, Error> {
    let title = config
        .titles
        .get(&open.title)
        .ok_or_else(|| unknown_name(Named::Title, &open.title))?;
    let class = config.classes.iter().position(|class| *class == open.class);
    let class = class.ok_or_else(|| unknown_name(Named::Class, &open.class))?;
    Ok(OpenRequest {
        tenant: tenant(config, open.tenant.as_deref())?,
        viewer: viewer_number(open.viewer.as_deref().unwrap_or(&open.key)),
        class: class as u8,
        title: title.number,
        first_cell: title.first_cell,
        cell_count: title.copies,
        max_rung: open.top.unwrap_or(u8::MAX),
        max_wait: open.give_up_ms.map_or(Duration::MAX, Duration::from_millis),
        duration_hint: open.hint_ms.map(Duration::from_millis),
        is_retry: open.again,
        is_migration: false, // The core knows by the key.
        // Neither the core nor a disk needs what the player alone may know.
        key: sessions::bill(&open.key),
    })
}

/// The same number for the same viewer at every front, so the hash has no key.
fn viewer_number(viewer: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    viewer.hash(&mut hasher);
    hasher.finish()
}

fn unknown_name(field: Named, name: &str) -> Error {
    let kind = match field {
        Named::Title => "title",
        Named::Class => "class",
        Named::Tenant => "tenant",
    };
    Error {
        code: INVALID_PARAMS,
        message: format!("no {kind} {name:?} here"),
        data: serde_json::to_value(UnknownName { field }).ok(),
    }
}
