//! Claims of two processes in one directory.
use super::*;

const ID: RequestIdHash = RequestIdHash(7);
const OTHER_ID: RequestIdHash = RequestIdHash(u64::MAX);

/// The stores of two processes in an empty directory.
fn stores(name: &str) -> [ClaimStore; 2] {
    let directory = std::env::temp_dir().join(format!("claims-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).expect("creates the directory");
    [1, 2].map(|process| ClaimStore::of_process(Some(directory.clone()), process))
}

fn file_of(store: &ClaimStore) -> PathBuf {
    let directory = store.directory.as_ref().expect("a directory");
    directory.join(CLAIMS_FILE)
}

#[test]
fn only_one_process_gets_a_request() {
    let [first, second] = stores("one");
    assert_eq!(first.claim(ID).expect("stored"), Claim::Granted);
    assert_eq!(second.claim(ID).expect("stored"), Claim::TakenByOther);
    assert_eq!(first.claim(ID).expect("stored"), Claim::Granted);
    assert_eq!(second.claim(OTHER_ID).expect("stored"), Claim::Granted);
    assert_eq!(first.claim(OTHER_ID).expect("stored"), Claim::TakenByOther);
}

#[test]
fn predecessor_publishes_what_it_has_in_flight() {
    let [old, new] = stores("publish");
    assert!(!new.is_published_for(2).expect("read"));
    old.publish(&[ID, OTHER_ID], 2).expect("stored");
    assert!(new.is_published_for(2).expect("read"));
    assert!(!new.is_published_for(3).expect("read"));
    assert_eq!(new.claim(ID).expect("stored"), Claim::TakenByOther);
}

#[test]
fn last_process_takes_the_claims_of_the_others() {
    let [old, new] = stores("take");
    old.publish(&[ID], 2).expect("stored");
    assert_eq!(new.claim(OTHER_ID).expect("stored"), Claim::Granted);
    assert_eq!(new.take_all().expect("read"), [ID]);
    assert!(new.take_all().expect("read").is_empty());
    // A store that had read the file notices that it is empty.
    assert_eq!(old.claim(OTHER_ID).expect("stored"), Claim::Granted);
}

/// Guards against records that cannot be read any more after a process was killed while it wrote.
#[test]
fn incomplete_record_is_overwritten() {
    let [first, second] = stores("torn");
    assert_eq!(first.claim(ID).expect("stored"), Claim::Granted);
    let mut file = OpenOptions::new()
        .append(true)
        .open(file_of(&first))
        .expect("opens the file");
    file.write_all(&[CLAIM; 5]).expect("writes");
    assert_eq!(second.claim(OTHER_ID).expect("stored"), Claim::Granted);
    assert_eq!(first.claim(OTHER_ID).expect("read"), Claim::TakenByOther);
}

#[test]
fn file_has_a_largest_size() {
    let [first, second] = stores("size");
    let ids: Vec<_> = (0..MAX_FILE_BYTES)
        .step_by(RECORD_BYTES)
        .map(RequestIdHash)
        .collect();
    first.publish(&ids[..ids.len() - 2], 2).expect("stored");
    for &id in &ids {
        assert_eq!(first.claim(id).expect("stored"), Claim::Granted);
    }
    let size = std::fs::metadata(file_of(&second)).expect("a file").len();
    assert!(size <= MAX_FILE_BYTES);
    assert_eq!(second.claim(ids[0]).expect("read"), Claim::TakenByOther);
}

#[test]
fn without_a_directory_each_request_is_granted() {
    let store = ClaimStore::new(None);
    assert_eq!(store.claim(ID).expect("stored"), Claim::Granted);
    assert!(store.is_published_for(1).expect("read"));
}
