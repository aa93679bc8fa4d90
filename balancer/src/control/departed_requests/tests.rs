//! Which requests are remembered, and how long.
use super::*;
use hyper::header::HeaderValue;

fn id(number: usize) -> RequestIdHash {
    let id = HeaderValue::try_from(format!("request-{number}")).expect("a value");
    RequestIdHash::of(&id)
}

#[tokio::test(start_paused = true)]
async fn forgets_a_request_after_its_retention_time() {
    let mut departed = DepartedRequests::default();
    departed.insert(id(1));
    tokio::time::advance(RETENTION_TIME / 2).await;
    departed.insert(id(2));
    assert!(departed.contains(id(1)) && departed.contains(id(2)));
    assert!(!departed.contains(id(3)));
    tokio::time::advance(RETENTION_TIME / 2).await;
    assert!(!departed.contains(id(1)) && departed.contains(id(2)));
}

/// Guards against memory that grows with the clients that leave.
#[tokio::test(start_paused = true)]
async fn forgets_the_oldest_of_too_many_requests() {
    let mut departed = DepartedRequests::default();
    for number in 0..=MAX_REQUESTS {
        departed.insert(id(number));
        departed.insert(id(number));
    }
    assert_eq!(departed.departures.len(), MAX_REQUESTS);
    assert_eq!(departed.ids.len(), MAX_REQUESTS);
    assert!(!departed.contains(id(0)) && departed.contains(id(1)));
}
