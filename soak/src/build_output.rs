//! Finds what the workspace's build has made.
use std::path::{Path, PathBuf};

/// Finds a file of the build in the folder of this program or in the one above, where tests run.
pub fn find_build_output(name: &str) -> Option<PathBuf> {
    let program = std::env::current_exe().ok()?;
    program
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder: &Path| folder.join(name))
        .find(|path| path.is_file())
}
