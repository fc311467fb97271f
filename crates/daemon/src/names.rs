//! Names of attempts at servers, and the lookup of configured names that players use in their calls.
use crate::config_lookup::index_of;
use crankpaddle_config::Config;
use crankpaddle_front::{AttemptId, OpenRequest};
use crankpaddle_server_protocol::sessions;
use crankpaddle_session_api::jsonrpc::{Error, INVALID_PARAMS};
use crankpaddle_session_api::messages::{Named, UnknownName};
use crankpaddle_session_api::methods;
use std::hash::{BuildHasher, DefaultHasher, Hash, Hasher, RandomState};
use std::time::Duration;

/// Gives each attempt its name at the server. Names contain a keyed hash, so that none can be guessed from another:
/// whoever knows a session's name can fetch its media.
pub(crate) struct AttemptNames {
    hash_key: RandomState,
    /// The front's name at servers.
    front: String,
}

impl AttemptNames {
    /// Creates the names for a front. `front` is its name at servers, the same in all its incarnations; if it is
    /// `None`, this incarnation gets a random name.
    pub(crate) fn new(front: Option<String>) -> AttemptNames {
        let hash_key = RandomState::new();
        let front = front.unwrap_or_else(|| format!("f{:016x}", hash_key.hash_one("front")));
        AttemptNames { hash_key, front }
    }

    /// The front's name at servers, which selects the events that they send to it. Without a store it is valid for this
    /// incarnation only.
    pub(crate) fn front_name(&self) -> &str {
        &self.front
    }

    /// An attempt's name at its server.
    pub(crate) fn attempt_name(&self, attempt: AttemptId) -> String {
        let hash = self.hash_key.hash_one(attempt.0);
        format!("{hash:016x}-{:x}", attempt.0)
    }

    /// The attempt of a name; `None` if this incarnation of the front did not create the name.
    pub(crate) fn attempt_of(&self, name: &str) -> Option<AttemptId> {
        let (_, digits) = name.split_once('-')?;
        let attempt = AttemptId(u64::from_str_radix(digits, 16).ok()?);
        (self.attempt_name(attempt) == name).then_some(attempt)
    }
}

/// The number of the tenant that a call names. A call need not name one if no tenant is configured.
///
/// # Errors
/// The tenant is not configured, or the call names none although tenants are configured.
pub(crate) fn tenant(config: &Config, name: Option<&str>) -> Result<u16, Error> {
    let Some(name) = name else {
        if config.tenants.is_empty() {
            return Ok(0);
        }
        return Err(unknown_name(Named::Tenant, ""));
    };
    match index_of(&config.tenants, name) {
        Some(index) => Ok(index as u16),
        None => Err(unknown_name(Named::Tenant, name)),
    }
}

/// Converts a player's request to the core's request.
///
/// # Errors
/// It names a title, class or tenant that is not configured.
pub(crate) fn open_request(config: &Config, open: methods::Open) -> Result<OpenRequest, Error> {
    let title = config
        .titles
        .get(&open.title)
        .ok_or_else(|| unknown_name(Named::Title, &open.title))?;
    let class = index_of(&config.classes, &open.class);
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
        is_migration: false, // The core detects a migration by the key.
        // A digest is passed on, because the key itself gives access to the session and neither the core nor the store
        // needs it.
        key: sessions::billing_key(&open.key),
    })
}

/// Hashes a viewer's name to a number. The hash has no random key, so that all fronts compute the same number.
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
