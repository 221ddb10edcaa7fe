//! Keep idle connections to backend servers and reuse them.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::backend::connection::Connection;
use crate::clock::Clock;

/// The most idle connections to one backend server. Only control requests reuse connections, and an
/// instance sends few of them to one server at a time.
const MAX_IDLE_PER_SERVER: usize = 8;

/// The time for which an idle connection is kept. It is shorter than the usual idle timeouts of
/// servers, so that the server rarely closes a connection just as a request is sent on it.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);

/// Idle connections by server address, each with the time at which it became idle.
type IdleConnections = HashMap<SocketAddr, Vec<(Instant, Connection)>>;

/// The idle connections of the process to backend servers. Clones share them.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    clock: Clock,
    idle: Arc<Mutex<IdleConnections>>,
}

impl ConnectionPool {
    /// Create an empty pool.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: Arc::default(),
        }
    }

    /// Open a new connection.
    ///
    /// # Errors
    ///
    /// Return the cause when the server can't be reached.
    pub async fn open(&self, addr: SocketAddr) -> io::Result<Connection> {
        Connection::open(addr, self.clock).await
    }

    /// Return an idle connection, or open a new one if there is none.
    ///
    /// # Errors
    ///
    /// Return the cause when the server can't be reached.
    pub async fn acquire(&self, addr: SocketAddr) -> io::Result<Connection> {
        match self.pop_idle(addr) {
            Some(connection) => Ok(connection),
            None => self.open(addr).await,
        }
    }

    fn pop_idle(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&addr)?;
        while let Some((since, connection)) = connections.pop() {
            if since.elapsed() < MAX_IDLE_AGE && connection.is_reusable() {
                return Some(connection);
            }
        }
        idle.remove(&addr);
        None
    }

    /// Return a connection to the pool as soon as it can send another request. Its last answer must
    /// have been read to the end.
    pub fn release(&self, mut connection: Connection) {
        let pool = self.clone();
        tokio::spawn(async move {
            if connection.ready().await {
                pool.insert_idle(connection);
            }
        });
    }

    fn insert_idle(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.addr()).or_default();
        connections.retain(|(since, idle)| since.elapsed() < MAX_IDLE_AGE && idle.is_reusable());
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push((Instant::now(), connection));
        }
    }
}
