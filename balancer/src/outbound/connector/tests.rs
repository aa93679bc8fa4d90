//! Dialling, over a network on which connections come up late.
use super::*;
use crate::test_support::FullListener;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Longer than it takes until what was lost of a connection's setup is sent again.
const LATE: Duration = Duration::from_millis(1500);
const LONG: Duration = Duration::from_secs(20);

fn connector(dial_timeout: Duration) -> Connector {
    Connector::new(dial_timeout, LONG, DescriptorBudget::new(64), Rc::default())
}

fn until() -> Instant {
    Instant::now() + LONG
}

/// Guards against dialling anew again and again where connections come up late, each time for nothing.
#[tokio::test]
async fn a_connection_that_comes_up_late_serves_the_next_attempt() {
    let test = async {
        let mut listener = FullListener::bind();
        let (connector, upstream) = (
            connector(Duration::from_millis(100)),
            Upstream::new(listener.address()),
        );
        let first = connector.connect(&upstream, until()).await;
        assert!(
            matches!(first, Err(AttemptOutcome::ConnectFailed)),
            "it is not up in time"
        );
        listener.admit();
        sleep(LATE).await;
        let second = connector.connect(&upstream, until()).await;
        assert!(
            matches!(second, Ok(Connected::Idle(_))),
            "it came up meanwhile"
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against attempts that wait for a dial though another connection has become idle.
#[tokio::test]
async fn an_attempt_that_dials_takes_a_connection_that_becomes_idle() {
    let test = async {
        let mut listener = FullListener::bind();
        let (connector, upstream) = (connector(LONG), Upstream::new(listener.address()));
        let dialling = {
            let (connector, upstream) = (connector.clone(), upstream.clone());
            tokio::task::spawn_local(async move { connector.connect(&upstream, until()).await })
        };
        sleep(Duration::from_millis(100)).await;
        listener.admit();
        let Ok(Connected::New(busy)) = connector.connect(&upstream, until()).await else {
            panic!("another attempt connects at once");
        };
        assert!(!dialling.is_finished(), "the first one's dial is late");
        sleep(Duration::from_millis(10)).await;
        upstream.put_unused(busy);
        let start = Instant::now();
        let connected = dialling.await.expect("runs");
        assert!(matches!(connected, Ok(Connected::Idle(_))));
        assert!(
            start.elapsed() < LATE / 3,
            "it did not wait for its own dial"
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against connections to a process that has been replaced meanwhile.
#[tokio::test]
async fn a_late_connection_to_a_replaced_process_is_not_used() {
    let test = async {
        let mut listener = FullListener::bind();
        let (connector, upstream) = (
            connector(Duration::from_millis(100)),
            Upstream::new(listener.address()),
        );
        assert!(connector.connect(&upstream, until()).await.is_err());
        upstream.replaced();
        listener.admit();
        sleep(LATE).await;
        assert!(matches!(upstream.take(LONG), Available::Nothing));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against losing a request's time to one connection that comes up late, where the next one would be up at once.
#[tokio::test]
async fn a_further_dial_overtakes_a_late_one() {
    let test = async {
        let mut listener = FullListener::bind();
        let (connector, upstream) = (
            connector(Duration::from_millis(800)),
            Upstream::new(listener.address()),
        );
        let dialling =
            tokio::task::spawn_local(async move { connector.connect(&upstream, until()).await });
        sleep(Duration::from_millis(50)).await;
        listener.admit();
        let connected = dialling.await.expect("runs");
        assert!(matches!(connected, Ok(Connected::New(_))));
    };
    LocalSet::new().run_until(test).await;
}
