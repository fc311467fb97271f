//! The fronts of a day, each a process of its own.
use super::Play;
use crate::process::{with_workers, Process};
use crate::script::{front_block, Day};
use crate::stage::Stage;
use std::io;

/// A front's process.
pub(super) struct Front {
    pub(super) process: Process,
    /// Its zone by number.
    pub(super) zone: usize,
}

impl Front {
    pub(super) fn start(
        play: &Play,
        index: u32,
        day: &Day,
        stage: &Stage,
        peers: &str,
    ) -> io::Result<Front> {
        let zones = &stage.config.zones;
        let zone = index as usize % zones.len();
        let cache = play.dir.join(format!("front-{index}.list"));
        let block = front_block(
            index,
            day.fronts,
            &zones[zone],
            &stage.list.address.to_string(),
            &cache.to_string_lossy(),
        );
        let text = with_workers(&block, play.workers) + peers + &stage.config_text;
        let process = Process::start(&play.exe, &play.dir, &format!("front-{index}"), &text)?;
        Ok(Front { process, zone })
    }
}
