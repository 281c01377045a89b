//! `wingfold serve`: runs a director.

use crate::settings;
use clap::Args;
use std::path::PathBuf;
use std::process::ExitCode;
use wingfold_settings::local::{LocalSettings, LogFormat};

/// Run a director.
#[derive(Args, Debug, Default)]
pub struct Serve {
    /// Configuration from the platform (JSON); without this option, the file that GW_CONFIG names
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Local settings (HCL); without this option, the file that WINGFOLD_OWN names, or else the defaults,
    /// which disable capture and metrics
    #[arg(long = "own", value_name = "FILE")]
    local_settings: Option<PathBuf>,
    /// Write log lines as JSON objects, whatever format the local settings choose
    #[arg(long)]
    log_json: bool,
}

impl Serve {
    /// Runs the director until it is asked to shut down. Invalid local settings prevent the start: the exit
    /// code is then 1, not 2 as for the other commands.
    pub fn run(self) -> ExitCode {
        match settings::load(self.local_settings.as_deref()) {
            Ok(local) => self.serve(local),
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        }
    }

    fn serve(self, mut local: LocalSettings) -> ExitCode {
        if self.log_json {
            local.log.format = LogFormat::Json;
        }
        let log_format = local.log.format;
        let settings_file = self.local_settings;
        let reload = move || {
            let mut reloaded = settings::load(settings_file.as_deref()).map_err(|error| error.to_string())?;
            // A reload does not change the log format, which the local settings or --log-json chose at the
            // start.
            reloaded.log.format = log_format;
            Ok(reloaded)
        };
        wingfold_node::main(self.config, local, reload)
    }
}
