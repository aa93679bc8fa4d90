//! Which calls are repeated.
use super::*;

#[test]
fn repeats_interrupted_calls_and_returns_every_other_result() {
    let mut calls_left = 3;
    let result = retry_interrupted(|| {
        calls_left -= 1;
        if calls_left > 0 {
            return Err(io::ErrorKind::Interrupted.into());
        }
        Ok(7)
    });
    assert_eq!(
        (result.expect("the third call succeeds"), calls_left),
        (7, 0)
    );
    let failed: io::Result<()> = retry_interrupted(|| Err(io::ErrorKind::TimedOut.into()));
    assert_eq!(
        failed.expect_err("it fails").kind(),
        io::ErrorKind::TimedOut
    );
}
