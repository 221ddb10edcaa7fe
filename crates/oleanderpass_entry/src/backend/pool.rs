//! Keep idle connections to backend servers for further requests.

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

/// Idle connections for each backend server. Requests of one instance to one server are few.
const MAX_IDLE_PER_SERVER: usize = 8;

/// The time for which an idle connection is kept. Shorter than usual idle limits of servers, so
/// that few requests meet a connection that the server closes.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);

type IdleConnections = HashMap<SocketAddr, Vec<(Instant, Connection)>>;

/// The idle connections of the process.
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

    /// Open a connection that carried no request before.
    ///
    /// # Errors
    ///
    /// Return the cause when the server can't be reached.
    pub async fn fresh(&self, addr: SocketAddr) -> io::Result<Connection> {
        Connection::open(addr, self.clock).await
    }

    /// Take an idle connection or open one.
    ///
    /// # Errors
    ///
    /// Return the cause when the server can't be reached.
    pub async fn any(&self, addr: SocketAddr) -> io::Result<Connection> {
        match self.take(addr) {
            Some(connection) => Ok(connection),
            None => self.fresh(addr).await,
        }
    }

    fn take(&self, addr: SocketAddr) -> Option<Connection> {
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

    /// Keep a connection whose last answer was read to its end, once it can take a request.
    pub fn put(&self, mut connection: Connection) {
        let pool = self.clone();
        tokio::spawn(async move {
            if connection.ready().await {
                pool.store(connection);
            }
        });
    }

    fn store(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.addr()).or_default();
        connections.retain(|(since, held)| since.elapsed() < MAX_IDLE_AGE && held.is_reusable());
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push((Instant::now(), connection));
        }
    }
}
