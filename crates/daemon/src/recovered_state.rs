//! What this front starts from: its name at servers, and what its store holds.
use crate::errors::StartError;
use crate::key_file;
use crankpaddle_config::Store as Wanted;
use crankpaddle_recovery::{ConservativeBound, PreviousShutdown, RecoveredState, StillValid};
use crankpaddle_server_protocol::sessions;
use crankpaddle_store::{Error, OpenedStore, Store};

/// A front's past, and where it keeps on.
pub(crate) struct Kept {
    /// Its name at servers, the same in all its lives.
    pub name: String,
    /// `None`: the disk fails, and nothing can be kept.
    pub store: Option<Store>,
    pub past: RecoveredState,
}

/// A past of which nothing is known.
fn unknown() -> RecoveredState {
    RecoveredState {
        epoch: StillValid(0),
        intents: StillValid(Vec::new()),
        fleet_size: ConservativeBound::default(),
        shutdown: PreviousShutdown::Unknown,
        uptime_ms: StillValid(0),
    }
}

/// Opens the store. Danger: a front that would not start because its disk fails serves nobody; one that starts without its past and
/// sells what it sold before breaks a rule. So it starts, asks servers what ran, and sets up nothing that is paid.
///
/// # Errors
/// The key can't be read, or the folder is another process's or a later release's.
pub(crate) fn open(wanted: &Wanted) -> Result<Kept, StartError> {
    open_on(wanted, |boot| Store::open(&wanted.dir, boot))
}

/// The same, on what `store` makes of the host's boot.
pub(crate) fn open_on(
    wanted: &Wanted,
    store: impl FnOnce(&str) -> Result<OpenedStore, Error>,
) -> Result<Kept, StartError> {
    let key = key_file::key(&wanted.key_file)?;
    let name = sessions::front_name(&key, &wanted.name);
    let boot = std::fs::read_to_string(&wanted.boot_file).unwrap_or_else(|e| {
        tracing::warn!(path = %wanted.boot_file.display(), %e, "the boot can't be told; each start counts as after a power loss");
        format!("unknown {:032x}", rand::random::<u128>())
    });
    match store(boot.trim()) {
        Ok(OpenedStore {
            store,
            recovered: past,
            quarantined: set_aside,
        }) => {
            if let Some((path, why)) = set_aside {
                let help = advice(&why);
                tracing::error!(path = %path.display(), %why, help, "the store was no store any more; a new one is begun");
            }
            let (epoch, entries) = (past.epoch.0, past.intents.0.len());
            tracing::info!(name = wanted.name, epoch, entries, former_life = ?past.shutdown, "store");
            Ok(Kept {
                name,
                store: Some(store),
                past,
            })
        }
        Err(e @ Error::Disk { .. }) => {
            tracing::error!(%e, help = advice(&e), "the store can't be used; nothing that is paid is set up");
            Ok(Kept {
                name,
                store: None,
                past: unknown(),
            })
        }
        Err(e) => Err(e.into()),
    }
}

fn advice(e: &Error) -> String {
    miette::Diagnostic::help(e)
        .map(|help| help.to_string())
        .unwrap_or_default()
}
