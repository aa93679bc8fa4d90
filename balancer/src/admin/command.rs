//! The commands of the admin protocol.
use thiserror::Error;

/// Longest line that is accepted, in bytes, with its line feed.
pub const MAX_LINE_LENGTH: usize = 512;

/// A command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Asks whether this process serves.
    Status,
    /// Asks for the metrics.
    Metrics,
    /// Pauses this balancer: closes idle client connections, and the others with their next response.
    Pause,
    /// Ends a pause.
    Resume,
    /// Suspends an upstream.
    Suspend(String),
    /// Restores an upstream.
    Restore(String),
}

/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// It is too long, is not UTF-8, or has no line feed.
    #[error("a call is one line of text of at most {MAX_LINE_LENGTH} bytes")]
    NotOneLine,
    /// It is empty.
    #[error("the line is empty")]
    Empty,
    /// The command takes no parameter, but the line has one.
    #[error("{0} takes nothing")]
    UnexpectedParameter(String),
    /// The command takes exactly one parameter, the name of an upstream, and the line has none or several.
    #[error("{0} takes the id of one upstream")]
    NotOneUpstream(String),
    /// There is no such command.
    #[error("unknown call; there are STATUS METRICS SUSPEND RESTORE PAUSE RESUME")]
    UnknownCommand,
}

impl AdminCommand {
    /// Parses a line without its line feed.
    pub fn parse(line: &str) -> Result<AdminCommand, CommandError> {
        if line.trim() == "METRICS" {
            return Ok(AdminCommand::Metrics);
        }
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        match words[..] {
            ["STATUS"] => Ok(AdminCommand::Status),
            ["PAUSE"] => Ok(AdminCommand::Pause),
            ["RESUME"] => Ok(AdminCommand::Resume),
            ["SUSPEND", upstream] => Ok(AdminCommand::Suspend(upstream.to_string())),
            ["RESTORE", upstream] => Ok(AdminCommand::Restore(upstream.to_string())),
            [command @ ("STATUS" | "METRICS" | "PAUSE" | "RESUME"), ..] => {
                Err(CommandError::UnexpectedParameter(command.to_string()))
            }
            [command @ ("SUSPEND" | "RESTORE"), ..] => {
                Err(CommandError::NotOneUpstream(command.to_string()))
            }
            [] => Err(CommandError::Empty),
            _ => Err(CommandError::UnknownCommand),
        }
    }
}
