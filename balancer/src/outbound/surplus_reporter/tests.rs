//! Which errors of a connection are caused by surplus data.
use crate::body::request_body::AttemptBody;
use crate::net::descriptor_budget::DescriptorBudget;
use crate::outbound::connection_pool::Upstream;
use crate::outbound::connector::{ConnectionOrigin, Connector};
use crate::test_support::get_request;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);
/// Time for the connection's task to read what has arrived.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nxx";

/// How often surplus data is detected on a connection whose upstream sends `first` for a request,
/// and then does `next` while the connection is idle.
async fn detections_after(first: Vec<u8>, next: fn(&mut std::net::TcpStream)) -> u64 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let upstream = Upstream::new(listener.local_addr().expect("an address"));
    let budget = DescriptorBudget::new(64);
    let connector = Connector::new(TIMEOUT, TIMEOUT, budget, Rc::default());
    let acquired = connector.connect(&upstream, Instant::now() + TIMEOUT).await;
    let Ok(mut acquired) = acquired else {
        panic!("the connection could not be opened");
    };
    assert_eq!(acquired.origin, ConnectionOrigin::New);
    let (mut peer, _) = listener.accept().expect("accepts");
    let request = get_request();
    let body = AttemptBody::new(&request.body, None, &acquired.connection.socket);
    let request = request.to_http(body.expect("a body")).expect("a request");
    let response = acquired.connection.sender.send_request(request);
    let server = std::thread::spawn(move || {
        let mut head = [0; 512];
        let count = peer.read(&mut head).expect("a request");
        assert!(count > 0);
        peer.write_all(&first).expect("writes");
        peer
    });
    let response = response.await.expect("a response");
    http_body_util::BodyExt::collect(response.into_body())
        .await
        .expect("a body");
    let mut peer = server.join().expect("the upstream");
    sleep(ARRIVAL_TIME).await;
    next(&mut peer);
    sleep(ARRIVAL_TIME).await;
    upstream.surplus_history().detections_beyond_reuse_delay()
}

#[tokio::test]
async fn detects_data_behind_a_response_and_on_an_idle_connection() {
    let test = async {
        let twice = [RESPONSE, RESPONSE].concat();
        assert_eq!(detections_after(twice, |_| ()).await, 1, "at once");
        let later = |peer: &mut std::net::TcpStream| peer.write_all(RESPONSE).expect("writes");
        assert_eq!(detections_after(RESPONSE.to_vec(), later).await, 1, "later");
        let no_http = |peer: &mut std::net::TcpStream| peer.write_all(b"x").expect("writes");
        assert_eq!(
            detections_after(RESPONSE.to_vec(), no_http).await,
            1,
            "bytes that are no HTTP response"
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against closing all connections to an upstream because it closes an idle one.
#[tokio::test]
async fn the_end_of_an_idle_connection_is_not_reported_as_surplus_data() {
    let test = async {
        let nothing = |_: &mut std::net::TcpStream| ();
        assert_eq!(detections_after(RESPONSE.to_vec(), nothing).await, 0);
        let close = |peer: &mut std::net::TcpStream| {
            peer.shutdown(std::net::Shutdown::Both).expect("closes")
        };
        assert_eq!(
            detections_after(RESPONSE.to_vec(), close).await,
            0,
            "closed"
        );
        let reset = |peer: &mut std::net::TcpStream| {
            let socket = socket2::SockRef::from(&*peer);
            socket.set_linger(Some(Duration::ZERO)).expect("a socket");
            peer.shutdown(std::net::Shutdown::Both).expect("closes");
        };
        assert_eq!(detections_after(RESPONSE.to_vec(), reset).await, 0, "reset");
    };
    LocalSet::new().run_until(test).await;
}
