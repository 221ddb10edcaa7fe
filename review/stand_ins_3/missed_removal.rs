//! A server leaves while one instance can't reach the store and all others are down. The others start
//! again and read the store; the one takes their copy.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::kit;
use crate::kit::Gateway;
use crate::kit::Ports;
use crate::kit::Record;
use crate::kit::Store;

/// Bounds of the sheet of mispill.
const CONTACT: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long the instance can't reach the store, within the 5.5 s of the sheet.
const CUT_TIME: Duration = Duration::from_millis(4_500);
/// How long the server that leaves goes on after its entry was removed.
const LINGER: Duration = Duration::from_millis(14_000);
/// How long the instance is watched after it is in touch again.
const CHECK_TIME: Duration = Duration::from_millis(4_000);
const WORK: Duration = Duration::from_millis(60);
const LEAVING: &str = "i-bokhald-0";
const KEFLAVIK: usize = 3;

struct Server {
    id: String,
    exited: AtomicBool,
    /// The ids of the requests that ran, and when they arrived.
    runs: Mutex<Vec<(String, Instant)>>,
}

pub fn run(dir: &Path, temp: &Path, trouble: bool) -> io::Result<i32> {
    let record = Record::create(dir)?;
    let local = |last| IpAddr::V4(Ipv4Addr::new(127, 83, 2, last));
    let store = Store::new();
    let mut servers = Vec::new();
    for index in 0..3 {
        let listener = TcpListener::bind((local(20), 0))?;
        let addr = listener.local_addr()?;
        let id = format!("i-bokhald-{index}");
        let zone = ["keflavik", "grindavik", "hafnir"][index];
        store.put(
            &format!("servers/{id}"),
            Some(&kit::entry("bokhald", addr, zone, 6, 1_000)),
        );
        let server = Arc::new(Server {
            id,
            exited: AtomicBool::new(false),
            runs: Mutex::default(),
        });
        servers.push(server.clone());
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record) = (server.clone(), record.clone());
                thread::spawn(move || serve(stream, &server, &record).ok());
            }
        });
    }
    let routes = [kit::route(
        "charge",
        "non_idempotent",
        "bokhald",
        800,
        300,
        1,
    )];
    store.put(
        "op/config",
        Some(&kit::configuration(7, &routes, &[kit::KEY])),
    );
    // The 7 instances of the sheet.
    let ips: Vec<IpAddr> = (1..=7).map(local).collect();
    let zones = [
        "keflavik",
        "keflavik",
        "keflavik",
        "grindavik",
        "grindavik",
        "hafnir",
        "hafnir",
    ];
    let ports = Ports::choose(&ips);
    let seeds = [ips[0], ips[3], ips[5]];
    let mut gateways = Vec::new();
    let mut paths = Vec::new();
    for (index, ip) in ips.iter().enumerate() {
        let path = store.listen(local(10))?;
        let name = format!("edge-{}-{}", zones[index], index + 1);
        gateways.push(Gateway::start(
            temp,
            &name,
            zones[index],
            *ip,
            ports,
            &seeds,
            path.addr,
            260,
        )?);
        paths.push(path);
    }
    for gateway in &gateways {
        if !gateway.wait_until_ready(Duration::from_secs(15)) {
            record.line(&format!("{} is not ready", gateway.name));
            return Ok(2);
        }
    }
    thread::sleep(Duration::from_secs(4));
    // Two instances of each zone read the store; the third one of keflavik takes their copies.
    let follows = |gateway: &Gateway| {
        gateway
            .log_text()
            .contains("peers read the store for this instance")
    };
    let Some(chosen) = (0..KEFLAVIK).find(|index| follows(&gateways[*index])) else {
        record.line("no instance takes copies of the others");
        return Ok(2);
    };
    let addr = gateways[chosen].callers();
    record.line(&format!(
        "{} takes copies of the others; disruption: {trouble}",
        gateways[chosen].name
    ));
    for number in 0..12 {
        call(addr, &format!("before-{number}"), &record);
    }
    if trouble {
        paths[chosen].set_cut(true);
        record.line(&format!(
            "{} is partitioned from the store",
            gateways[chosen].name
        ));
        for (index, gateway) in gateways.iter_mut().enumerate() {
            if index != chosen {
                gateway.kill();
            }
        }
        record.line("all other processes are killed at once");
    }
    let cut = Instant::now();
    thread::sleep(Duration::from_millis(300));
    store.put(&format!("servers/{LEAVING}"), None);
    let removed = Instant::now();
    record.line(&format!(
        "the store acknowledges the removal of servers/{LEAVING}; it serves on"
    ));
    thread::sleep(Duration::from_millis(300));
    if trouble {
        for (index, gateway) in gateways.iter_mut().enumerate() {
            if index != chosen {
                gateway.restart()?;
            }
        }
        record.line("the killed processes start again");
    }
    thread::sleep(CUT_TIME.saturating_sub(cut.elapsed()));
    paths[chosen].set_cut(false);
    record.line("the partition ends");
    thread::sleep(CONTACT + Duration::from_millis(200));
    record.line(&format!("{} is in touch", gateways[chosen].name));
    let in_touch = Instant::now();
    let mut number = 0;
    while in_touch.elapsed() < CHECK_TIME {
        number += 1;
        call(addr, &format!("late-{number}"), &record);
        thread::sleep(Duration::from_millis(50));
    }
    // What runs when the server exits is lost with it.
    let mut callers = Vec::new();
    for number in 0..8 {
        let record = record.clone();
        callers.push(thread::spawn(move || {
            call(addr, &format!("last-{number}"), &record)
        }));
    }
    thread::sleep(WORK / 2);
    thread::sleep(
        LINGER
            .saturating_sub(removed.elapsed())
            .min(Duration::from_millis(20)),
    );
    servers[0].exited.store(true, Ordering::SeqCst);
    record.line(&format!(
        "{LEAVING} exits {} ms after the removal",
        removed.elapsed().as_millis()
    ));
    let lost = callers.into_iter().map(|caller| caller.join().unwrap_or(0));
    let lost = lost.filter(|status| *status != 200).count();
    let runs = servers[0].runs.lock().expect("runs");
    let late = runs
        .iter()
        .filter(|(id, at)| id.starts_with("la") && at.saturating_duration_since(removed) > DRAIN);
    let late = late.count();
    record.line(&format!(
        "requests at {LEAVING} more than {} ms after its removal: {late} of {}; requests lost at its exit: {lost}",
        DRAIN.as_millis(),
        number + 8
    ));
    Ok(i32::from(late > 0))
}

