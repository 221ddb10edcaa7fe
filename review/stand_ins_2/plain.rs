//! Stand-ins of the servers of a plain service.

use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// The servers of a service, and what they ran.
pub struct Service {
    /// The time for which a request runs.
    work: Duration,
    /// The request whose first answer is lost.
    lost: Option<&'static str>,
    /// The requests that were run, with the ids of their servers.
    runs: Mutex<Vec<(String, String)>>,
    record: Arc<Record>,
}

impl Service {
    pub fn new(work: Duration, lost: Option<&'static str>, record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            work,
            lost,
            runs: Mutex::default(),
            record,
        })
    }

    /// Start a server and return its address.
    pub fn start(self: &Arc<Self>, id: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a server");
        let addr = listener.local_addr().expect("the address of a server");
        let (service, id) = (self.clone(), id.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (service, id) = (service.clone(), id.clone());
                thread::spawn(move || service.serve(&id, stream));
            }
        });
        addr
    }

    /// Return how often a request ran.
    pub fn runs(&self, request: &str) -> usize {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|(id, _)| id == request).count()
    }

    fn serve(&self, id: &str, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let req = http::read(&mut reader)?;
            let request = req.get("attempt-id").to_owned();
            let id_header = format!("Attempt-Id: {request}\r\n");
            if req.get("expect-instance") != id {
                let headers = format!("{id_header}Instance-Id: {id}\r\n");
                http::answer(&mut out, "421 Misdirected Request", &headers, "")?;
                continue;
            }
            self.record
                .note(format!("server {id} runs {request}: {}", req.start));
            self.runs
                .lock()
                .unwrap()
                .push((request.clone(), id.to_owned()));
            thread::sleep(self.work);
            if self.lost == Some(request.as_str()) && self.runs(&request) == 1 {
                self.record
                    .note(format!("server {id} has run {request}; its answer is lost"));
                return Ok(());
            }
            self.record.note(format!("server {id} answers {request}"));
            let headers = format!("{id_header}Response-Seal: 3e1b.{request}\r\n");
            http::answer(&mut out, "200 OK", &headers, "done\n")?;
        }
    }
}
