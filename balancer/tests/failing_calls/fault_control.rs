//! The fault injection library and its control file.
use crate::rows::Row;
use fault_injection::control::{
    Fault, CONTROL_FILE_VARIABLE, FILE_BYTES, SEED_VARIABLE, WORD_BYTES,
};
use std::fs::{self, File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const LIBRARY_NAME: &str = "libfault_injection.so";
const FILE_NAME: &str = "faults";

/// The control file of one play, which its processes share.
pub struct FaultControl {
    path: PathBuf,
    file: File,
}

impl FaultControl {
    /// A control file in this folder in which no fault is set.
    pub fn create(folder: &Path) -> FaultControl {
        let path = folder.join(FILE_NAME);
        fs::write(&path, [0; FILE_BYTES]).expect("writes the control file");
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(&path)
            .expect("opens the control file");
        FaultControl { path, file }
    }

    /// Writes the faults of a row into the control file. They are injected from then on.
    pub fn set(&self, row: &Row) {
        for fault in row.faults {
            self.file
                .write_all_at(&row.word.to_le_bytes(), fault.offset())
                .expect("writes the control file");
        }
    }

    /// How many calls the faults of a row have made fail.
    pub fn injected(&self, row: &Row) -> u64 {
        row.faults.iter().map(|fault| self.read_count(*fault)).sum()
    }

    fn read_count(&self, fault: Fault) -> u64 {
        let mut count = [0; WORD_BYTES];
        self.file
            .read_exact_at(&mut count, fault.count_offset())
            .expect("reads the control file");
        u64::from_le_bytes(count)
    }

    /// Has a command load the library, with this seed.
    pub fn preload(&self, command: &mut Command, seed: u64) {
        command
            .env("LD_PRELOAD", library())
            .env(CONTROL_FILE_VARIABLE, &self.path)
            .env(SEED_VARIABLE, seed.to_string());
    }
}

/// The path of the library, which cargo builds into the folder of this test's program or its parent.
fn library() -> PathBuf {
    let program = std::env::current_exe().expect("the path of this test");
    program
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(LIBRARY_NAME))
        .find(|path| path.is_file())
        .expect("the fault injection library is built with this test")
}
