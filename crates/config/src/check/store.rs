//! Checks the section `store`: what survives a power loss, and the stages of recovery after one.
use super::ConfigChecker;
use crate::{schema, Store};
use crankpaddle_recovery::StageTimeouts;
use std::time::Duration;

impl ConfigChecker<'_, '_> {
    /// `warm_up` is the time in nanoseconds after which a restarted server is warm.
    pub(super) fn store(&mut self, sections: &[schema::Store], warm_up: u64) -> Option<Store> {
        self.require(
            sections.len() <= 1,
            "store[1]",
            "is given more than once; allowed: one section store",
        );
        let store = sections.first()?;
        let path = |field: &str| format!("store[0].{field}");
        self.require(
            !store.dir.is_empty(),
            &path("dir"),
            "is missing; allowed: a directory that only this front uses",
        );
        self.replica_name(&path("name"), &store.name);
        self.require(
            !store.boot_file().is_empty(),
            &path("boot_file"),
            "is empty; allowed: the path of a file whose text differs with each boot",
        );
        Some(Store {
            dir: store.dir.clone().into(),
            name: store.name.clone(),
            key_file: self.key_file(&path("key_file"), &store.key_file),
            stage_timeouts: self.stage_timeouts(store, Duration::from_nanos(warm_up)),
            boot_file: store.boot_file().into(),
        })
    }

    fn stage_timeouts(&mut self, store: &schema::Store, warm_up: Duration) -> StageTimeouts {
        StageTimeouts {
            reconciliation_timeout: self.duration("store[0].settle", store.settle()),
            paid_quiet_period: self.duration("store[0].calm", store.calm()),
            paid_only_timeout: match &store.paid_first {
                Some(time) => self.duration("store[0].paid_first", time),
                None => warm_up,
            },
            warm_up_duration: warm_up,
        }
    }
}
