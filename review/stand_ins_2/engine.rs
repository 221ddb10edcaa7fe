//! Stand-ins of model engines that can reserve memory for tickets and read prompts together.

use std::collections::HashMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::record::Record;

/// The time to the first event, and between events.
const FIRST_EVENT: Duration = Duration::from_millis(300);
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// Memory that is reserved for a ticket.
struct Ticket {
    tokens: u64,
    expires: Instant,
    /// The requests that use it now.
    users: Vec<String>,
}

#[derive(Default)]
struct Engine {
    id: String,
    zone: String,
    /// The memory that requests take here beside tickets, by request.
    requests: HashMap<String, u64>,
    tickets: HashMap<String, Ticket>,
}

/// What an engine ran: the request, its engine, and the tickets that it used.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub engine: SocketAddr,
    /// The address of each helper, with its ticket if it has one.
    pub helpers: Vec<(SocketAddr, Option<String>)>,
    pub ended: bool,
}

#[derive(Default)]
struct State {
    engines: HashMap<SocketAddr, Engine>,
    runs: Vec<Run>,
    /// The number of `reserve` orders by ticket.
    orders: HashMap<String, u32>,
    conflicts: Vec<String>,
    power_lost: bool,
}

/// All engines of a deployment. They know each other, as engines do that read a prompt together.
pub struct Engines {
    state: Mutex<State>,
    capacity: u64,
    record: Arc<Record>,
}

