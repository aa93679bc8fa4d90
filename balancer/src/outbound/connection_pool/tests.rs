//! Which idle connections are closed after surplus data, and when a used one carries its next
//! request.
use super::*;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::outbound::connector::{ConnectionOrigin, Connector};
use std::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::sleep;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Additional time that a busy machine may need after a reuse delay.
const MARGIN: Duration = Duration::from_millis(50);

/// Opens a connection that is not in the pool.
async fn open_connection(upstream: &Rc<Upstream>) -> Connection {
    let connector = Connector::new(TIMEOUT, TIMEOUT, DescriptorBudget::new(64), Rc::default());
    let connected = connector.connect(upstream, Instant::now() + TIMEOUT).await;
    let Ok(mut connected) = connected else {
        panic!("the connection could not be opened");
    };
    assert_eq!(connected.origin, ConnectionOrigin::New);
    connected.connection.sender.ready().await.expect("is open");
    connected.connection
}

fn is_ready(upstream: &Upstream) -> bool {
    matches!(upstream.take_idle(TIMEOUT), PooledConnection::Ready(_))
}

/// Whether the pool still has an idle connection after surplus data with this cause was recorded.
async fn keeps_idle_connection(upstream: &Rc<Upstream>, cause: SurplusCause) -> bool {
    upstream.add_unused(open_connection(upstream).await);
    upstream.record_surplus(cause, Instant::now());
    is_ready(upstream)
}

/// Guards against closing connections on which no duplicate arrived, once the reuse delay is long
/// enough to detect a duplicate on each of them.
#[tokio::test]
async fn a_probable_duplicate_closes_idle_connections_only_before_the_long_reuse_delay() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let upstream = Upstream::new(listener.local_addr().expect("an address"));
        let duplicate = SurplusCause::ProbableDuplicate;
        assert!(
            !keeps_idle_connection(&upstream, duplicate).await,
            "the first"
        );
        assert!(keeps_idle_connection(&upstream, duplicate).await, "another");
        let unexplained = SurplusCause::Unexplained;
        assert!(!keeps_idle_connection(&upstream, unexplained).await);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a second wrong response, and against single use of connections after surplus data
/// that is a probable duplicate.
#[tokio::test]
async fn a_used_connection_is_reused_after_the_long_delay_once_there_was_surplus_data() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let upstream = Upstream::new(listener.local_addr().expect("an address"));
        upstream.record_surplus(SurplusCause::ProbableDuplicate, Instant::now());
        let connection = open_connection(&upstream).await;
        connection.request_history().record_request(Instant::now());
        let response_at = Instant::now();
        upstream.return_after_response(connection);
        while !is_ready(&upstream) {
            assert!(response_at.elapsed() < TIMEOUT, "it is not reused");
            sleep(Duration::from_millis(10)).await;
        }
        assert!(response_at.elapsed() >= LONG_REUSE_DELAY);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn connections_carry_one_request_while_surplus_data_is_unexplained() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let upstream = Upstream::new(listener.local_addr().expect("an address"));
        upstream.record_surplus(SurplusCause::Unexplained, Instant::now());
        for _ in 0..2 {
            let connection = open_connection(&upstream).await;
            connection.request_history().record_request(Instant::now());
            upstream.return_after_response(connection);
        }
        assert_eq!(upstream.idle.borrow().len(), 1, "one is observed");
        sleep(LONG_REUSE_DELAY + MARGIN).await;
        assert!(!is_ready(&upstream), "it is not reused");
    };
    LocalSet::new().run_until(test).await;
}
