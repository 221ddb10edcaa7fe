//! Set up an entry instance from its settings and run it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use eyre::WrapErr;
use oleanderpass_core::event::Event;
use oleanderpass_core::instance::Identity;
use oleanderpass_core::instance::Instance;
use oleanderpass_proto::peer::peer_server::PeerServer;
use oleanderpass_ticket::FleetKey;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::action_executor::ActionExecutor;
use crate::backend::pool::ConnectionPool;
use crate::caller;
use crate::caller::budget::BodyBudget;
use crate::clock::Clock;
use crate::clock::generate_incarnation;
use crate::core_loop;
use crate::core_loop::CoreSender;
use crate::core_loop::Input;
use crate::metrics::Metrics;
use crate::operator::OperatorPort;
use crate::peer::client::PeerCalls;
use crate::peer::datagram;
use crate::peer::proof::ProofChecker;
use crate::peer::server::PeerService;
use crate::platform::PlatformReaders;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::snapshot::Snapshot;

/// The number of Tokio worker threads, which serve the sockets. Entry instances are small.
const SOCKET_THREADS: usize = 2;

/// The most calls that run at the same time on one connection of a peer.
const MAX_CALLS_PER_CONNECTION: usize = 256;

/// The interval of HTTP/2 pings to peers, which end the connections of lost peers.
const PING_INTERVAL: Duration = Duration::from_secs(10);

/// The space for a forwarded call's fields other than its body, in bytes.
const MAX_FORWARD_FIELDS_BYTES: usize = 4_096;

/// The time that callers and peers get to read the rest of their answers after the core has exited.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval at which the flush checks for open connections. It also bounds the wait for the
/// runtime to shut down.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An entry instance whose ports are open. [`Daemon::run`] starts its core.
#[derive(Debug)]
pub struct Daemon {
    runtime: Runtime,
    shared: Arc<Shared>,
    executor: ActionExecutor,
    core: Instance,
    inputs: Receiver<Input>,
    snapshot: watch::Sender<Snapshot>,
    /// `true` once the core has exited. The caller port then accepts no further connection, and
    /// open ones end after their current request.
    closing: watch::Sender<bool>,
    addrs: Addrs,
}

/// The addresses on which an instance listens.
#[derive(Clone, Copy, Debug)]
pub struct Addrs {
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for peers (UDP and gRPC).
    pub peer: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
}

/// The sockets for peers: gRPC over TCP and datagrams over UDP, on the same address.
struct PeerSockets {
    tcp: TcpListener,
    udp: Arc<UdpSocket>,
}

impl Daemon {
    /// Open the ports and start the tasks.
    ///
    /// # Errors
    ///
    /// Return the cause when a port can't be opened or a thread can't be started.
    pub fn bind(settings: &Settings) -> eyre::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(SOCKET_THREADS)
            .thread_name("sockets")
            .enable_all()
            .build()
            .wrap_err("start the socket threads")?;
        let identity = Identity {
            instance: settings.instance.clone(),
            incarnation: generate_incarnation(),
            zone: settings.zone.clone(),
        };
        let (core_tx, inputs) = CoreSender::channel();
        let (snapshot, snapshot_rx) = watch::channel(Snapshot::default());
        let (closing, closing_rx) = watch::channel(false);
        let shared = Arc::new(build_shared(settings, &identity, core_tx, snapshot_rx)?);
        let callers = runtime
            .block_on(TcpListener::bind(settings.caller_addr))
            .wrap_err_with(|| format!("listen for callers on {}", settings.caller_addr))?;
        let peers = runtime
            .block_on(bind_peer_sockets(settings.peer_addr))
            .wrap_err_with(|| format!("listen for peers on {}", settings.peer_addr))?;
        let operators = OperatorPort::bind(settings.operator_addr)?;
        let addrs = Addrs {
            caller: callers.local_addr()?,
            peer: peers.udp.local_addr()?,
            operator: operators.addr().unwrap_or(settings.operator_addr),
        };
        operators.spawn(Arc::clone(&shared))?;
        let packets = spawn_peer_tasks(&runtime, &shared, settings, peers);
        runtime.spawn(caller::server::serve(
            callers,
            Arc::clone(&shared),
            closing_rx,
        ));
        let platform = PlatformReaders::spawn(
            settings.platform_addr,
            settings.config_key.clone(),
            Arc::clone(&shared),
        )?;
        let executor = ActionExecutor {
            runtime: runtime.handle().clone(),
            shared: Arc::clone(&shared),
            packets,
            platform,
        };
        let core = Instance::new(identity, rand::random())
            .with_fleet_key(FleetKey(settings.fleet_key.0))
            .with_peers(addrs.peer, settings.seeds.clone());
        Ok(Self {
            runtime,
            shared,
            executor,
            core,
            inputs,
            snapshot,
            closing,
            addrs,
        })
    }

    /// Return the addresses of the ports.
    pub fn addrs(&self) -> Addrs {
        self.addrs
    }

    /// Return a channel to the core, through which for example a shutdown is started.
    pub fn core(&self) -> CoreSender {
        self.shared.core.clone()
    }

    /// Run the core until it exits, then wait until callers and peers have read their answers, for
    /// at most 30 s.
    pub fn run(self) {
        let Self {
            runtime,
            shared,
            executor,
            core,
            inputs,
            snapshot,
            closing,
            addrs,
        } = self;
        tracing::info!(
            instance = %shared.identity.instance,
            incarnation = %shared.identity.incarnation,
            caller = %addrs.caller,
            peer = %addrs.peer,
            operator = %addrs.operator,
            "instance started"
        );
        core_loop::run(core, shared.clock, &inputs, snapshot, executor);
        closing.send_replace(true);
        runtime.block_on(flush(&shared));
        runtime.shutdown_timeout(FLUSH_POLL_INTERVAL);
        tracing::info!("instance stopped");
    }
}

