//! Guard against a graceful shutdown that interrupts a request.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed unwrap fails the test"
)]

mod support;

use std::thread;
use std::time::Duration;

use oleanderpass_proto::settings::Limits;
use support::ScriptedServer;
use support::exchange;
use support::spawn_entry;

/// Guards against a shutdown that cuts a request in flight or leaves the process running.
#[test]
fn request_in_flight_ends_before_the_instance_stops() {
    let server = ScriptedServer::spawn();
    let entry = spawn_entry(server.addr, server.addr, Limits::default());
    let addrs = entry.addrs;
    thread::scope(|scope| {
        let caller = scope.spawn(|| entry.call("GET /svc/read/v1/charges", &[], b""));
        let mut req = server.next();
        entry.shut_down();
        while exchange(addrs.operator, "GET /readyz", &[], b"").0 == 200 {
            thread::sleep(Duration::from_millis(10));
        }
        req.answer("200 OK", "content-type: text/plain\r\n", "done");
        let (status, _, body) = caller.join().unwrap();
        assert_eq!((status, body.as_str()), (200, "done"));
    });
    entry.join();
    assert!(std::net::TcpStream::connect(addrs.caller).is_err());
}
