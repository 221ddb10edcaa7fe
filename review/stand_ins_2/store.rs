//! A stand-in of the platform's store: it can be read and watched.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// The size from which a page takes no further item. Source: the platform's page.
const PAGE_BYTES: usize = 1_000_000;

/// One write: the key, and the value or `None` for a removal. Its revision is its index, from 1.
type Write = (String, Option<String>);

#[derive(Default)]
struct State {
    writes: Vec<Write>,
}

/// The store. Its history is never discarded.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Start a store and return it with its address.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let addr = listener.local_addr().expect("the address of the store");
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, addr)
    }

    /// Write an item.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.writes.push((key.to_owned(), Some(value.to_owned())));
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut out = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let req = http::read(&mut reader).ok()?;
            let (_, target) = req.request();
            let prefix = decode(req.param("Prefix"));
            let answer = match target.split('?').next() {
                Some("/oleanderpass/kv-range") => self.range(&prefix, &decode(req.param("After"))),
                Some("/oleanderpass/kv-watch") => self.watch(&req, &prefix),
                _ => None,
            };
            match answer {
                Some(body) => http::json(&mut out, "200 OK", &body).ok()?,
                None => http::json(&mut out, "404 Not Found", "{}").ok()?,
            }
        }
    }

    /// Return the next page of the newest writes of present keys, in the order of the keys.
    fn range(&self, prefix: &str, after: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let writes = state.writes.iter().enumerate();
        let newest: BTreeMap<&str, (usize, &Write)> = writes
            .map(|(at, write)| (write.0.as_str(), (at, write)))
            .collect();
        let mut items: Vec<String> = Vec::new();
        let mut has_more = false;
        for (key, (at, write)) in newest {
            if key.starts_with(prefix) && key > after && write.1.is_some() {
                has_more = items.iter().map(String::len).sum::<usize>() >= PAGE_BYTES;
                if has_more {
                    break;
                }
                items.push(item(at, write));
            }
        }
        let (items, at) = (items.join(","), state.writes.len());
        Some(format!(
            "{{\"Entries\":[{items}],\"HasMore\":{has_more},\"At\":{at}}}"
        ))
    }

    fn watch(&self, req: &http::Message, prefix: &str) -> Option<String> {
        let after: usize = req.param("After").parse().ok()?;
        let wait: u64 = req.param("WaitMs").parse().ok()?;
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let writes = state.writes.iter().enumerate().skip(after);
            let events = writes.filter(|(_, (key, _))| key.starts_with(prefix));
            let events: Vec<String> = events.map(|(at, write)| item(at, write)).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.writes.len();
                return Some(format!("{{\"events\":[{}],\"At\":{at}}}", events.join(",")));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(at: usize, (key, value): &Write) -> String {
    let revision = at + 1;
    match value {
        Some(value) => format!(
            "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{revision},\"Created\":{revision},\"LeaseId\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Deleted\":true}}"),
    }
}

/// Decode a value of a query.
fn decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut decoded = parts.next().unwrap_or("").to_owned();
    for part in parts {
        let (code, rest) = part.split_at(part.len().min(2));
        let byte = u8::from_str_radix(code, 16).unwrap_or(b'?');
        decoded.push(char::from(byte));
        decoded += rest;
    }
    decoded
}

fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in data.chunks(3) {
        let bits = group
            .iter()
            .fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - group.len()));
        for place in 0..4 {
            match place <= group.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
