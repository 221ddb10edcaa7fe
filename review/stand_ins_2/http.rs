//! A small blocking HTTP/1.1 reader and writer for the stand-ins.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// The head of a message, and its body if it has a length or chunks.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Return the value of a header, or an empty text.
    pub fn get(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map_or("", |(_, value)| value)
    }

    /// Return the method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Return the status of an answer, or 0.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Return a parameter of the query of a request, or an empty text.
    pub fn param(&self, name: &str) -> &str {
        let (_, target) = self.request();
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let found = query.split('&').filter_map(|pair| pair.split_once('='));
        found
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value)
            .next()
            .unwrap_or("")
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Read the head of a message.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = Message {
        start: line(reader)?,
        ..Message::default()
    };
    loop {
        let header = line(reader)?;
        if header.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = header.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Read a chunk of a chunked body. The last one is empty.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let size = line(reader)?;
    let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    line(reader)?;
    Ok(data)
}

/// Read a message whose body has a length, chunks, or none.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    if message
        .get("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(message);
            }
            message.body.extend(chunk);
        }
    }
    let length = message.get("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Write an answer with a body of known length. `headers` end with CRLF each.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// Write an answer with a JSON body.
pub fn json(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    answer(stream, status, "Content-Type: application/json\r\n", body)
}

/// Send a GET request on a new connection and return the answer.
pub fn fetch(addr: SocketAddr, path: &str) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\n\r\n").as_bytes())?;
    read(&mut BufReader::new(stream))
}

/// Return the value of a field of a flat JSON object, without quotes, or an empty text.
pub fn field<'a>(json: &'a str, name: &str) -> &'a str {
    let Some((_, rest)) = json.split_once(&format!("\"{name}\":")) else {
        return "";
    };
    let rest = rest.trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next().unwrap_or(""),
        None => rest.split([',', '}']).next().unwrap_or("").trim(),
    }
}
