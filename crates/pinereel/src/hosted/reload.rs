//! Watches the settings file and logs its changes, which take effect at the next start.

use crate::settings::Hosted;
use std::{
    path::{Path, PathBuf},
    time::Duration,
};
use tokio::{signal::unix::Signal, time::sleep};

/// Interval between checks for a change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Checks the settings file at each SIGHUP and at each interval, first at once if `checks_at_once`, and logs a
/// change or an error in it.
pub async fn watch_settings_file(
    settings: Hosted,
    path: PathBuf,
    hangup: &mut Signal,
    checks_at_once: bool,
) {
    let mut last_valid = settings;
    if checks_at_once {
        last_valid = check_for_change(last_valid, &path);
    }
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
            log::info!(settings:? = settings; "settings changed, with effect from the next start");
            settings
        }
        Err(error) => {
            log::error!(error:% = error; "settings changed and are invalid, the last valid ones are kept");
            last_valid
        }
    }
}
