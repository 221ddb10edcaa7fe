//! Guard against callers that keep a connection open without reading, and against a new connection
//! for each poll of a backend server.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

mod support;

use std::io::ErrorKind;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use oleanderpass_entry::backend::pool::ConnectionPool;
use oleanderpass_entry::caller::stall::StallGuard;
use oleanderpass_entry::clock::Clock;
use oleanderpass_types::clock::Millis;
use support::read_request;
use tokio::io::AsyncWriteExt;

/// Guards against a caller that stops reading and so keeps its connection and stream open for ever.
#[tokio::test]
async fn write_to_a_caller_that_stops_reading_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let tcp = tokio::net::TcpStream::connect(addr).await.unwrap();
    let (_caller, _) = listener.accept().unwrap();
    let mut guarded = StallGuard::new(tcp, Duration::from_millis(50));
    let chunk = [0; 64 << 10];
    let error = loop {
        if let Err(error) = guarded.write_all(&chunk).await {
            break error;
        }
    };
    assert_eq!(error.kind(), ErrorKind::TimedOut);
}

/// Guards against a pool that never returns an idle connection.
#[tokio::test]
async fn connections_are_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let accept_count = Arc::clone(&accepted);
    thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            accept_count.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || {
                while let Some(mut req) = read_request(&tcp) {
                    req.answer("200 OK", "", "live");
                }
            });
        }
    });
    let clock = Clock::start();
    let pool = ConnectionPool::new(clock);
    let mut sent = 0;
    // Each connection returns to the pool in a background task, so a request may come before that
    // and open another one.
    while sent < 100 && sent <= accepted.load(Ordering::SeqCst) {
        let mut connection = pool.acquire(addr).await.unwrap();
        let req = http::Request::get("/load")
            .header("host", "test")
            .body(Full::new(Bytes::new()))
            .unwrap();
        let answer = connection.send(req, clock.now() + Millis::from_secs(600));
        let body = answer.await.unwrap().into_body().collect().await.unwrap();
        assert_eq!(body.to_bytes(), "live");
        pool.release(connection);
        tokio::task::yield_now().await;
        sent += 1;
    }
    assert!(sent < 100, "no connection was used twice");
}
