//! Backend servers answer long requests before they have read the body, keep the connection and read
//! on later. The platform ends a process that exceeds its memory.

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::kit;
use crate::kit::Gateway;
use crate::kit::Ports;
use crate::kit::Record;
use crate::kit::Store;

/// `MemoryMb` of the sheet of mispill.
const MEMORY_MB: u64 = 260;
/// `MaxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// The callers of each instance that send long bodies, one after the other.
const CALLERS: usize = 29;
/// The receive buffer of a server's connections.
const RECEIVE_BUFFER: i32 = 64 * 1024;
/// The segments of a link with packets of 1,500 bytes. The kernel sizes its send buffers by them.
const SEGMENT_BYTES: i32 = 1_448;
/// A server that has answered early reads the rest of a body in pieces of 64 KiB at this interval,
/// about 1 MB/s.
const READ_INTERVAL: Duration = Duration::from_millis(62);
/// The time between two requests of a caller. The bodies fit into the links of the sheet
/// (1,000 Mbit/s).
const PERIOD: Duration = Duration::from_millis(1_000);
/// A caller sends its body in pieces of this size at this interval.
const SENT_PIECE: usize = 256 * 1024;
const SEND_INTERVAL: Duration = Duration::from_millis(55);
const RUN_TIME: Duration = Duration::from_secs(95);
const ENDS_NEEDED: u64 = 3;

#[derive(Default)]
struct Counts {
    runs: AtomicU64,
    answered: AtomicU64,
    refused: AtomicU64,
    other: AtomicU64,
}

pub fn run(dir: &Path, temp: &Path, trouble: bool) -> io::Result<i32> {
    let record = Record::create(dir)?;
    let local = |last| IpAddr::V4(Ipv4Addr::new(127, 83, 1, last));
    let ips = [local(1), local(2)];
    let store = Store::new();
    let path = store.listen(local(10))?;
    let counts = Arc::new(Counts::default());
    // The servers of the sheet of mispill.
    for index in 0..17 {
        let listener = TcpListener::bind((local(20), 0))?;
        kit::set_receiving(&listener, RECEIVE_BUFFER, SEGMENT_BYTES)?;
        let addr = listener.local_addr()?;
        let (service, slots) = if index < 14 {
            ("skald", 16)
        } else {
            ("bokhald", 6)
        };
        let id = format!("i-{service}-{index}");
        let zone = ["keflavik", "grindavik", "hafnir"][index % 3];
        store.put(
            &format!("servers/{id}"),
            Some(&kit::entry(service, addr, zone, slots, 1_000)),
        );
        let (counts, record) = (counts.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, counts, record) = (id.clone(), counts.clone(), record.clone());
                thread::spawn(move || serve(stream, &id, trouble, &counts, &record).ok());
            }
        });
    }
    let routes = [
        kit::route("charge", "non_idempotent", "bokhald", 5_000, 300, 1),
        kit::route("archive", "streaming", "skald", 15_000, 3_000, 2),
    ];
    store.put(
        "op/config",
        Some(&kit::configuration(7, &routes, &[kit::KEY])),
    );
    let ports = Ports::choose(&ips);
    let mut gateways = Vec::new();
    for (index, ip) in ips.iter().enumerate() {
        let name = format!("edge-{}", index + 1);
        let zone = ["keflavik", "grindavik"][index];
        gateways.push(Gateway::start(
            temp, &name, zone, *ip, ports, &ips, path.addr, MEMORY_MB,
        )?);
    }
    for gateway in &gateways {
        if !gateway.wait_until_ready(Duration::from_secs(15)) {
            record.line(&format!("{} is not ready", gateway.name));
            return Ok(2);
        }
    }
    record.line(&format!("instances are ready, early answers: {trouble}"));
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for gateway in &gateways {
        for caller in 0..CALLERS {
            let (addr, stop, counts) = (gateway.callers(), stop.clone(), counts.clone());
            let record = record.clone();
            callers.push(thread::spawn(move || {
                call(addr, caller, &stop, &counts, &record)
            }));
        }
    }
    let mut ends = vec![0_u64; gateways.len()];
    let mut peaks = vec![0_u64; gateways.len()];
    let end = Instant::now() + RUN_TIME;
    while Instant::now() < end && !ends.iter().all(|count| *count >= ENDS_NEEDED) {
        thread::sleep(Duration::from_millis(20));
        for (index, gateway) in gateways.iter_mut().enumerate() {
            let resident = gateway.resident_mb().unwrap_or(0);
            peaks[index] = peaks[index].max(resident);
            if resident > MEMORY_MB {
                ends[index] += 1;
                record.line(&format!(
                    "{} takes {resident} MB, more than {MEMORY_MB} MB; the platform ends it",
                    gateway.name
                ));
                gateway.kill();
                thread::sleep(Duration::from_millis(500));
                gateway.restart()?;
            }
        }
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().ok();
    }
    record.line(&format!(
        "runs {}, answers 200 {}, refusals 503 or 408 {}, other ends {}",
        counts.runs.load(Ordering::Relaxed),
        counts.answered.load(Ordering::Relaxed),
        counts.refused.load(Ordering::Relaxed),
        counts.other.load(Ordering::Relaxed),
    ));
    record.line(&format!("ends by memory {ends:?}, peaks in MB {peaks:?}"));
    Ok(i32::from(ends.iter().all(|count| *count >= ENDS_NEEDED)))
}

