//! `wingfold serve`: the director as a service.

use clap::Args;
use std::path::{Path, PathBuf};
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

/// Reads own settings: of this file, else of the one that `WINGFOLD_OWN` names, else those where nothing is said.
pub fn own(file: Option<&Path>) -> Result<LocalSettings, String> {
    let named = file.map(Path::to_path_buf).or_else(|| std::env::var_os("WINGFOLD_OWN").map(PathBuf::from));
    let Some(file) = named else { return Ok(LocalSettings::default()) };
    let text = std::fs::read_to_string(&file).map_err(|problem| format!("{}: {problem}", file.display()))?;
    LocalSettings::parse(&file.display().to_string(), &text).map_err(|faults| faults.to_string())
}

impl Serve {
    /// Serves until it is asked to end.
    pub fn run(self) -> ExitCode {
        match own(self.own.as_deref()) {
            Ok(mut own) => {
                if self.log_json {
                    own.log.format = LogFormat::Json;
                }
                let file = self.own.clone();
                let form = own.log.format;
                wingfold_node::main(self.config, own, move || {
                    let mut own = self::own(file.as_deref())?;
                    own.log.format = form;
                    Ok(own)
                })
            }
            Err(problem) => {
                eprintln!("{problem}");
                ExitCode::FAILURE
            }
        }
    }
}