impl CoreSender {
    /// Start the graceful shutdown.
    pub fn shut_down(&self) {
        self.send_event(Event::Shutdown);
    }
}

/// Wait until callers and peers have read their answers, for at most [`FLUSH_TIMEOUT`].
async fn flush(shared: &Shared) {
    let metrics = &shared.metrics;
    let ended = async {
        while metrics.connections.get() > 0 || metrics.forwarded.get() > 0 {
            tokio::time::sleep(FLUSH_POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(FLUSH_TIMEOUT, ended).await.is_err() {
        let open = metrics.connections.get() + metrics.forwarded.get();
        tracing::warn!(open, "callers or peers did not read their answers in time");
    }
}

fn build_shared(
    settings: &Settings,
    identity: &Identity,
    core: CoreSender,
    snapshot: watch::Receiver<Snapshot>,
) -> eyre::Result<Shared> {
    let clock = Clock::start();
    Ok(Shared {
        identity: identity.clone(),
        clock,
        core,
        snapshot,
        limits: settings.limits,
        budget: BodyBudget::new(settings.limits.body_budget),
        pool: ConnectionPool::new(clock),
        peers: PeerCalls::new(identity.clone(), settings.fleet_key.clone()),
        metrics: Arc::new(Metrics::new().wrap_err("create the metrics")?),
        instance_list: watch::channel(None).0,
        platform_answered_unix_ms: AtomicU64::new(0),
        last_request_number: AtomicU64::new(0),
    })
}

/// Bind TCP and UDP to the same address. With port 0, UDP uses the port that the system chose for
/// TCP.
async fn bind_peer_sockets(addr: SocketAddr) -> std::io::Result<PeerSockets> {
    let tcp = TcpListener::bind(addr).await?;
    let udp = UdpSocket::bind(tcp.local_addr()?).await?;
    Ok(PeerSockets {
        tcp,
        udp: Arc::new(udp),
    })
}

type PacketSender = mpsc::UnboundedSender<(SocketAddr, Box<oleanderpass_proto::peer::Packet>)>;

fn spawn_peer_tasks(
    runtime: &Runtime,
    shared: &Arc<Shared>,
    settings: &Settings,
    sockets: PeerSockets,
) -> PacketSender {
    let key = settings.fleet_key.clone();
    let (tx, rx) = mpsc::unbounded_channel();
    let udp = Arc::clone(&sockets.udp);
    runtime.spawn(datagram::receive(udp, key.clone(), Arc::clone(shared)));
    runtime.spawn(datagram::send(
        sockets.udp,
        key.clone(),
        Arc::clone(&shared.metrics),
        rx,
    ));
    let service = PeerService::new(Arc::clone(shared), ProofChecker::new(key));
    let max_body = usize::try_from(settings.limits.max_body.get()).unwrap_or(usize::MAX);
    let service = PeerServer::new(service)
        .max_decoding_message_size(max_body.saturating_add(MAX_FORWARD_FIELDS_BYTES));
    runtime.spawn(async move {
        let incoming = TcpIncoming::from(sockets.tcp).with_nodelay(Some(true));
        let served = Server::builder()
            .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION)
            .http2_keepalive_interval(Some(PING_INTERVAL))
            .add_service(service)
            .serve_with_incoming(incoming)
            .await;
        if let Err(error) = served {
            tracing::error!(%error, "the gRPC server for peers failed");
        }
    });
    tx
}
