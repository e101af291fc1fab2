//! Connections are kept while the other side allows it, and no longer.

use alderglade_serve::client::{Client, Exchange};
use http::Request;
use http_body_util::Full;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// Serves one connection after the other, each request with these headers, and nothing else.
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

/// Gives the connection's own task time to run.
async fn settle(client: &Rc<Client>, resting: usize) {
    while client.idle_count() != resting {
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
fn a_connection_is_used_again() {
    run(async {
        let client: Rc<Client> = Rc::default();
        // Long enough that it is still kept where the machine stands still for a moment.
        let address = server("Keep-Alive: timeout=60\r\n");
        for _ in 0..3 {
            send(&client, address).await.collect().await.expect("whole");
            settle(&client, 1).await;
        }
        assert_eq!(client.opened(), 1);
    });
}

#[test]
fn a_connection_is_closed_when_it_has_rested_long_enough() {
    run(async {
        let client: Rc<Client> = Rc::default();
        let address = server("Keep-Alive: timeout=1\r\n");
        send(&client, address).await.collect().await.expect("whole");
        settle(&client, 1).await;
        // The server's second, less the margin.
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
fn an_exchange_that_is_dropped_leaves_nothing_behind() {
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
fn a_recycled_connection_lets_go_of_the_client() {
    run(async {
        let client: Rc<Client> = Rc::default();
        let address = server("");
        send(&client, address).await.collect().await.expect("whole");
        settle(&client, 1).await;
        tokio::task::yield_now().await;
        assert_eq!(Rc::strong_count(&client), 1);
    });
}
