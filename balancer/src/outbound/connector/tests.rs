//! Dials over a network on which connections open late.
use super::*;
use crate::test_support::FullListener;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Longer than the time after which TCP retransmits a lost handshake packet.
const RETRANSMISSION_TIME: Duration = Duration::from_millis(1500);
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

fn connector(dial_timeout: Duration) -> Connector {
    Connector::new(
        dial_timeout,
        LONG_TIMEOUT,
        DescriptorBudget::new(64),
        Rc::default(),
    )
}

fn origin_of(
    connected: Result<AcquiredConnection, AttemptOutcome>,
) -> Result<ConnectionOrigin, AttemptOutcome> {
    connected.map(|connected| connected.origin)
}

fn far_deadline() -> Instant {
    Instant::now() + LONG_TIMEOUT
}

/// Guards against repeated dials without success where connections open late.
#[tokio::test]
async fn next_attempt_uses_a_connection_that_opened_late() {
    let test = async {
        let mut listener = FullListener::bind();
        let connector = connector(Duration::from_millis(100));
        let upstream = Upstream::new(listener.address());
        let first = connector.connect(&upstream, far_deadline()).await;
        assert!(
            matches!(first, Err(AttemptOutcome::ConnectFailed)),
            "it does not open in time"
        );
        listener.empty_queue();
        sleep(RETRANSMISSION_TIME).await;
        let second = connector.connect(&upstream, far_deadline()).await;
        assert!(
            matches!(origin_of(second), Ok(ConnectionOrigin::Pooled)),
            "it opened meanwhile"
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against waiting for a dial although another connection has become idle.
#[tokio::test]
async fn dialling_attempt_uses_a_connection_that_becomes_idle() {
    let test = async {
        let mut listener = FullListener::bind();
        let connector = connector(LONG_TIMEOUT);
        let upstream = Upstream::new(listener.address());
        let dialling = {
            let connector = connector.clone();
            let upstream = upstream.clone();
            tokio::task::spawn_local(
                async move { connector.connect(&upstream, far_deadline()).await },
            )
        };
        sleep(Duration::from_millis(100)).await;
        listener.empty_queue();
        let Ok(busy) = connector.connect(&upstream, far_deadline()).await else {
            panic!("the second attempt could not connect");
        };
        assert_eq!(busy.origin, ConnectionOrigin::New);
        assert!(!dialling.is_finished(), "the first attempt's dial is late");
        sleep(Duration::from_millis(10)).await;
        upstream.add_unused(busy.connection);
        let start = Instant::now();
        let connected = dialling.await.expect("runs");
        assert!(matches!(origin_of(connected), Ok(ConnectionOrigin::Pooled)));
        assert!(
            start.elapsed() < RETRANSMISSION_TIME / 3,
            "it did not wait for its own dial"
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against using a connection to a process that was replaced during the dial.
#[tokio::test]
async fn discards_a_late_connection_to_a_replaced_process() {
    let test = async {
        let mut listener = FullListener::bind();
        let connector = connector(Duration::from_millis(100));
        let upstream = Upstream::new(listener.address());
        assert!(connector.connect(&upstream, far_deadline()).await.is_err());
        upstream.mark_replaced();
        listener.empty_queue();
        sleep(RETRANSMISSION_TIME).await;
        assert!(matches!(
            upstream.take_idle(LONG_TIMEOUT),
            PooledConnection::None
        ));
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against spending a request's time on one connection that opens late, where another would
/// open at once.
#[tokio::test]
async fn hedged_dial_overtakes_a_late_one() {
    let test = async {
        let mut listener = FullListener::bind();
        let connector = connector(Duration::from_millis(800));
        let upstream = Upstream::new(listener.address());
        let dialling =
            tokio::task::spawn_local(
                async move { connector.connect(&upstream, far_deadline()).await },
            );
        sleep(Duration::from_millis(50)).await;
        listener.empty_queue();
        let connected = dialling.await.expect("runs");
        assert!(matches!(origin_of(connected), Ok(ConnectionOrigin::New)));
    };
    LocalSet::new().run_until(test).await;
}
