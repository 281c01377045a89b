//! `wingfold serve`: the director as a service.

use crate::settings;
use clap::Args;
use std::path::PathBuf;
use std::process::ExitCode;
use wingfold_settings::local::{LocalSettings, LogFormat};

/// Serve as a director.
#[derive(Args, Debug, Default)]
pub struct Serve {
    /// What the platform tells the director, JSON; else the file that GW_CONFIG names
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// wingfold's own settings, HCL; else the file that WINGFOLD_OWN names, else everything of it is off
    #[arg(long, value_name = "FILE")]
    own: Option<PathBuf>,
    /// Log lines as JSON objects, whatever the own settings say
    #[arg(long)]
    log_json: bool,
}

impl Serve {
    /// Serves until it is asked to end.
    pub fn run(self) -> ExitCode {
        match settings::load(self.own.as_deref()) {
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
        let file = self.own;
        let reload = move || {
            let mut reloaded = settings::load(file.as_deref()).map_err(|error| error.to_string())?;
            // The format of the log is that of the start.
            reloaded.log.format = log_format;
            Ok(reloaded)
        };
        wingfold_node::main(self.config, local, reload)
    }
}