/// Send a request on a new connection. Return the status of the answer, or 0 without one.
fn call(addr: SocketAddr, id: &str, record: &Record) -> u16 {
    let status = kit::post(addr, "/charge/1", id, b"charge").unwrap_or(0);
    record.quiet(&format!("request {id} ended with {status}"));
    status
}

/// Serve the requests of one connection.
fn serve(stream: TcpStream, server: &Server, record: &Record) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    writer.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = kit::read_head(&mut reader)? {
        let arrived = Instant::now();
        let (_, complete) = kit::read_body(&mut reader, &head)?;
        if !complete || server.exited.load(Ordering::SeqCst) {
            return Ok(());
        }
        let request = head.get("attempt-id").to_owned();
        if head.get("expect-instance") != server.id {
            writer.write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        record.quiet(&format!("{} runs {request}", server.id));
        server
            .runs
            .lock()
            .expect("runs")
            .push((request.clone(), arrived));
        thread::sleep(WORK);
        if server.exited.load(Ordering::SeqCst) {
            record.quiet(&format!("{} exits while it runs {request}", server.id));
            return Ok(());
        }
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nAttempt-Id: {request}\r\nResponse-Seal: {}\r\nContent-Length: 4\r\n\r\ndone",
            kit::SEAL
        )?;
    }
    Ok(())
}
