use std::{path::Path, sync::Arc};

use medlarspool_platform::HttpPlatform;
use medlarspool_types::SystemClock;
use tokio::signal::unix::{SignalKind, signal};

use crate::{Daemon, DaemonError, Settings, arguments::Arguments};

/// Does what the command line asks for. A daemon that serves returns after its planned stop, which SIGINT or
/// SIGTERM begins.
///
/// # Errors
///
/// Returns why the arguments or the settings were rejected, or why the daemon can't start.
pub fn run(arguments: impl Iterator<Item = String>) -> Result<(), DaemonError> {
    match Arguments::parse(arguments)? {
        Arguments::CheckSettings(path) => {
            Settings::load(&path)?;
            println!("{}: settings are valid", path.display());
            Ok(())
        }
        Arguments::CheckSiteSettings(path) => {
            medlarspool_edge::check_site_settings(&path)?;
            println!("{}: settings are valid", path.display());
            Ok(())
        }
        Arguments::Help(text) => {
            println!("{text}");
            Ok(())
        }
        Arguments::Serve(path) => serve(&path),
        Arguments::ServeSite(path) => Ok(medlarspool_edge::run_site(&path)?),
        Arguments::Version => {
            println!("medlarspoold {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn serve(path: &Path) -> Result<(), DaemonError> {
    let settings = Settings::load(path)?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let platform = Arc::new(HttpPlatform::new(
        settings.platform_address,
        &settings.platform_token,
        settings.platform_timeout,
    ));
    let daemon = Daemon::start(settings, platform, Arc::new(SystemClock))?;
    wait_for_planned_stop(&daemon)?;
    daemon.stop();
    Ok(())
}

fn wait_for_planned_stop(daemon: &Daemon) -> Result<(), DaemonError> {
    let signal_error = |error: std::io::Error| DaemonError::Signal(error.to_string());
    daemon.runtime().block_on(async {
        let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
        let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        Ok(())
    })
}
