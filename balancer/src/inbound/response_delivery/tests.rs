//! Tests of response deliveries.
use super::*;

fn delivery() -> ResponseDelivery {
    ResponseDelivery::new()
}

#[test]
fn response_is_outstanding_until_it_is_written() {
    let delivery = delivery();
    delivery.begin_request();
    assert!(!delivery.is_outstanding(), "the request is incomplete");
    delivery.await_response(None);
    assert!(delivery.is_outstanding());
    delivery.begin_response();
    assert!(!delivery.record_flushed(), "the body has not ended");
    delivery.end_request();
    assert!(delivery.is_outstanding(), "the end is unwritten");
    assert!(delivery.record_flushed());
    assert!(!delivery.is_outstanding());
    assert!(!delivery.record_flushed(), "nothing more was written");
}

#[test]
fn unwritten_response_stays_outstanding_while_the_next_request_is_received() {
    let delivery = delivery();
    delivery.begin_request();
    delivery.begin_response();
    delivery.end_request();
    delivery.begin_request();
    assert!(delivery.is_outstanding());
    assert!(!delivery.record_flushed(), "the next request is open");
    assert!(!delivery.is_outstanding());
}

#[test]
fn request_without_response_is_not_outstanding_after_its_end() {
    let delivery = delivery();
    delivery.begin_request();
    delivery.end_request();
    assert!(!delivery.record_flushed());
    assert!(!delivery.is_outstanding());
}

#[test]
fn is_blocked_from_the_first_refused_write_until_the_next_accepted_one() {
    let delivery = delivery();
    delivery.record_blocked();
    let since = delivery.blocked_since();
    assert!(since.is_some());
    delivery.record_blocked();
    assert_eq!(delivery.blocked_since(), since);
    delivery.record_written();
    assert_eq!(delivery.blocked_since(), None);
}

#[test]
fn counts_registered_connections_with_an_outstanding_response() {
    let deliveries: Rc<ResponseDeliveries> = Rc::default();
    let idle = deliveries.register();
    let waiting = deliveries.register();
    waiting.begin_request();
    waiting.await_response(None);
    let blocked = deliveries.register();
    blocked.begin_response();
    blocked.record_blocked();
    assert_eq!(deliveries.count_outstanding(|_| true), 2);
    let is_blocked = |delivery: &ResponseDelivery| delivery.blocked_since().is_some();
    assert_eq!(deliveries.count_outstanding(is_blocked), 1);
    drop((idle, blocked));
    assert_eq!(deliveries.count_outstanding(|_| true), 1);
}
