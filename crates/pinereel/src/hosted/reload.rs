//! Changes of the settings file.

use crate::settings::Hosted;
use std::{
    path::{Path, PathBuf},
    time::Duration,
};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

/// Pause between two looks whether the settings file has changed without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Tells when the settings file changes. What it says is in force from the next start on.
pub async fn watch_settings_file(settings: Hosted, path: PathBuf) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::error!("settings: no signal will be heard");
        return;
    };
    let mut last_valid = settings;
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = sleep(CHECK_INTERVAL) => {}
        }
        last_valid = check_for_change(last_valid, &path);
    }
}

fn check_for_change(last_valid: Hosted, path: &Path) -> Hosted {
    match Hosted::load(path) {
        Ok(settings) if settings == last_valid => last_valid,
        Ok(settings) => {
            log::info!(settings:? = settings; "settings changed, in force from the next start on");
            settings
        }
        Err(error) => {
            log::error!(error:% = error; "settings changed and are at fault, the last good ones stay");
            last_valid
        }
    }
}
