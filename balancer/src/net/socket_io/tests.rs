//! Calls that the system interrupts or ends early.
use super::*;

#[test]
fn an_interrupted_call_is_made_again_and_any_other_end_counts() {
    let mut left = 3;
    let served = uninterrupted(|| {
        left -= 1;
        if left > 0 {
            return Err(io::ErrorKind::Interrupted.into());
        }
        Ok(7)
    });
    assert_eq!((served.expect("the third call is served"), left), (7, 0));
    let failed: io::Result<()> = uninterrupted(|| Err(io::ErrorKind::TimedOut.into()));
    assert_eq!(
        failed.expect_err("it fails").kind(),
        io::ErrorKind::TimedOut
    );
}
