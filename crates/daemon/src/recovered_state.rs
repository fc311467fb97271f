//! Opens the store and returns the state that this front starts from, including its name at servers.
use crate::errors::StartError;
use crate::key_file;
use crankpaddle_config::Store as StoreConfig;
use crankpaddle_recovery::{ConservativeBound, PreviousShutdown, RecoveredState, StillValid};
use crankpaddle_server_protocol::sessions;
use crankpaddle_store::{OpenedStore, QuarantinedFile, Store, StoreError};
use std::time::Duration;

/// An opened store and the state that was recovered from it.
pub(crate) struct OpenedState {
    /// The front's name at servers, the same in all its incarnations.
    pub front_name: String,
    /// `None` if the disk fails, so that nothing can be written.
    pub store: Option<Store>,
    pub recovered: RecoveredState,
}

/// Opens the store. A failing disk is not an error: a front that did not start would serve no viewer at all. Without its
/// state, however, the front could set up a paid session a second time, so it requests inventories from servers and
/// rejects paid set-ups.
///
/// # Errors
/// The key can't be read, another process has the store open, or a later release wrote it.
pub(crate) fn open(config: &StoreConfig) -> Result<OpenedState, StartError> {
    open_with(config, |boot_id| Store::open(&config.dir, boot_id))
}

/// Like [`open`], but opens the store with `open_store`, whose argument identifies the host's boot.
pub(crate) fn open_with(
    config: &StoreConfig,
    open_store: impl FnOnce(&str) -> Result<OpenedStore, StoreError>,
) -> Result<OpenedState, StartError> {
    let key = key_file::read_key(&config.key_file)?;
    let front_name = sessions::front_name(&key, &config.name);
    let boot_id = read_boot_id(config);
    let opened = match open_store(boot_id.trim()) {
        Ok(opened) => opened,
        Err(error @ StoreError::Disk { .. }) => {
            tracing::error!(
                reason = %error,
                help = error.help_text(),
                "store unavailable, paid set-ups are rejected"
            );
            return Ok(OpenedState {
                front_name,
                store: None,
                recovered: unknown_state(),
            });
        }
        Err(error) => return Err(error.into()),
    };
    log_opened(config, &opened);
    Ok(OpenedState {
        front_name,
        store: Some(opened.store),
        recovered: opened.recovered,
    })
}

/// Reads the identity of the host's boot. If that fails, the result is random, so that this start counts as one after a
/// power loss.
fn read_boot_id(config: &StoreConfig) -> String {
    match std::fs::read_to_string(&config.boot_file) {
        Ok(boot_id) => boot_id,
        Err(error) => {
            tracing::warn!(
                path = %config.boot_file.display(),
                reason = %error,
                "boot identity unreadable, this start counts as after a power loss"
            );
            format!("unknown {:032x}", rand::random::<u128>())
        }
    }
}

fn log_opened(config: &StoreConfig, opened: &OpenedStore) {
    if let Some(QuarantinedFile { path, reason }) = &opened.quarantined {
        tracing::error!(
            path = %path.display(),
            %reason,
            help = reason.help_text(),
            "store quarantined, a new one is created"
        );
    }
    tracing::info!(
        name = config.name,
        epoch = opened.recovered.epoch.0,
        entries = opened.recovered.intents.0.len(),
        previous_shutdown = ?opened.recovered.shutdown,
        "store opened"
    );
}

/// The state if nothing is known of previous incarnations.
fn unknown_state() -> RecoveredState {
    RecoveredState {
        epoch: StillValid(0),
        intents: StillValid(Vec::new()),
        fleet_size: ConservativeBound::default(),
        shutdown: PreviousShutdown::Unknown,
        uptime: StillValid(Duration::ZERO),
    }
}
