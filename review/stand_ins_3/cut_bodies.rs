//! Backend servers answer long requests before they have read the body, keep the connection and read
//! on. Each of them notes how much of the body it gets.

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
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::kit;
use crate::kit::Gateway;
use crate::kit::Ports;
use crate::kit::Record;
use crate::kit::Store;

/// `MaxBodyBytes` of the configuration.
const LONG_BODY: usize = 4_194_304;
/// The receive buffer and the segments of a server's connections, as on links with packets of 1,500
/// bytes.
const RECEIVE_BUFFER: i32 = 64 * 1024;
const SEGMENT_BYTES: i32 = 1_448;
/// A server that has answered early reads the rest of a body in pieces of 64 KiB at this interval,
/// about 0.8 MB/s.
const READ_INTERVAL: Duration = Duration::from_millis(80);
const WORK: Duration = Duration::from_millis(60);
const RUN_TIME: Duration = Duration::from_secs(30);
/// The time between two lookups and between two long requests.
const LOOKUP_PERIOD: Duration = Duration::from_millis(100);
const LONG_PERIOD: Duration = Duration::from_millis(2_000);

/// What a server got of the body of a long request that it ran.
struct Run {
    request: String,
    received: usize,
    intact: bool,
}

type Runs = Arc<Mutex<Vec<Run>>>;

pub fn run(dir: &Path, temp: &Path, trouble: bool) -> io::Result<i32> {
    let record = Record::create(dir)?;
    let local = |last| IpAddr::V4(Ipv4Addr::new(127, 83, 3, last));
    let ips = [local(1)];
    let store = Store::new();
    let path = store.listen(local(10))?;
    let runs = Runs::default();
    for index in 0..3 {
        let listener = TcpListener::bind((local(20), 0))?;
        kit::set_receiving(&listener, RECEIVE_BUFFER, SEGMENT_BYTES)?;
        let addr = listener.local_addr()?;
        let id = format!("i-bokhald-{index}");
        let zone = ["keflavik", "grindavik", "hafnir"][index];
        store.put(
            &format!("servers/{id}"),
            Some(&kit::entry("bokhald", addr, zone, 6, 1_000)),
        );
        let (runs, record) = (runs.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, runs, record) = (id.clone(), runs.clone(), record.clone());
                thread::spawn(move || serve(stream, &id, trouble, &runs, &record).ok());
            }
        });
    }
    let routes = [kit::route("look", "idempotent", "bokhald", 5_000, 2_000, 2)];
    store.put(
        "op/config",
        Some(&kit::configuration(7, &routes, &[kit::KEY])),
    );
    let ports = Ports::choose(&ips);
    let gateway = Gateway::start(
        temp, "edge-1", "keflavik", ips[0], ports, &ips, path.addr, 260,
    )?;
    if !gateway.wait_until_ready(Duration::from_secs(15)) {
        record.line("the instance is not ready");
        return Ok(2);
    }
    record.line(&format!("the instance is ready, early answers: {trouble}"));
    let addr = gateway.callers();
    let lookups = {
        let record = record.clone();
        thread::spawn(move || repeat(addr, "small", LOOKUP_PERIOD, b"", &record))
    };
    let body: Vec<u8> = (0..LONG_BODY).map(byte_at).collect();
    let answered = repeat(addr, "long", LONG_PERIOD, &body, &record);
    lookups.join().ok();
    // The last bodies are read to their end.
    thread::sleep(Duration::from_secs(8));
    let runs = runs.lock().expect("runs");
    let cut = runs
        .iter()
        .filter(|run| run.received < LONG_BODY && answered.contains(&run.request));
    let cut = cut.count();
    let altered = runs.iter().filter(|run| !run.intact).count();
    record.line(&format!(
        "long requests answered with a whole 200: {}; of these ran without the rest of their body: {cut}; \
         with other bytes: {altered}",
        answered.len()
    ));
    if answered.is_empty() {
        return Ok(2);
    }
    Ok(i32::from(cut > 0))
}

fn byte_at(index: usize) -> u8 {
    (index % 251) as u8
}

/// Send requests until the end of the run, each on a new connection. Return the ids of those that got
/// a whole answer with success.
fn repeat(
    addr: SocketAddr,
    name: &str,
    period: Duration,
    body: &[u8],
    record: &Record,
) -> Vec<String> {
    let began = Instant::now();
    let mut answered = Vec::new();
    let mut number = 0;
    while began.elapsed() < RUN_TIME {
        number += 1;
        let id = format!("{name}-{number}");
        let status = kit::post(addr, "/look/1", &id, body).unwrap_or(0);
        if !body.is_empty() || status != 200 {
            record.quiet(&format!("request {id} ended with {status}"));
        }
        if status == 200 {
            answered.push(id);
        }
        thread::sleep((period * number).saturating_sub(began.elapsed()));
    }
    answered
}

/// Serve the requests of one connection.
fn serve(stream: TcpStream, id: &str, early: bool, runs: &Runs, record: &Record) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    writer.set_nodelay(true)?;
    let mut reader = BufReader::with_capacity(64 * 1024, stream);
    while let Some(head) = kit::read_head(&mut reader)? {
        let request = head.get("attempt-id").to_owned();
        if head.get("expect-instance") != id {
            writer.write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\nResponse-Seal: {}\r\nContent-Length: 4\r\n\r\ndone",
            kit::SEAL
        );
        let is_long = head.len() > 0;
        if !is_long {
            thread::sleep(WORK);
            writer.write_all(answer.as_bytes())?;
            continue;
        }
        if early {
            record.quiet(&format!("{id} runs {request} and answers early"));
            writer.write_all(answer.as_bytes())?;
        }
        let mut buf = vec![0; 64 * 1024];
        let (mut received, mut intact) = (0, true);
        while received < head.len() {
            let size = (head.len() - received).min(buf.len());
            if early {
                thread::sleep(READ_INTERVAL);
            }
            let count = reader.read(&mut buf[..size]).unwrap_or(0);
            if count == 0 {
                break;
            }
            intact &= (0..count).all(|at| buf[at] == byte_at(received + at));
            received += count;
        }
        record.quiet(&format!(
            "{id} got {received} of {} bytes of {request}",
            head.len()
        ));
        runs.lock().expect("runs").push(Run {
            request,
            received,
            intact,
        });
        if received < head.len() {
            return Ok(());
        }
        if !early {
            record.quiet(&format!("{id} runs {}", head.get("attempt-id")));
            writer.write_all(answer.as_bytes())?;
        }
    }
    Ok(())
}
