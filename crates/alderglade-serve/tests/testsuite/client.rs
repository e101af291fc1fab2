//! Connections are reused for as long as the other side allows, and no longer.

use alderglade_serve::client::{Client, Exchange};
use http::Request;
use http_body_util::Full;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Starts a server that handles one connection at a time and answers each request with these headers.
fn server(headers: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut bytes = [0; 1_024];
            while stream.read(&mut bytes).is_ok_and(|read| read > 0) {
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n{headers}\r\nok");
                if stream.write_all(answer.as_bytes()).is_err() {
                    break;
                }
            }
        }
    });
    address
}

async fn send(client: &Rc<Client>, address: SocketAddr) -> Exchange {
    let mut request = Request::new(Full::default());
    let host = address.to_string().parse().expect("a header");
    request.headers_mut().insert(http::header::HOST, host);
    client
        .send(address, request, false)
        .await
        .expect("an answer")
}

/// Waits until the task of the connection has made it idle.
async fn wait_for_idle_count(client: &Rc<Client>, expected: usize) {
    while client.idle_count() != expected {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_connection_is_reused() {
    run(async {
        let client: Rc<Client> = Rc::default();
        // Long enough that the connection is still idle if the machine stalls for a moment.
        let address = server("Keep-Alive: timeout=60\r\n");
        for _ in 0..3 {
            send(&client, address).await.collect().await.expect("whole");
            wait_for_idle_count(&client, 1).await;
        }
        assert_eq!(client.opened(), 1);
    });
}

#[test]
fn an_idle_connection_is_closed_after_its_timeout() {
    run(async {
        let client: Rc<Client> = Rc::default();
        let address = server("Keep-Alive: timeout=1\r\n");
        send(&client, address).await.collect().await.expect("whole");
        wait_for_idle_count(&client, 1).await;
        // Longer than the server's timeout of one second, less the margin of 800 ms.
        tokio::time::sleep(Duration::from_millis(250)).await;
        client.expire();
        assert_eq!(client.idle_count(), 0);
    });
}

#[test]
fn a_connection_that_the_server_closes_is_not_kept() {
    run(async {
        let client: Rc<Client> = Rc::default();
        let address = server("Connection: close\r\n");
        send(&client, address).await.collect().await.expect("whole");
        assert_eq!(client.idle_count(), 0);
    });
}

#[test]
fn a_dropped_exchange_keeps_no_connection_or_client() {
    run(async {
        let client: Rc<Client> = Rc::default();
        let address = server("");
        drop(send(&client, address).await);
        tokio::task::yield_now().await;
        assert_eq!(client.idle_count(), 0);
        assert_eq!(Rc::strong_count(&client), 1);
    });
}

#[test]
fn a_recycled_connection_releases_the_client() {
    run(async {
        let client: Rc<Client> = Rc::default();
        let address = server("");
        send(&client, address).await.collect().await.expect("whole");
        wait_for_idle_count(&client, 1).await;
        tokio::task::yield_now().await;
        assert_eq!(Rc::strong_count(&client), 1);
    });
}

/// Starts a server that answers with a part of a response without a length, once it has read this many bytes of a
/// request, and resets the connection after a delay.
fn resetting_server(read_bytes: usize, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut bytes = vec![0; read_bytes];
            stream.read_exact(&mut bytes).expect("a request");
            let answer = b"HTTP/1.1 200 OK\r\n\r\nthe first part";
            stream.write_all(answer).expect("an open connection");
            std::thread::sleep(delay);
            let socket = socket2::SockRef::from(&stream);
            let linger = Some(Duration::ZERO);
            socket.set_linger(linger).expect("a socket option");
        }
    });
    address
}

/// Guards against a reset that is noticed only by what is still being sent, so that the response seems to end with its
/// connection.
#[test]
fn a_response_that_is_reset_is_never_complete() {
    run(async {
        for body_bytes in [0, 100, 100_000, 16_000_000] {
            for delay_ms in [0, 1, 30] {
                let client: Rc<Client> = Rc::default();
                let address = resetting_server(20, Duration::from_millis(delay_ms));
                let mut request = Request::post("/").body(Full::from(vec![0; body_bytes]));
                let request = request.as_mut().expect("a request");
                let host = address.to_string().parse().expect("a header");
                request.headers_mut().insert(http::header::HOST, host);
                let sent = client.send(address, request.clone(), false).await;
                if let Ok(exchange) = sent {
                    let collected = exchange.collect().await;
                    assert!(collected.is_err(), "{body_bytes} bytes, {delay_ms} ms");
                }
                assert_eq!(client.idle_count(), 0);
            }
        }
    });
}