/// Send requests with long bodies, each on a new connection, and wait for each answer.
fn call(addr: SocketAddr, caller: usize, stop: &AtomicBool, counts: &Counts, record: &Record) {
    let body = vec![b'x'; BODY_BYTES];
    let path = if caller % 4 != 0 {
        "/charge/1"
    } else {
        "/archive/1"
    };
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let began = Instant::now();
        let id = format!("{}-{caller}-{number}", addr.ip());
        let status = send(addr, path, &id, &body).unwrap_or(0);
        record.quiet(&format!("request {id} ended with {status}"));
        let count = match status {
            200 => &counts.answered,
            503 | 408 => &counts.refused,
            _ => &counts.other,
        };
        count.fetch_add(1, Ordering::Relaxed);
        thread::sleep(PERIOD.saturating_sub(began.elapsed()));
    }
}

fn send(addr: SocketAddr, path: &str, id: &str, body: &[u8]) -> io::Result<u16> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    stream.set_write_timeout(Some(Duration::from_secs(6)))?;
    let mut writer = stream.try_clone()?;
    let tokens = match path {
        "/archive/1" => {
            "Model: m\r\nToken-Count: 133000,600\r\nPrefix-Hash: 5c1e07a2:40,91bd3f06:132960\r\n"
        }
        _ => "",
    };
    write!(
        writer,
        "POST {path} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 15000\r\n{tokens}\
         Authorization: Bearer {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        kit::HOST,
        kit::KEY,
        body.len()
    )?;
    // A refusal may come before the body has been sent.
    let sent = send_body(&mut writer, body);
    let mut reader = BufReader::new(stream);
    let Some(head) = kit::read_head(&mut reader)? else {
        return sent.map(|()| 0);
    };
    let (_, complete) = kit::read_body(&mut reader, &head)?;
    Ok(if complete { head.status() } else { 0 })
}

/// Send a body within about a second.
fn send_body(writer: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    for piece in body.chunks(SENT_PIECE) {
        writer.write_all(piece)?;
        thread::sleep(SEND_INTERVAL);
    }
    Ok(())
}

/// Serve the requests of one connection.
fn serve(
    stream: TcpStream,
    id: &str,
    early: bool,
    counts: &Counts,
    record: &Record,
) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    writer.set_nodelay(true)?;
    let mut reader = BufReader::with_capacity(64 * 1024, stream);
    while let Some(head) = kit::read_head(&mut reader)? {
        let request = head.get("attempt-id").to_owned();
        if head.get("expect-instance") != id {
            writer.write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let (kind, body) = match head.get("token-count") {
            "" => ("application/json", "done"),
            _ => ("text/event-stream", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\nResponse-Seal: {}\r\n\
             Content-Type: {kind}\r\nContent-Length: {}\r\n\r\n{body}",
            kit::SEAL,
            body.len()
        );
        counts.runs.fetch_add(1, Ordering::Relaxed);
        if early {
            record.quiet(&format!("{id} runs {request} and answers early"));
            writer.write_all(answer.as_bytes())?;
        }
        let mut left = head.len();
        let mut buf = vec![0; 64 * 1024];
        while left > 0 {
            let size = left.min(buf.len());
            if early {
                thread::sleep(READ_INTERVAL);
            }
            match reader.read(&mut buf[..size])? {
                0 => {
                    record.quiet(&format!("{id}: the rest of {request} is cut, {left} bytes"));
                    return Ok(());
                }
                count => left -= count,
            }
        }
        if !early {
            record.quiet(&format!("{id} runs {request}"));
            writer.write_all(answer.as_bytes())?;
        }
    }
    Ok(())
}