impl Engines {
    /// Create a deployment without engines, each of which will have memory for `capacity` tokens.
    pub fn new(capacity: u64, record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            capacity,
            record,
        })
    }

    /// Start an engine and return its address.
    pub fn start(self: &Arc<Self>, id: &str, zone: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind an engine");
        let addr = listener.local_addr().expect("the address of an engine");
        let engine = Engine {
            id: id.to_owned(),
            zone: zone.to_owned(),
            ..Engine::default()
        };
        self.state.lock().unwrap().engines.insert(addr, engine);
        let engines = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engines = engines.clone();
                thread::spawn(move || engines.serve(addr, stream));
            }
        });
        addr
    }

    /// From now on, connections that end are those of a machine without power: no engine sees them
    /// end.
    pub fn lose_power(&self, lost: bool) {
        self.state.lock().unwrap().power_lost = lost;
    }

    pub fn zone(&self, addr: SocketAddr) -> String {
        self.state.lock().unwrap().engines[&addr].zone.clone()
    }

    /// Return the last run of a request.
    pub fn run(&self, request: &str) -> Option<Run> {
        let state = self.state.lock().unwrap();
        state
            .runs
            .iter()
            .rev()
            .find(|run| run.request == request)
            .cloned()
    }

    /// Return how many `reserve` orders came for a ticket.
    pub fn orders(&self, ticket: &str) -> u32 {
        self.state
            .lock()
            .unwrap()
            .orders
            .get(ticket)
            .copied()
            .unwrap_or(0)
    }

    pub fn conflicts(&self) -> Vec<String> {
        self.state.lock().unwrap().conflicts.clone()
    }

    fn serve(&self, addr: SocketAddr, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let req = http::read(&mut reader)?;
            let (_, target) = req.request();
            match target {
                "/oleanderpass/order" => self.order(addr, &mut out, &req)?,
                "/oleanderpass/report" => self.report(addr, &mut out)?,
                _ => {
                    self.generate(addr, &mut out, &req)?;
                }
            }
        }
    }

    fn order(&self, addr: SocketAddr, out: &mut TcpStream, req: &Message) -> io::Result<()> {
        let body = String::from_utf8_lossy(&req.body).into_owned();
        let id = http::field(&body, "Id").to_owned();
        let status = {
            let mut state = self.state.lock().unwrap();
            let engine = state.engines.get_mut(&addr).unwrap();
            engine.drop_expired();
            match http::field(&body, "Operation") {
                "reserve" => {
                    let tokens: u64 = http::field(&body, "TokenCount").parse().unwrap_or(0);
                    let hold: u64 = http::field(&body, "HoldMs").parse().unwrap_or(0);
                    let expires = Instant::now() + Duration::from_millis(hold);
                    let free = self.capacity.saturating_sub(engine.used());
                    let status = match engine.tickets.get_mut(&id) {
                        // The same id renews the reservation.
                        Some(ticket) => {
                            ticket.expires = expires;
                            "200 OK"
                        }
                        None if tokens > self.capacity => "400 Bad Request",
                        None if tokens > free => "409 Conflict",
                        None => {
                            let users = Vec::new();
                            engine.tickets.insert(
                                id.clone(),
                                Ticket {
                                    tokens,
                                    expires,
                                    users,
                                },
                            );
                            "200 OK"
                        }
                    };
                    *state.orders.entry(id.clone()).or_default() += 1;
                    status
                }
                "release" => {
                    engine.tickets.remove(&id);
                    "200 OK"
                }
                _ => "400 Bad Request",
            }
        };
        self.record
            .note(format!("{} order {body} -> {status}", self.name(addr)));
        http::json(out, status, "{\"Free\":0}")
    }

    fn report(&self, addr: SocketAddr, out: &mut TcpStream) -> io::Result<()> {
        let tickets: Vec<String> = {
            let mut state = self.state.lock().unwrap();
            let engine = state.engines.get_mut(&addr).unwrap();
            engine.drop_expired();
            let entries = engine.tickets.iter().map(|(id, ticket)| {
                let used = if ticket.users.is_empty() {
                    "held"
                } else {
                    "used"
                };
                let tokens = ticket.tokens;
                format!(
                    "{{\"Id\":\"{id}\",\"TokenCount\":{tokens},\"State\":\"{used}\",\"AgeMs\":1}}"
                )
            });
            entries.collect()
        };
        let tickets = tickets.join(",");
        http::json(
            out,
            "200 OK",
            &format!("{{\"Stage\":\"unified\",\"Tickets\":[{tickets}]}}"),
        )
    }

    /// Run a request, or refuse it. Fail if its connection has to be closed.
    fn generate(&self, addr: SocketAddr, out: &mut TcpStream, req: &Message) -> io::Result<()> {
        let id = req.get("attempt-id").to_owned();
        let helpers = helpers(req.get("helper-instances"));
        let (prompt, _) = req.get("token-count").split_once(',').unwrap_or(("0", ""));
        let prompt: u64 = prompt.parse().unwrap_or(0);
        let id_header = format!("Attempt-Id: {id}\r\n");
        self.record.note(format!(
            "{} gets request {id} with {prompt} prompt tokens, helpers [{}]",
            self.name(addr),
            req.get("helper-instances")
        ));
        let refusal = {
            let mut state = self.state.lock().unwrap();
            self.begin(&mut state, addr, &id, prompt, &helpers, req)
        };
        if let Err((status, headers)) = refusal {
            self.record.note(format!(
                "{} answers request {id} with {status}",
                self.name(addr)
            ));
            return http::answer(out, status, &format!("{id_header}{headers}"), "");
        }
        let events: u32 = req.param("events").parse().unwrap_or(5);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{id_header}Response-Seal: 3e1b.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut result = out.write_all(head.as_bytes());
        thread::sleep(FIRST_EVENT);
        for number in 1..=events {
            let event = format!("id: {number}\ndata: token {number} of {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            result = result.and_then(|()| out.write_all(chunk.as_bytes()));
            // A request whose channel has closed is dropped.
            if result.is_err() && !self.state.lock().unwrap().power_lost {
                break;
            }
            if !self.holds_memory(&id, &helpers) {
                self.record
                    .note(format!("request {id} is cut off: its memory has expired"));
                result = Err(io::ErrorKind::Other.into());
                break;
            }
            thread::sleep(EVENT_INTERVAL);
        }
        self.end(addr, &id, &helpers);
        result?;
        out.write_all(b"0\r\n\r\n")
    }

    /// Take the memory of a request, or return the status and the headers of a refusal.
    fn begin(
        &self,
        state: &mut State,
        addr: SocketAddr,
        id: &str,
        prompt: u64,
        helpers: &[(SocketAddr, Option<String>)],
        req: &Message,
    ) -> Result<(), (&'static str, String)> {
        const BUSY: &str = "503 Service Unavailable";
        let own = &state.engines[&addr];
        if req.get("expect-instance") != own.id {
            return Err((
                "421 Misdirected Request",
                format!("Instance-Id: {}\r\n", own.id),
            ));
        }
        let mut in_tickets = 0;
        for (helper, ticket) in helpers {
            let at_fault = || (BUSY, format!("Not-Executed: 1\r\nAt-Server: {helper}\r\n"));
            let engine = state.engines.get_mut(helper).ok_or_else(at_fault)?;
            engine.drop_expired();
            if let Some(ticket) = ticket {
                in_tickets += engine.tickets.get(ticket).ok_or_else(at_fault)?.tokens;
            }
        }
        let own = state.engines.get_mut(&addr).unwrap();
        own.drop_expired();
        let needed = prompt.saturating_sub(in_tickets);
        if own.used() + needed > self.capacity {
            return Err((BUSY, "Not-Executed: 1\r\n".to_owned()));
        }
        own.requests.insert(id.to_owned(), needed);
        for (helper, ticket) in helpers {
            let engine = state.engines.get_mut(helper).unwrap();
            let Some(ticket) = ticket.as_ref() else {
                continue;
            };
            let entry = engine.tickets.get_mut(ticket).unwrap();
            if let Some(other) = entry.users.first() {
                let text = format!(
                    "requests {other} and {id} use the ticket {ticket} of engine {} at the same time",
                    engine.id
                );
                self.record.note(format!("LIMIT: {text}"));
                state.conflicts.push(text);
            }
            entry.users.push(id.to_owned());
        }
        let run = Run {
            request: id.to_owned(),
            engine: addr,
            helpers: helpers.to_vec(),
            ended: false,
        };
        state.runs.push(run);
        Ok(())
    }

    /// Return whether the tickets of a request have not expired.
    fn holds_memory(&self, id: &str, helpers: &[(SocketAddr, Option<String>)]) -> bool {
        let mut state = self.state.lock().unwrap();
        helpers.iter().all(|(helper, ticket)| {
            let engine = state.engines.get_mut(helper).unwrap();
            engine.drop_expired();
            let holds = |ticket: &Ticket| ticket.users.iter().any(|user| user == id);
            ticket
                .as_ref()
                .is_none_or(|ticket| engine.tickets.get(ticket).is_some_and(holds))
        })
    }

    fn end(&self, addr: SocketAddr, id: &str, helpers: &[(SocketAddr, Option<String>)]) {
        let mut state = self.state.lock().unwrap();
        state.engines.get_mut(&addr).unwrap().requests.remove(id);
        for (helper, ticket) in helpers {
            let tickets = &mut state.engines.get_mut(helper).unwrap().tickets;
            if let Some(entry) = ticket.as_ref().and_then(|ticket| tickets.get_mut(ticket)) {
                entry.users.retain(|user| user != id);
            }
        }
        for run in state.runs.iter_mut().filter(|run| run.request == id) {
            run.ended = true;
        }
        drop(state);
        self.record
            .note(format!("request {id} ends at {}", self.name(addr)));
    }

    fn name(&self, addr: SocketAddr) -> String {
        self.state.lock().unwrap().engines[&addr].id.clone()
    }
}

impl Engine {
    fn used(&self) -> u64 {
        let in_tickets: u64 = self.tickets.values().map(|ticket| ticket.tokens).sum();
        in_tickets + self.requests.values().sum::<u64>()
    }

    fn drop_expired(&mut self) {
        let now = Instant::now();
        self.tickets.retain(|_, ticket| now < ticket.expires);
    }
}

/// Decode a list of IP:PORT and IP:PORT/TICKET.
fn helpers(list: &str) -> Vec<(SocketAddr, Option<String>)> {
    let entries = list.split(',').filter(|entry| !entry.is_empty());
    let entry = |entry: &str| {
        let (addr, ticket) = match entry.split_once('/') {
            Some((addr, ticket)) => (addr, Some(ticket.to_owned())),
            None => (entry, None),
        };
        Some((addr.trim().parse().ok()?, ticket))
    };
    entries.filter_map(entry).collect()
}
