//! Assemble an entry instance from its settings and run it.

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

use crate::backend::pool::ConnectionPool;
use crate::caller;
use crate::caller::budget::BodyBudget;
use crate::clock::Clock;
use crate::clock::draw_incarnation;
use crate::core_loop;
use crate::core_loop::CoreSender;
use crate::core_loop::Input;
use crate::edges::Edges;
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

/// Threads for sockets. Entry instances are small.
const SOCKET_THREADS: usize = 2;

/// Calls of one peer that run at the same time.
const CALLS_PER_PEER: usize = 256;

/// The period of pings to peers, so that connections of lost peers end.
const PING_PERIOD: Duration = Duration::from_secs(10);

/// The time in which callers read the rest of their answers after the core has exited.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(30);

/// The period at which the end of connections is checked.
const FLUSH_STEP: Duration = Duration::from_millis(20);

/// An entry instance whose ports are open.
#[derive(Debug)]
pub struct Daemon {
    runtime: Runtime,
    shared: Arc<Shared>,
    edges: Edges,
    core: Instance,
    inputs: Receiver<Input>,
    snapshot: watch::Sender<Snapshot>,
    closing: watch::Sender<bool>,
    addrs: Addrs,
}

/// The addresses of an instance's ports.
#[derive(Clone, Copy, Debug)]
pub struct Addrs {
    /// For callers.
    pub caller: SocketAddr,
    /// For peers (UDP and gRPC).
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// The sockets for peers: one address, two protocols.
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
            incarnation: draw_incarnation(),
            zone: settings.zone.clone(),
        };
        let (core_tx, inputs) = CoreSender::channel();
        let (snapshot, snapshot_rx) = watch::channel(Snapshot::default());
        let (closing, closing_rx) = watch::channel(false);
        let shared = Arc::new(share(settings, &identity, core_tx, snapshot_rx)?);
        let callers = runtime
            .block_on(TcpListener::bind(settings.caller_addr))
            .wrap_err_with(|| format!("listen for callers on {}", settings.caller_addr))?;
        let peers = runtime
            .block_on(bind_peers(settings.peer_addr))
            .wrap_err_with(|| format!("listen for peers on {}", settings.peer_addr))?;
        let operators = OperatorPort::bind(settings.operator_addr)?;
        let addrs = Addrs {
            caller: callers.local_addr()?,
            peer: peers.udp.local_addr()?,
            operator: operators.addr().unwrap_or(settings.operator_addr),
        };
        operators.spawn(Arc::clone(&shared))?;
        let packets = spawn_peers(&runtime, &shared, settings, peers);
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
        let edges = Edges {
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
            edges,
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

    /// Return the channel to the core, for example to start the shutdown.
    pub fn core(&self) -> CoreSender {
        self.shared.core.clone()
    }

    /// Run until the shutdown has ended. Callers that still read their answers get 30 s for it.
    pub fn run(self) {
        let Self {
            runtime,
            shared,
            edges,
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
        core_loop::run(core, shared.clock, &inputs, snapshot, edges);
        closing.send_replace(true);
        runtime.block_on(flush(&shared));
        runtime.shutdown_timeout(FLUSH_STEP);
        tracing::info!("instance stopped");
    }
}

impl CoreSender {
    /// Start the graceful shutdown.
    pub fn shut_down(&self) {
        self.event(Event::Shutdown);
    }
}

/// Wait until callers and peers have read their answers.
async fn flush(shared: &Shared) {
    let metrics = &shared.metrics;
    let ended = async {
        while metrics.connections.get() > 0 || metrics.forwarded.get() > 0 {
            tokio::time::sleep(FLUSH_STEP).await;
        }
    };
    if tokio::time::timeout(FLUSH_TIMEOUT, ended).await.is_err() {
        let open = metrics.connections.get() + metrics.forwarded.get();
        tracing::warn!(open, "callers did not read their answers in time");
    }
}

fn share(
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
        list: watch::channel(None).0,
        platform_answered_unix_ms: AtomicU64::new(0),
        last_request: AtomicU64::new(0),
    })
}

/// Open both sockets on one address. With port 0 the port that TCP received is used for UDP.
async fn bind_peers(addr: SocketAddr) -> std::io::Result<PeerSockets> {
    let tcp = TcpListener::bind(addr).await?;
    let udp = UdpSocket::bind(tcp.local_addr()?).await?;
    Ok(PeerSockets {
        tcp,
        udp: Arc::new(udp),
    })
}

type PacketSender = mpsc::UnboundedSender<(SocketAddr, Box<oleanderpass_proto::peer::Packet>)>;

fn spawn_peers(
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
    let limit = usize::try_from(settings.limits.body.get()).unwrap_or(usize::MAX);
    let service = PeerServer::new(service).max_decoding_message_size(limit.saturating_add(4_096));
    runtime.spawn(async move {
        let incoming = TcpIncoming::from(sockets.tcp).with_nodelay(Some(true));
        let served = Server::builder()
            .concurrency_limit_per_connection(CALLS_PER_PEER)
            .http2_keepalive_interval(Some(PING_PERIOD))
            .add_service(service)
            .serve_with_incoming(incoming)
            .await;
        if let Err(error) = served {
            tracing::error!(%error, "the peer port failed");
        }
    });
    tx
}
