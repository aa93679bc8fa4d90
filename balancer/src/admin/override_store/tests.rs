//! Tests of overrides that processes share, and of files that cannot be read or written.
use super::*;

/// An empty directory for one test.
fn empty_directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("balancer-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir(&directory).expect("a directory");
    directory
}

#[test]
fn shares_overrides_with_other_and_later_processes() {
    let directory = empty_directory("shared");
    let first = OverrideStore::new(Some(directory.clone()));
    let second = OverrideStore::new(Some(directory.clone()));
    first.change(|o| o.suspend("s-1")).expect("stored");
    second.change(|o| o.suspend("s-2")).expect("stored");
    second
        .change(|o| o.restore("s-1", 5.0, 9.0))
        .expect("stored");
    first.change(|o| o.set_paused(true)).expect("stored");
    let overrides = OverrideStore::new(Some(directory.clone()))
        .read()
        .expect("a valid file");
    assert_eq!(overrides.suspended().len(), 1);
    assert_eq!(overrides.restored().len(), 1);
    assert!(overrides.is_paused());
    assert_eq!(overrides, first.read().expect("a valid file"));
    assert_eq!(overrides, second.read().expect("a valid file"));
    std::fs::remove_dir_all(directory).expect("removes");
}

#[test]
fn reports_invalid_file_and_replaces_it_on_next_change() {
    let directory = empty_directory("invalid");
    for text in ["", "{\"version\":1,\"rev", "{}", "\u{0}"] {
        std::fs::write(directory.join(OVERRIDES_FILE), text).expect("writes");
        let store = OverrideStore::new(Some(directory.clone()));
        assert!(
            store
                .read()
                .is_err_and(|e| e.to_string().contains(OVERRIDES_FILE)),
            "{text:?}"
        );
        assert!(store.change(|o| o.suspend("s-1")).is_ok());
        assert!(store.read().is_ok_and(|o| o.suspended().contains("s-1")));
    }
    let other_version = std::fs::read_to_string(directory.join(OVERRIDES_FILE))
        .expect("reads")
        .replace("\"version\":1", "\"version\":2");
    std::fs::write(directory.join(OVERRIDES_FILE), other_version).expect("writes");
    let error = OverrideStore::new(Some(directory.clone()))
        .read()
        .expect_err("another version");
    assert!(error.to_string().contains("version 2"), "{error}");
    std::fs::remove_dir_all(directory).expect("removes");
}

#[test]
fn reports_change_that_cannot_be_stored() {
    let directory = empty_directory("missing");
    std::fs::remove_dir_all(&directory).expect("removes");
    let error = OverrideStore::new(Some(directory))
        .change(|o| o.set_paused(true))
        .expect_err("no directory");
    assert!(
        error
            .to_string()
            .starts_with("could not store overrides in "),
        "{error}"
    );
}

/// A file that is temporarily unreadable may be valid. Overwriting it would lose all overrides.
#[test]
fn does_not_overwrite_file_that_is_temporarily_unreadable() {
    let directory = empty_directory("unreadable");
    OverrideStore::new(Some(directory.clone()))
        .change(|o| o.suspend("s-1"))
        .expect("stored");
    let file = directory.join(OVERRIDES_FILE);
    let aside = directory.join("aside");
    std::fs::rename(&file, &aside).expect("renames");
    // A link to itself can be replaced but not read.
    std::os::unix::fs::symlink(&file, &file).expect("links");
    let store = OverrideStore::new(Some(directory.clone()));
    assert!(store.change(|o| o.suspend("s-2")).is_err());
    std::fs::rename(&aside, &file).expect("renames");
    let overrides = store.change(|o| o.suspend("s-2")).expect("stored");
    assert_eq!(overrides.suspended().len(), 2, "{overrides:?}");
    std::fs::remove_dir_all(directory).expect("removes");
}

#[test]
fn only_one_process_at_a_time_has_the_process_lock() {
    let directory = empty_directory("process-lock");
    let first = OverrideStore::new(Some(directory.clone()));
    let second = OverrideStore::new(Some(directory.clone()));
    let try_lock = |store: &OverrideStore| store.try_lock_process().expect("a directory");
    let lock = try_lock(&first);
    assert!(lock.is_some() && try_lock(&second).is_none());
    drop(lock);
    assert!(try_lock(&second).is_some());
    std::fs::remove_dir_all(directory).expect("removes");
}

/// Guards against mistaking a directory that cannot be written for a lock that another process holds.
#[test]
fn distinguishes_a_held_process_lock_from_one_that_cannot_be_opened() {
    let missing = std::env::temp_dir().join("balancer-no-such-folder");
    let store = OverrideStore::new(Some(missing));
    assert!(store.try_lock_process().is_err());
}
