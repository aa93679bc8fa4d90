//! Finds files in the workspace's build output.
use std::path::{Path, PathBuf};

/// Finds a file of the build output, in the folder of this program or in its parent: test programs run in a subfolder of
/// the build output.
pub fn find_build_output(name: &str) -> Option<PathBuf> {
    let program = std::env::current_exe().ok()?;
    program
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder: &Path| folder.join(name))
        .find(|path| path.is_file())
}
