//! `wingfold serve`: the director as a service.

use crate::settings;
use clap::Args;
use std::path::PathBuf;
use std::process::ExitCode;
use wingfold_settings::own::{Form, Own};

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
            Ok(own) => self.serve(own),
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        }
    }

    fn serve(self, mut own: Own) -> ExitCode {
        if self.log_json {
            own.log.form = Form::Json;
        }
        let log_form = own.log.form;
        let file = self.own;
        let reload = move || {
            let mut own = settings::load(file.as_deref()).map_err(|error| error.to_string())?;
            // The form of the log is that of the start.
            own.log.form = log_form;
            Ok(own)
        };
        wingfold_node::main(self.config, own, reload)
    }
}
