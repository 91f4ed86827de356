//! What one process of a dispatcher has learned, handed to the next through the folder for state.

use std::path::PathBuf;
use std::time::Duration;

use rookspoke_channel::Channel;
use rookspoke_decisions::Name;
use rookspoke_state::beliefs;
use tokio::time::{interval, MissedTickBehavior};

use crate::serving::Serving;

/// How often it is written: loads older than a report are of no use.
const KEEP: Duration = Duration::from_millis(500);

/// Where it lies, and for which classes.
pub struct Heirloom {
    pub folder: PathBuf,
    pub classes: Vec<Name>,
}

impl Heirloom {
    /// Takes what the process before this one left.
    pub async fn take(&self, channel: &Channel) {
        match beliefs::find(&self.folder, &self.classes) {
            Ok(Some(beliefs)) => {
                tracing::info!(
                    "beliefs of {} log workers come from an earlier process",
                    beliefs.workers.len()
                );
                channel.inherit(beliefs).await;
            }
            Ok(None) => {}
            Err(error) => tracing::error!("nothing comes from an earlier process: {error}"),
        }
    }

    /// Leaves what is believed, for as long as it is polled and this process is the one that serves.
    pub async fn keep(self, serving: Serving) {
        let mut ticks = interval(KEEP);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if !serving.is_ready() {
                continue;
            }
            let Some(beliefs) = serving.channel().beliefs().await else { return };
            if let Err(error) = beliefs::leave(&self.folder, &self.classes, &beliefs) {
                tracing::warn!("nothing is left for the next process: {}: {error}", self.folder.display());
            }
        }
    }
}
